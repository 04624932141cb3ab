//! Rounds in which programs go on from stored turns around a loss of processes. The budget of each
//! program holds exactly the turns that it takes. Once processes and store are sound again, every
//! turn whose previous one was answered whole must be served.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::callers::{Kind, TURN_TOKENS};
use crate::fleet::Fleet;
use crate::proxy::LinkFault;
use crate::standin::caller::Request;
use crate::standin::store::StoreFault;

/// Turns of a program.
const TURNS: u32 = 3;

/// Maximum tokens of a turn as its caller states them; it generates fewer.
const STATED_TOKENS: u64 = TURN_TOKENS + 10;

/// Budget of a program.
const BUDGET: u64 = STATED_TOKENS * TURNS as u64;

/// Time that a caller waits for an answer; also sent as the request's deadline.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Maximum number of tries of a turn.
const MAX_TRIES: usize = 8;

/// Number of tries from which a turn that was never served counts as stuck.
const STUCK_TRIES: usize = 5;

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Pause between the starts of two programs.
const PROGRAM_INTERVAL: Duration = Duration::from_millis(100);

/// Time before the loss.
const CALM: Duration = Duration::from_secs(2);

/// Time for which lost processes are down.
const DOWN: Duration = Duration::from_secs(1);

/// Time after the loss or the trouble from which every turn must be served.
const RECOVERY: Duration = Duration::from_millis(2_600);

/// Time for which programs go on after that.
const OBSERVED: Duration = Duration::from_secs(7);

/// What happens in a round.
#[derive(Clone, Copy, Debug)]
pub struct Events {
    /// Number of gateway processes.
    pub nodes: usize,
    /// Number of processes that are killed at the same time.
    pub killed: usize,
    pub trouble: Trouble,
    /// Whether all turns are stored; otherwise those of one program in four.
    pub all_stored: bool,
    /// Whether some programs go on from turns of earlier programs.
    pub imports: bool,
}

/// Trouble of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// All nodes have this trouble, from some time before the loss on.
    AroundLoss(StoreFault, Duration),
    /// All nodes have this trouble as the lost processes start again.
    AfterLoss(StoreFault, Duration),
    /// The calls of one process hang for this time; turns must be served meanwhile, too.
    OneHangs(Duration),
}

impl Events {
    /// Draws what happens in the round of a seed.
    pub fn random(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = random.random_range(RANDOM_NODES);
        let milliseconds = random.random_range(RANDOM_TROUBLE_MS);
        let time = Duration::from_millis(milliseconds);
        let faults = [
            StoreFault::Busy,
            StoreFault::Throttled,
            StoreFault::Reset,
            StoreFault::Silent,
            StoreFault::AnswersLost,
            StoreFault::Slow(random.random_range(100..600)),
        ];
        let fault = *faults.choose(&mut random).expect("some faults");
        let trouble = match random.random_range(0..8) {
            0 => Trouble::None,
            1 => Trouble::OneHangs(RECOVERY + OBSERVED),
            2..=4 => Trouble::AroundLoss(fault, time),
            _ => Trouble::AfterLoss(fault, time),
        };
        Self {
            nodes,
            killed: random.random_range(1..=nodes),
            trouble,
            all_stored: random.random_bool(0.3),
            imports: random.random_bool(0.3),
        }
    }
}

/// Numbers of processes in random rounds.
const RANDOM_NODES: std::ops::RangeInclusive<usize> = 3..=9;

/// Duration of the store's trouble in random rounds, in milliseconds.
const RANDOM_TROUBLE_MS: std::ops::Range<u64> = 1_000..4_000;

/// Time by which [`Trouble::AroundLoss`] precedes the loss.
const TROUBLE_BEFORE_LOSS: Duration = Duration::from_millis(900);

/// One turn with all its tries.
#[derive(Clone, Debug)]
struct Turn {
    kind: Kind,
    /// The turn that it continues, whose answer was whole.
    previous: Option<String>,
    began: Instant,
    /// Status of each try; 0 without a complete answer.
    tries: Vec<u16>,
    reasons: Vec<String>,
    /// Id of the try that was served.
    served: Option<String>,
    /// Whether the budget held the turn at its last try, with the program's tries that broke off at
    /// their most.
    is_owed: bool,
}

