//! Faults and their ends, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::proxy::Disturbance;
use crate::standin::platform::configuration;
use crate::standin::store::StoreFault;
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
    /// Several processes, one after the other by their numbers, are told to stop at once; they start
    /// again at the end.
    StopSeveral { first: usize, count: usize },
    /// A process is killed and started, and told to stop while it starts.
    StopWhileStarting { node: usize },
    /// All processes are killed at once.
    KillAll,
    /// The connections of one process to the store fall silent for good; new ones work.
    ForgetStoreLink { node: usize },
    /// The same for the connections to a worker.
    ForgetWorkerLink { worker: usize },
    /// The store misbehaves for everyone.
    Store(StoreFault),
    /// The store misbehaves for one partition of the ledger.
    StorePartition { partition: u64, trouble: StoreFault },
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
    /// New configurations are published, one right after the other.
    Configure { count: u64 },
}

/// Longest time that one fault is in force.
const LONGEST: Duration = Duration::from_millis(1_800);

/// Most configurations published one right after the other; versions grow by this with each fault.
pub const MOST_CONFIGURATIONS: u64 = 5;

/// Shortest time.
const SHORTEST: Duration = Duration::from_millis(200);

/// Draws a fault and how long it is in force.
pub fn draw(random: &mut ChaCha8Rng, fleet: &Fleet) -> (Fault, Duration) {
    let node = random.random_range(0..fleet.nodes.len());
    let worker = random.random_range(0..fleet.workers.len());
    let fault = match random.random_range(0..20) {
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
        13 | 14 => Fault::Configure {
            count: random.random_range(1..=MOST_CONFIGURATIONS),
        },
        15 => Fault::StopSeveral {
            first: node,
            count: random.random_range(2..=fleet.nodes.len().max(2)),
        },
        16 | 17 => Fault::StopWhileStarting { node },
        18 => Fault::ForgetStoreLink { node },
        _ => Fault::ForgetWorkerLink { worker },
    };
    (fault, random.random_range(SHORTEST..LONGEST))
}

fn draw_trouble(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..8) {
        0 => StoreFault::Busy,
        1 => StoreFault::Throttled,
        2 => StoreFault::Full,
        3 => StoreFault::Silent,
        4 => StoreFault::Reset,
        5 => StoreFault::AnswersLost,
        6 => StoreFault::DoneLate(random.random_range(200..3_000)),
        _ => StoreFault::Slow(random.random_range(20..600)),
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
        Fault::StopSeveral { first, count } => {
            for node in several(fleet, *first, *count) {
                fleet.nodes[node].signal("-TERM");
            }
        }
        Fault::StopWhileStarting { node } => {
            let node = &mut fleet.nodes[*node];
            node.kill();
            node.start();
            node.signal("-TERM");
        }
        Fault::KillAll => fleet.nodes.iter_mut().for_each(|node| node.kill()),
        Fault::ForgetStoreLink { node } => fleet.nodes[*node].store_link.forget(),
        Fault::ForgetWorkerLink { worker } => fleet.workers[*worker].link.forget(),
        Fault::Store(trouble) => fleet.deployment.store.set_fault(*trouble),
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
        Fault::Configure { count } => {
            for further in 0..*count {
                let next = configuration(version * MOST_CONFIGURATIONS + further);
                fleet.deployment.configure(&next);
            }
        }
    }
}

/// Ends a fault.
pub fn end(fault: &Fault, fleet: &mut Fleet) {
    match fault {
        Fault::Pause { node } => fleet.nodes[*node].signal("-CONT"),
        Fault::Kill { node } => fleet.nodes[*node].start(),
        Fault::Stop { node } | Fault::StopWhileStarting { node } => restart(fleet, *node),
        Fault::StopSeveral { first, count } => {
            for node in several(fleet, *first, *count) {
                restart(fleet, node);
            }
        }
        Fault::KillAll => fleet.nodes.iter_mut().for_each(|node| node.start()),
        Fault::Store(_) => fleet.deployment.store.set_fault(StoreFault::None),
        Fault::StorePartition { partition, .. } => {
            let store = &fleet.deployment.store;
            store.set_partition_trouble(*partition, StoreFault::None);
        }
        Fault::StoreLink { node, .. } => fleet.nodes[*node].store_link.disturb(Disturbance::None),
        Fault::WorkerLink { worker, .. } => {
            fleet.workers[*worker].link.disturb(Disturbance::None);
        }
        Fault::Worker { worker, .. } => {
            let reached = &fleet.workers[*worker];
            reached.worker.set_behaviour(reached.well_behaved());
        }
        Fault::Compact
        | Fault::Configure { .. }
        | Fault::ForgetStoreLink { .. }
        | Fault::ForgetWorkerLink { .. } => {}
    }
}

fn restart(fleet: &mut Fleet, node: usize) {
    fleet.nodes[node].kill();
    fleet.nodes[node].start();
}

/// Numbers of `count` nodes from `first` on, in a circle; none twice.
fn several(fleet: &Fleet, first: usize, count: usize) -> Vec<usize> {
    let nodes = fleet.nodes.len();
    (first..first + count.min(nodes))
        .map(|number| number % nodes)
        .collect()
}
