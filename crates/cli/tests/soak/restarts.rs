//! Rounds of planned work alone: processes that are stopped in turn and started again, reloads and
//! changes of the configuration, with nothing else wrong. No request may be lost in them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::callers::{Kind, TURN_TOKENS};
use crate::fleet::Fleet;
use crate::proxy::Period;
use crate::standin::caller::{Answer, Connection, Request};
use crate::standin::platform::configuration;

/// Number of concurrent callers.
const CALLERS: u64 = 40;

/// Time after which a request's answer is of no use to its caller, as told to the gateway.
pub const DEADLINE: Duration = Duration::from_millis(1_200);

/// How long a caller reads on after the deadline, to see how the gateway ends the answer.
pub const READ_ON: Duration = Duration::from_millis(800);

/// Time from the last byte of a request after which the process counts as having read it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time for which a connection may rest before it is used again: four fifths of the configured idle
/// timeout.
const MAX_REST: Duration = Duration::from_secs(4);

/// Maximum number of turns of one conversation.
const MAX_TURNS: u32 = 12;

/// Pause between two planned steps.
const STEP_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(60);

/// Interval at which the test checks that it runs itself.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of such a check from which the test counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(60);

/// Share of the time for which a slowed process runs, as pauses and runs in milliseconds.
const SLOW_PAUSE_MS: u64 = 45;
const SLOW_RUN_MS: u64 = 5;

/// Planned work of a round, repeated until its time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedWork {
    /// So many processes at a time are stopped by SIGTERM, end by themselves and are started again.
    StopInTurn { at_a_time: usize },
    /// One process at a time is stopped, and has a tenth of its processor until it ends.
    StopWhileSlow,
    /// Each process in turn gets SIGTERM, and SIGHUP and SIGTERM while it stops.
    SignalsInSeries,
    /// Processes are stopped three at a time while all get SIGHUP and configurations are published.
    Overlapping,
    /// All processes get SIGHUP.
    Reload,
    /// Three configurations are published in immediate succession.
    Configure,
}

/// One request of a round and how it ended.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub kind: Kind,
    /// The turn that it continues, whose answer was whole.
    pub previous: Option<String>,
    pub node: SocketAddr,
    pub sent: Instant,
    /// Time from sending it to the end of its answer or connection.
    pub took: Duration,
    /// Time after which the answer is of no use to the caller, as told to the gateway.
    pub deadline: Duration,
    /// `None` if the connection could not be opened or ended without an answer.
    pub answer: Option<Answer>,
}

impl Exchange {
    /// Returns whether the caller got a complete answer of any status.
    pub fn is_answered(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.is_whole && answer.status != 0)
    }

    /// Returns a description with the times relative to the start of the round.
    fn describe(&self, started: Instant) -> String {
        format!(
            "{} {:?} at {}, {} ms after the start, ended after {} ms, continues {:?}: {:?}",
            self.id,
            self.kind,
            self.node,
            self.sent.duration_since(started).as_millis(),
            self.took.as_millis(),
            self.previous,
            self.answer,
        )
    }

    fn is_success(&self) -> bool {
        let answer = self.answer.as_ref();
        self.is_answered() && answer.is_some_and(|answer| answer.status == 200)
    }

    /// Returns how the request ended, for the summary.
    fn outcome(&self) -> String {
        match &self.answer {
            Some(answer) if self.is_success() => format!("{} whole", answer.status),
            Some(answer) if self.is_answered() => {
                format!("{} {}", answer.status, answer.body.trim())
            }
            _ if self.took >= self.deadline => "cut at the deadline".to_owned(),
            _ => "cut".to_owned(),
        }
    }
}

/// What is found in a round.
#[derive(Debug, Default)]
pub struct Findings {
    /// Requests that were accepted and ended without a complete answer, although their time was not
    /// over.
    pub lost: Vec<String>,
    /// Turns reported as missing although they were answered whole.
    pub missing: Vec<String>,
    /// Requests whose answers were cut since their time was over.
    pub late: Vec<String>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
}

/// Times in which the test itself did not run, so that it saw the ends of connections late.
#[derive(Debug, Default)]
pub struct Stalls(RefCell<Vec<Period>>);

impl Stalls {
    /// Records stalls until `stop` is set.
    pub async fn watch(&self, stop: &Cell<bool>) {
        while !stop.get() {
            let before = Instant::now();
            actix_rt::time::sleep(STALL_CHECK_INTERVAL).await;
            if before.elapsed() >= MIN_STALL {
                self.0.borrow_mut().push((before, Instant::now()));
            }
        }
    }

    /// Returns the stalls.
    pub fn periods(&self) -> Vec<Period> {
        self.0.borrow().clone()
    }