/// Result of a round.
#[derive(Debug)]
pub struct Outcome {
    /// Descriptions of the turns that continue a stored one and were never served.
    pub stuck: Vec<String>,
    /// Number of turns that continue a stored one.
    pub continued: usize,
    /// Number of turns of any kind, and how many of them were served.
    pub turns: usize,
    pub served: usize,
}

/// Turns of all programs, and the last stored turn.
#[derive(Default)]
struct Records {
    turns: RefCell<Vec<Turn>>,
    stored: RefCell<Vec<String>>,
}

/// Plays a round.
pub async fn run(seed: u64, events: Events) -> Outcome {
    let mut fleet = Fleet::start_with(seed, events.nodes).await;
    let records = Rc::new(Records::default());
    let stop = Rc::new(Cell::new(false));
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers()).collect();
    let starting = actix_rt::spawn(start_programs(
        seed,
        events,
        nodes,
        records.clone(),
        stop.clone(),
    ));
    let started = Instant::now();
    actix_rt::time::sleep(CALM).await;
    let sound_from = carry_out(&mut fleet, events).await;
    let observed_from = sound_from + RECOVERY;
    let rest = (observed_from + OBSERVED).saturating_duration_since(Instant::now());
    actix_rt::time::sleep(rest).await;
    stop.set(true);
    let programs = starting.await.expect("the programs run");
    // Most turns in progress end within two tries.
    actix_rt::time::sleep((DEADLINE + RETRY_PAUSE) * 2).await;
    for program in programs {
        program.abort();
    }
    let outcome = evaluate(&records.turns.borrow(), started, observed_from);
    println!(
        "seed {seed}: {events:?}: {} of {} continued turns stuck, {} of {} turns served; logs in {}",
        outcome.stuck.len(),
        outcome.continued,
        outcome.served,
        outcome.turns,
        fleet.folder().display(),
    );
    if outcome.stuck.is_empty() {
        std::fs::remove_dir_all(fleet.folder()).expect("the folder of the round can be removed");
    }
    outcome
}

/// Carries out loss and trouble. Returns from when on processes and store count as sound.
async fn carry_out(fleet: &mut Fleet, events: Events) -> Instant {
    let store = fleet.deployment.store.clone();
    if let Trouble::OneHangs(time) = events.trouble {
        fleet.nodes[0].store_link.set_fault(LinkFault::Silence);
        let link = fleet.nodes[0].store_link.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(time).await;
            link.set_fault(LinkFault::None);
        });
        return Instant::now();
    }
    if let Trouble::AroundLoss(fault, time) = events.trouble {
        store.set_fault(fault);
        let store = store.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(time).await;
            store.set_fault(StoreFault::None);
        });
        actix_rt::time::sleep(TROUBLE_BEFORE_LOSS).await;
    }
    for node in &mut fleet.nodes[..events.killed] {
        node.kill();
    }
    actix_rt::time::sleep(DOWN).await;
    for node in &mut fleet.nodes[..events.killed] {
        node.start();
    }
    match events.trouble {
        Trouble::AfterLoss(fault, time) => {
            fleet.wait_until_ready().await;
            store.set_fault(fault);
            actix_rt::time::sleep(time).await;
            store.set_fault(StoreFault::None);
            Instant::now()
        }
        Trouble::AroundLoss(_, time) => {
            Instant::now() + time.saturating_sub(TROUBLE_BEFORE_LOSS + DOWN)
        }
        _ => Instant::now(),
    }
}

