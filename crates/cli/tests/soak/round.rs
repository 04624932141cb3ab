//! One seed: faults for a while, then a calm in which everything must work again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::callers::{CallerTask, Records};
use crate::checks::{Evidence, broken_promises};
use crate::faults::{self, Fault};
use crate::fleet::Fleet;

/// Callers at work at the same time.
const CALLERS: u64 = 8;

/// Further ones that stop reading for a while.
const SLOW_CALLERS: u64 = 3;

/// Most faults in force at the same time.
const MOST_FAULTS: usize = 6;

/// Interval at which faults begin and end.
const STEP: Duration = Duration::from_millis(50);

/// Pause between the beginnings of two faults, on average.
const FAULT_GAP: Duration = Duration::from_millis(250);

/// Time after the faults in which late effects may still show: what was done late, a request that
/// was said not to run.
const CALM: Duration = Duration::from_millis(3_500);

/// Whole turns in the calm that show that the system serves again.
const SERVED_AGAIN: usize = 20;

/// Plays a seed and panics if a promise was broken.
pub async fn play(seed: u64, duration: Duration) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(seed).await;
    let records = Rc::new(Records::default());
    let stop = Rc::new(Cell::new(false));
    let tasks = start_callers(&fleet, &records, &stop, seed);
    let schedule = disturb(&mut random, &mut fleet, duration).await;
    fleet.wait_until_ready().await;
    let whole_before = whole_turns(&records);
    wait_until_served(&records, whole_before).await;
    actix_rt::time::sleep(CALM).await;
    stop.set(true);
    for task in tasks {
        task.await.expect("a caller ends");
    }
    let broken = broken_promises(&evidence(&fleet, &records));
    let peak = fleet.peak_held().await;
    report(seed, fleet.nodes.len(), &records, &schedule);
    println!("seed {seed}: at most {peak} bytes held by a process");
    assert!(
        broken.is_empty(),
        "seed {seed}, logs in {}:\n{}\nschedule:\n{}",
        fleet.folder().display(),
        broken.join("\n"),
        schedule.join("\n"),
    );
    std::fs::remove_dir_all(fleet.folder()).expect("the round's own folder");
}

fn evidence(fleet: &Fleet, records: &Records) -> Evidence {
    let workers = fleet.workers.iter();
    Evidence {
        requests: records.requests.borrow().clone(),
        budgets: records.budgets.borrow().clone(),
        runs: workers.flat_map(|reached| reached.worker.runs()).collect(),
    }
}

fn start_callers(
    fleet: &Fleet,
    records: &Rc<Records>,
    stop: &Rc<Cell<bool>>,
    seed: u64,
) -> Vec<actix_rt::task::JoinHandle<()>> {
    (0..CALLERS + SLOW_CALLERS)
        .map(|number| {
            let task = CallerTask {
                records: records.clone(),
                nodes: fleet.nodes.iter().map(|node| node.callers()).collect(),
                stop: stop.clone(),
                keeps_connections: number % 2 == 0,
                stops_reading: number >= CALLERS,
                connections: RefCell::default(),
                seed: seed.wrapping_add(number),
            };
            actix_rt::spawn(task.run())
        })
        .collect()
}

/// Lets faults come and go; returns what was done, with times.
async fn disturb(random: &mut ChaCha8Rng, fleet: &mut Fleet, duration: Duration) -> Vec<String> {
    let started = Instant::now();
    let mut schedule = Vec::new();
    let mut in_force: Vec<(Fault, Instant)> = Vec::new();
    let mut version = 1;
    while started.elapsed() < duration {
        let now = Instant::now();
        end_due(fleet, &mut in_force, |until| until <= now);
        let is_time = random.random_bool(STEP.as_secs_f64() / FAULT_GAP.as_secs_f64());
        if is_time && in_force.len() < MOST_FAULTS {
            let (fault, lasts) = faults::draw(random, fleet);
            version += 1;
            faults::begin(&fault, fleet, version);
            let at = started.elapsed().as_millis();
            schedule.push(format!("{at} ms: {fault:?} for {} ms", lasts.as_millis()));
            in_force.push((fault, now + lasts));
        }
        actix_rt::time::sleep(STEP).await;
    }
    end_due(fleet, &mut in_force, |_| true);
    // Faults may have ended one another's effects out of order.
    for node in &mut fleet.nodes {
        node.signal("-CONT");
        node.start();
    }
    schedule
}

fn end_due(
    fleet: &mut Fleet,
    in_force: &mut Vec<(Fault, Instant)>,
    is_due: impl Fn(Instant) -> bool,
) {
    for (fault, until) in std::mem::take(in_force) {
        if is_due(until) {
            faults::end(&fault, fleet);
        } else {
            in_force.push((fault, until));
        }
    }
}

fn whole_turns(records: &Records) -> usize {
    let requests = records.requests.borrow();
    requests
        .values()
        .filter(|seen| seen.is_whole_turn())
        .count()
}

/// Looks before the wait is given up: half a minute.
const LOOKS: u32 = 600;

async fn wait_until_served(records: &Records, before: usize) {
    for _ in 0..LOOKS {
        if whole_turns(records) >= before + SERVED_AGAIN {
            return;
        }
        actix_rt::time::sleep(STEP).await;
    }
    panic!("programs are not served again");
}

fn report(seed: u64, nodes: usize, records: &Records, schedule: &[String]) {
    let requests = records.requests.borrow();
    println!(
        "seed {seed}: {nodes} processes, {} faults, {} requests, {} answered whole",
        schedule.len(),
        requests.len(),
        requests
            .values()
            .filter(|seen| seen.is_whole_turn())
            .count(),
    );
}