    /// Returns whether the test ran throughout an exchange.
    fn spare(&self, exchange: &Exchange) -> bool {
        let end = exchange.sent + exchange.took;
        let stalls = self.0.borrow();
        !stalls
            .iter()
            .any(|(from, until)| *from < end && *until > exchange.sent)
    }
}

/// Returns what callers were owed and did not get. `ran` holds the ids of requests that workers ran.
pub fn findings(
    exchanges: &[Exchange],
    ran: &BTreeSet<String>,
    stalls: &Stalls,
    started: Instant,
) -> Findings {
    let mut found = Findings::default();
    for exchange in exchanges {
        *found.outcomes.entry(exchange.outcome()).or_default() += 1;
        let status = exchange.answer.as_ref().map(|answer| answer.status);
        if exchange.previous.is_some() && matches!(status, Some(404 | 410)) {
            found.missing.push(exchange.describe(started));
        }
        if exchange.is_answered() {
            continue;
        }
        // The process has read what was sent that long ago, unless only the test was late.
        let was_read = exchange.took > LOSS_SLACK && stalls.spare(exchange);
        let was_accepted = ran.contains(&exchange.id) || was_read;
        match exchange.took >= exchange.deadline {
            true => found.late.push(exchange.describe(started)),
            false if was_accepted => found.lost.push(exchange.describe(started)),
            false => {}
        }
    }
    found
}

/// Plays a round. Returns a description of every request that was lost.
pub async fn run(seed: u64, work: PlannedWork, nodes: usize, duration: Duration) -> Vec<String> {
    let mut fleet = Fleet::start_with(seed, nodes).await;
    let exchanges = Rc::new(RefCell::new(Vec::new()));
    let stop = Rc::new(Cell::new(false));
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = SteadyCaller {
                name: format!("{seed}-{number}"),
                nodes: fleet.nodes.iter().map(|node| node.callers()).collect(),
                stop: stop.clone(),
                exchanges: exchanges.clone(),
                connections: BTreeMap::new(),
                sent: 0,
                random: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number),
            };
            actix_rt::spawn(caller.run())
        })
        .collect();
    let stalls = Rc::new(Stalls::default());
    let (watched, until) = (stalls.clone(), stop.clone());
    actix_rt::spawn(async move { watched.watch(&until).await });
    let started = Instant::now();
    let mut schedule = Vec::new();
    let mut step = 0;
    while started.elapsed() < duration {
        schedule.push(format!("{} ms: step {step}", started.elapsed().as_millis()));
        carry_out(&mut fleet, work, step).await;
        actix_rt::time::sleep(STEP_PAUSE).await;
        step += 1;
    }
    stop.set(true);
    for task in tasks {
        task.await.expect("the caller task completes");
    }
    let workers = fleet.workers.iter();
    let runs = workers.flat_map(|proxied| proxied.worker.runs());
    let ran: BTreeSet<String> = runs.map(|run| run.request_id).collect();
    let found = findings(&exchanges.borrow(), &ran, &stalls, started);
    println!(
        "seed {seed}: {work:?}, {nodes} processes, {step} steps, {} requests, {} lost, {} late, {:?}",
        exchanges.borrow().len(),
        found.lost.len(),
        found.late.len(),
        found.outcomes,
    );
    if !found.late.is_empty() {
        println!("late:\n{}", found.late.join("\n"));
    }
    let violations = [found.lost, found.missing].concat();
    if violations.is_empty() && found.late.is_empty() {
        std::fs::remove_dir_all(fleet.folder()).expect("the folder of the round can be removed");
        return Vec::new();
    }
    println!(
        "seed {seed}: logs in {}, steps:\n{}",
        fleet.folder().display(),
        schedule.join("\n")
    );
    let of_round = violations.into_iter();
    of_round
        .map(|violation| format!("seed {seed}: {violation}"))
        .collect()
}

/// Carries out one step of the planned work.
async fn carry_out(fleet: &mut Fleet, work: PlannedWork, step: usize) {
    let count = fleet.nodes.len();
    match work {
        PlannedWork::StopInTurn { at_a_time } => {
            let first = step * at_a_time;
            let stopped: Vec<usize> = (first..first + at_a_time).map(|n| n % count).collect();
            for node in &stopped {
                fleet.nodes[*node].signal("-TERM");
            }
            restart(fleet, &stopped).await;
        }
        PlannedWork::StopWhileSlow => {
            let node = step % count;
            fleet.nodes[node].signal("-TERM");
            while !fleet.nodes[node].has_ended() {
                fleet.nodes[node].signal("-STOP");
                actix_rt::time::sleep(Duration::from_millis(SLOW_PAUSE_MS)).await;
                fleet.nodes[node].signal("-CONT");
                actix_rt::time::sleep(Duration::from_millis(SLOW_RUN_MS)).await;
            }
            restart(fleet, &[node]).await;
        }
        PlannedWork::SignalsInSeries => {
            let node = step % count;
            for signal in ["-TERM", "-HUP", "-TERM"] {
                fleet.nodes[node].signal(signal);
                actix_rt::time::sleep(SIGNAL_PAUSE).await;
            }
            restart(fleet, &[node]).await;
        }
        PlannedWork::Overlapping => {
            let stopped: BTreeSet<usize> = (step * 3..step * 3 + 3).map(|n| n % count).collect();
            for node in &stopped {
                fleet.nodes[*node].signal("-TERM");
                actix_rt::time::sleep(SIGNAL_PAUSE).await;
                reload(fleet);
                configure(fleet, step);
            }
            restart(fleet, &Vec::from_iter(stopped)).await;
        }
        PlannedWork::Reload => reload(fleet),
        PlannedWork::Configure => configure(fleet, step),
    }
}