/// Starts programs until `stop` is set. Returns their tasks.
async fn start_programs(
    seed: u64,
    events: Events,
    nodes: Vec<SocketAddr>,
    records: Rc<Records>,
    stop: Rc<Cell<bool>>,
) -> Vec<JoinHandle<()>> {
    let mut programs = Vec::new();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0;
    while !stop.get() {
        number += 1;
        let program = Program {
            name: format!("program-{seed}-{number}"),
            kind: match events.all_stored || random.random_bool(0.25) {
                true => Kind::StoredTurn,
                false => Kind::TurnOnce,
            },
            imports: events.imports && random.random_bool(0.2),
            received: 0,
            nodes: nodes.clone(),
            records: records.clone(),
            random: ChaCha8Rng::seed_from_u64(random.random()),
        };
        programs.push(actix_rt::spawn(program.run()));
        actix_rt::time::sleep(PROGRAM_INTERVAL).await;
    }
    programs
}

/// A program that takes its turns one after the other.
struct Program {
    name: String,
    kind: Kind,
    /// Whether it goes on from a turn of another program.
    imports: bool,
    /// Tokens that it may have received.
    received: u64,
    nodes: Vec<SocketAddr>,
    records: Rc<Records>,
    random: ChaCha8Rng,
}

impl Program {
    async fn run(mut self) {
        let earlier = self.records.stored.borrow().clone();
        let is_continuing = self.imports && self.kind == Kind::StoredTurn;
        let mut previous = earlier
            .choose(&mut self.random)
            .filter(|_| is_continuing)
            .cloned();
        for number in 0..TURNS {
            let turn = self.take_turn(number, previous.clone()).await;
            let served = turn.served.clone();
            self.records.turns.borrow_mut().push(turn);
            let Some(served) = served else { return };
            if self.kind == Kind::StoredTurn {
                self.records.stored.borrow_mut().push(served.clone());
                previous = Some(served);
            }
        }
    }

    async fn take_turn(&mut self, number: u32, previous: Option<String>) -> Turn {
        let mut turn = Turn {
            kind: self.kind,
            previous,
            began: Instant::now(),
            tries: Vec::new(),
            reasons: Vec::new(),
            served: None,
            is_owed: true,
        };
        let deadline = u64::try_from(DEADLINE.as_millis()).expect("a short time");
        for attempt in 0..MAX_TRIES {
            let id = format!("{}-{number}-{attempt}", self.name);
            let mut request = Request::new("POST", self.kind.path(), &id)
                .deadline(deadline)
                .body(&format!("input of {id} "))
                .turn(&self.name, BUDGET, STATED_TOKENS);
            if let Some(previous) = &turn.previous {
                request = request.previous_turn(previous);
            }
            let node = *self.nodes.choose(&mut self.random).expect("some nodes");
            let answer = request.try_send(node, DEADLINE).await;
            let answer = answer.filter(|answer| answer.is_whole);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            turn.tries.push(status);
            turn.is_owed = self.received + STATED_TOKENS <= BUDGET;
            self.received += match status {
                200 => TURN_TOKENS,
                // It may have run.
                0 => STATED_TOKENS,
                _ => 0,
            };
            if status == 200 {
                turn.served = Some(id);
                return turn;
            }
            let reason = answer.map_or_else(String::new, |answer| answer.body.trim().to_owned());
            turn.reasons
                .push(format!("{id} at {node}: {status} {reason}"));
            if matches!(status, 402 | 404) {
                return turn;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        turn
    }
}

fn evaluate(turns: &[Turn], started: Instant, observed_from: Instant) -> Outcome {
    let observed = || turns.iter().filter(|turn| turn.began >= observed_from);
    let continued = || observed().filter(|turn| turn.previous.is_some());
    let is_stuck = |turn: &&Turn| {
        let is_denied = matches!(turn.tries.last(), Some(402 | 404));
        let is_given_up = is_denied || turn.tries.len() >= STUCK_TRIES;
        turn.served.is_none() && turn.is_owed && is_given_up
    };
    let stuck = continued().filter(is_stuck).map(|turn| {
        let at = turn.began.duration_since(started).as_millis();
        format!("{:?} at {at} ms, tries {:#?}", turn.kind, turn.reasons)
    });
    Outcome {
        stuck: stuck.collect(),
        continued: continued().count(),
        turns: observed().count(),
        served: observed().filter(|turn| turn.served.is_some()).count(),
    }
}
