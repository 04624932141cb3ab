//! Faults and their ends, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::proxy::Disturbance;
use crate::standin::platform::configuration;
use crate::standin::store::Trouble;
use crate::standin::worker::Behaviour;

/// One fault in force.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process stands still.
    Pause { node: usize },
    /// A process is killed; it starts again at the end.
    Kill { node: usize },
    /// A process is told to stop; it starts again at the end.
    Stop { node: usize },
    /// All processes are killed at once.
    KillAll,
    /// The store misbehaves for everyone.
    Store(Trouble),
    /// The store misbehaves for one partition of the ledger.
    StorePartition { partition: u64, trouble: Trouble },
    /// The connections of one process to the store are disturbed.
    StoreLink {
        node: usize,
        disturbance: Disturbance,
    },
    /// The connections to one worker are disturbed.
    WorkerLink {
        worker: usize,
        disturbance: Disturbance,
    },
    /// A worker misbehaves.
    Worker { worker: usize, behaviour: Behaviour },
    /// The store forgets the history of configurations, workers and nodes.
    Compact,
    /// A new configuration is published.
    Configure,
}

/// Longest time that one fault is in force.
const LONGEST: Duration = Duration::from_millis(1_800);

/// Shortest time.
const SHORTEST: Duration = Duration::from_millis(200);

/// Draws a fault and how long it is in force.
pub fn draw(random: &mut ChaCha8Rng, fleet: &Fleet) -> (Fault, Duration) {
    let node = random.random_range(0..fleet.nodes.len());
    let worker = random.random_range(0..fleet.workers.len());
    let fault = match random.random_range(0..14) {
        0 | 1 => Fault::Pause { node },
        2 | 3 => Fault::Kill { node },
        4 => Fault::Stop { node },
        5 => Fault::KillAll,
        6 | 7 => Fault::Store(draw_trouble(random)),
        8 => Fault::StorePartition {
            partition: random.random_range(0..4),
            trouble: draw_trouble(random),
        },
        9 => Fault::StoreLink {
            node,
            disturbance: draw_disturbance(random),
        },
        10 => Fault::WorkerLink {
            worker,
            disturbance: draw_disturbance(random),
        },
        11 => Fault::Worker {
            worker,
            behaviour: draw_behaviour(random, fleet, worker),
        },
        12 => Fault::Compact,
        _ => Fault::Configure,
    };
    (fault, random.random_range(SHORTEST..LONGEST))
}

fn draw_trouble(random: &mut ChaCha8Rng) -> Trouble {
    match random.random_range(0..8) {
        0 => Trouble::Busy,
        1 => Trouble::Throttled,
        2 => Trouble::Full,
        3 => Trouble::Silent,
        4 => Trouble::Reset,
        5 => Trouble::AnswersLost,
        6 => Trouble::DoneLate(random.random_range(200..3_000)),
        _ => Trouble::Slow(random.random_range(20..600)),
    }
}

fn draw_disturbance(random: &mut ChaCha8Rng) -> Disturbance {
    match random.random_range(0..4) {
        0 => Disturbance::Delay(random.random_range(5..300)),
        1 => Disturbance::Silence,
        2 => Disturbance::SilenceFromTarget,
        _ => Disturbance::Reset,
    }
}

fn draw_behaviour(random: &mut ChaCha8Rng, fleet: &Fleet, worker: usize) -> Behaviour {
    let well_behaved = fleet.workers[worker].well_behaved();
    let Behaviour::Events { count, .. } = well_behaved else {
        return match random.random_range(0..8) {
            0 => Behaviour::Fail("500 Internal Server Error"),
            1 => Behaviour::Refuse,
            2 => Behaviour::RunAndReset,
            3 => Behaviour::RunAndHang,
            4 => Behaviour::CutShort,
            5 => Behaviour::Noise,
            6 => Behaviour::ForeignFirst,
            _ => Behaviour::AnswerTwice,
        };
    };
    match random.random_range(0..4) {
        0 => Behaviour::Refuse,
        1 => Behaviour::RunAndReset,
        2 => Behaviour::RunAndHang,
        _ => Behaviour::BreakAfter {
            events: random.random_range(0..count),
            of: count,
        },
    }
}

/// Brings a fault about.
pub fn begin(fault: &Fault, fleet: &mut Fleet, version: u64) {
    match fault {
        Fault::Pause { node } => fleet.nodes[*node].signal("-STOP"),
        Fault::Kill { node } => fleet.nodes[*node].kill(),
        Fault::Stop { node } => fleet.nodes[*node].signal("-TERM"),
        Fault::KillAll => fleet.nodes.iter_mut().for_each(|node| node.kill()),
        Fault::Store(trouble) => fleet.deployment.store.set_trouble(*trouble),
        Fault::StorePartition { partition, trouble } => {
            let store = &fleet.deployment.store;
            store.set_partition_trouble(*partition, *trouble);
        }
        Fault::StoreLink { node, disturbance } => {
            fleet.nodes[*node].store_link.disturb(*disturbance);
        }
        Fault::WorkerLink {
            worker,
            disturbance,
        } => fleet.workers[*worker].link.disturb(*disturbance),
        Fault::Worker { worker, behaviour } => {
            fleet.workers[*worker]
                .worker
                .set_behaviour(behaviour.clone());
        }
        Fault::Compact => fleet.deployment.store.compact_keyed(),
        Fault::Configure => fleet.deployment.configure(&configuration(version)),
    }
}

/// Ends a fault.
pub fn end(fault: &Fault, fleet: &mut Fleet) {
    match fault {
        Fault::Pause { node } => fleet.nodes[*node].signal("-CONT"),
        Fault::Kill { node } => fleet.nodes[*node].start(),
        Fault::Stop { node } => {
            fleet.nodes[*node].kill();
            fleet.nodes[*node].start();
        }
        Fault::KillAll => fleet.nodes.iter_mut().for_each(|node| node.start()),
        Fault::Store(_) => fleet.deployment.store.set_trouble(Trouble::None),
        Fault::StorePartition { partition, .. } => {
            let store = &fleet.deployment.store;
            store.set_partition_trouble(*partition, Trouble::None);
        }
        Fault::StoreLink { node, .. } => fleet.nodes[*node].store_link.disturb(Disturbance::None),
        Fault::WorkerLink { worker, .. } => {
            fleet.workers[*worker].link.disturb(Disturbance::None);
        }
        Fault::Worker { worker, .. } => {
            let reached = &fleet.workers[*worker];
            reached.worker.set_behaviour(reached.well_behaved());
        }
        Fault::Compact | Fault::Configure => {}
    }
}