/// Sends SIGHUP to all processes that run.
fn reload(fleet: &mut Fleet) {
    for node in &mut fleet.nodes {
        node.signal("-HUP");
    }
}

/// Publishes three configurations in immediate succession.
fn configure(fleet: &Fleet, step: usize) {
    for number in 0..3 {
        let version = u64::try_from(step * 3 + number + 2).expect("a small number");
        fleet.deployment.configure(&configuration(version));
    }
}

/// Starts processes again once they have ended by themselves.
async fn restart(fleet: &mut Fleet, stopped: &[usize]) {
    for node in stopped {
        fleet.nodes[*node].wait_until_ended().await;
    }
    for node in stopped {
        fleet.nodes[*node].start();
    }
    fleet.wait_until_ready().await;
}

/// Caller that keeps its connections until the server closes them.
struct SteadyCaller {
    name: String,
    nodes: Vec<SocketAddr>,
    stop: Rc<Cell<bool>>,
    exchanges: Rc<RefCell<Vec<Exchange>>>,
    /// Idle connections by node, with the time since which each has rested.
    connections: BTreeMap<SocketAddr, (Connection, Instant)>,
    sent: u64,
    random: ChaCha8Rng,
}

impl SteadyCaller {
    async fn run(mut self) {
        while !self.stop.get() {
            self.run_program().await;
        }
    }

    /// Runs a conversation of kept turns, each sent as soon as the one before is whole, or one
    /// request of another kind.
    async fn run_program(&mut self) {
        let kinds = [
            Kind::StoredTurn,
            Kind::StoredTurn,
            Kind::Turn,
            Kind::TurnOnce,
            Kind::SafeCall,
            Kind::CallOnce,
        ];
        let kind = *kinds.choose(&mut self.random).expect("some kinds");
        let program = format!("program-{}-{}", self.name, self.sent);
        let turns = match kind {
            Kind::StoredTurn => self.random.random_range(1..=MAX_TURNS),
            _ => 1,
        };
        let mut previous = None;
        for _ in 0..turns {
            if self.stop.get() {
                return;
            }
            let exchange = self.send(kind, &program, previous.as_ref()).await;
            let is_success = exchange.is_success();
            previous = Some(exchange.id.clone());
            self.exchanges.borrow_mut().push(exchange);
            if !is_success {
                return;
            }
        }
    }

    async fn send(&mut self, kind: Kind, program: &str, previous: Option<&String>) -> Exchange {
        self.sent += 1;
        let id = format!("request-{}-{}", self.name, self.sent);
        let deadline = u64::try_from(DEADLINE.as_millis()).expect("a short time");
        let mut request = Request::new("POST", kind.path(), &id)
            .deadline(deadline)
            .body(&format!("input of {id} "));
        if !kind.is_call() {
            let budget = TURN_TOKENS * u64::from(MAX_TURNS) * 4;
            request = request.turn(program, budget, TURN_TOKENS);
        }
        if let Some(previous) = previous {
            request = request.previous_turn(previous);
        }
        let node = *self.nodes.choose(&mut self.random).expect("some nodes");
        let kept = self.connections.remove(&node);
        let usable = kept.filter(|(_, since)| since.elapsed() < MAX_REST);
        let kept = usable.map(|(connection, _)| connection);
        let sent = Instant::now();
        let exchanged = request.try_send_on(kept, node, DEADLINE + READ_ON).await;
        let took = sent.elapsed();
        let answer = exchanged.map(|(answer, connection)| {
            let header = answer.header("connection");
            if answer.is_whole && header.is_none_or(|value| value != "close") {
                self.connections.insert(node, (connection, Instant::now()));
            }
            answer
        });
        Exchange {
            id,
            kind,
            previous: previous.cloned(),
            node,
            sent,
            took,
            deadline: DEADLINE,
            answer: answer.filter(|answer| answer.status != 0),
        }
    }
}
