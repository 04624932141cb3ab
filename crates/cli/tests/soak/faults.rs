//! Faults: how they are drawn from a seed, injected and healed.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, VERSIONS};
use crate::proxy::{LinkFault, Side};
use crate::standin::store::StoreFault;
use crate::standin::worker::{Behaviour, SurplusRate};

/// Fault that is injected for a limited time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process is paused by SIGSTOP.
    Pause { node: usize },
    /// A process is killed by SIGKILL; healing starts it again.
    Kill { node: usize },
    /// A process is stopped by SIGTERM; healing starts it again.
    Stop { node: usize },
    /// `count` processes with consecutive numbers are stopped by SIGTERM at the same time; healing
    /// starts them again.
    StopSeveral { first: usize, count: usize },
    /// A process is killed, started, and stopped by SIGTERM while it starts.
    StopWhileStarting { node: usize },
    /// All processes are killed by SIGKILL at the same time.
    KillAll,
    /// The open connections of one process to the store carry no more data; new ones work.
    BlackholeStoreLink { node: usize },
    /// The open connections to a worker carry no more data; new ones work.
    BlackholeWorkerLink { worker: usize },
    /// The store has a fault that affects all processes.
    Store(StoreFault),
    /// The store has a fault that affects one partition of the ledger.
    StorePartition {
        partition: u64,
        store_fault: StoreFault,
    },
    /// The connections of one process to the store have a fault.
    StoreLink { node: usize, link_fault: LinkFault },
    /// The connections to one worker have a fault.
    WorkerLink {
        worker: usize,
        link_fault: LinkFault,
    },
    /// A worker misbehaves.
    Worker { worker: usize, behaviour: Behaviour },
    /// One engine after another is replaced, at the same time by engines of these versions; healing
    /// removes those that leave.
    Release { versions: Vec<&'static str> },
    /// The store compacts the history of configurations, workers and nodes.
    Compact,
    /// The open connections to a worker are reset on one side; new ones work.
    ResetWorkerLink { worker: usize, side: Side },
    /// The workers of a service send answers that belong to no request.
    Surplus {
        service: &'static str,
        rate: SurplusRate,
    },
    /// `count` new configurations are published in immediate succession.
    Configure { count: u64 },
}

/// Maximum duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(1_800);

/// Maximum number of configurations published by one fault. Each fault reserves this many versions.
pub const MAX_CONFIGURATIONS: u64 = 5;

/// Minimum duration of a fault.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(200);

/// Draws a fault and its duration.
pub fn draw(random: &mut ChaCha8Rng, fleet: &Fleet) -> (Fault, Duration) {
    let node = random.random_range(0..fleet.nodes.len());
    let worker = random.random_range(0..fleet.workers.len());
    let fault = match random.random_range(0..23) {
        0 | 1 => Fault::Pause { node },
        2 | 3 => Fault::Kill { node },
        4 => Fault::Stop { node },
        5 => Fault::KillAll,
        6 | 7 => Fault::Store(draw_store_fault(random)),
        8 => Fault::StorePartition {
            partition: random.random_range(0..4),
            store_fault: draw_store_fault(random),
        },
        9 => Fault::StoreLink {
            node,
            link_fault: draw_link_fault(random),
        },
        10 => Fault::WorkerLink {
            worker,
            link_fault: draw_link_fault(random),
        },
        11 => Fault::Worker {
            worker,
            behaviour: draw_behaviour(random, fleet, worker),
        },
        12 => Fault::Compact,
        13 | 14 => Fault::Configure {
            count: random.random_range(1..=MAX_CONFIGURATIONS),
        },
        15 => Fault::StopSeveral {
            first: node,
            count: random.random_range(2..=fleet.nodes.len().max(2)),
        },
        16 | 17 => Fault::StopWhileStarting { node },
        18 => Fault::BlackholeStoreLink { node },
        19..=21 => {
            let count = random.random_range(1..=2);
            let versions = (0..count).map(|_| *VERSIONS.choose(random).expect("some versions"));
            Fault::Release {
                versions: versions.collect(),
            }
        }
        _ => Fault::BlackholeWorkerLink { worker },
    };
    (
        fault,
        random.random_range(MIN_FAULT_DURATION..MAX_FAULT_DURATION),
    )
}

fn draw_store_fault(random: &mut ChaCha8Rng) -> StoreFault {
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

fn draw_link_fault(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..4) {
        0 => LinkFault::Delay(random.random_range(5..300)),
        1 => LinkFault::Silence,
        2 => LinkFault::SilenceFromTarget,
        _ => LinkFault::Reset,
    }
}

fn draw_behaviour(random: &mut ChaCha8Rng, fleet: &Fleet, worker: usize) -> Behaviour {
    let healthy_behaviour = fleet.workers[worker].healthy_behaviour();
    let Behaviour::Events { count, .. } = healthy_behaviour else {
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

/// Injects a fault. `version` is larger for each fault, so that configurations get new versions.
pub fn inject(fault: &Fault, fleet: &mut Fleet, version: u64) {
    match fault {
        Fault::Pause { node } => fleet.nodes[*node].signal("-STOP"),
        Fault::Kill { node } => fleet.nodes[*node].kill(),
        Fault::Stop { node } => fleet.nodes[*node].signal("-TERM"),
        Fault::StopSeveral { first, count } => {
            for node in consecutive_nodes(fleet, *first, *count) {
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
        Fault::BlackholeStoreLink { node } => {
            fleet.nodes[*node].store_link.blackhole_open_connections()
        }
        Fault::ResetWorkerLink { worker, side } => {
            fleet.workers[*worker].link.reset_open_connections(*side);
        }
        Fault::Surplus { service, rate } => set_surplus(fleet, service, Some(*rate)),
        Fault::BlackholeWorkerLink { worker } => {
            fleet.workers[*worker].link.blackhole_open_connections()
        }
        Fault::Store(store_fault) => fleet.deployment.store.set_fault(*store_fault),
        Fault::StorePartition {
            partition,
            store_fault,
        } => {
            let store = &fleet.deployment.store;
            store.set_partition_trouble(*partition, *store_fault);
        }
        Fault::StoreLink { node, link_fault } => {
            fleet.nodes[*node].store_link.set_fault(*link_fault);
        }
        Fault::WorkerLink { worker, link_fault } => {
            fleet.workers[*worker].link.set_fault(*link_fault)
        }
        Fault::Worker { worker, behaviour } => {
            fleet.workers[*worker]
                .worker
                .set_behaviour(behaviour.clone());
        }
        Fault::Release { versions } => {
            for version in versions {
                fleet.replace_engine(version);
            }
        }
        Fault::Compact => fleet.deployment.store.compact_keyed(),
        Fault::Configure { count } => {
            for index in 0..*count {
                let next = fleet.configuration(version * MAX_CONFIGURATIONS + index);
                fleet.deployment.configure(&next);
            }
        }
    }
}

/// Ends a fault and restores normal operation.
pub fn heal(fault: &Fault, fleet: &mut Fleet) {
    match fault {
        Fault::Pause { node } => fleet.nodes[*node].signal("-CONT"),
        Fault::Kill { node } => fleet.nodes[*node].start(),
        Fault::Stop { node } | Fault::StopWhileStarting { node } => restart(fleet, *node),
        Fault::StopSeveral { first, count } => {
            for node in consecutive_nodes(fleet, *first, *count) {
                restart(fleet, node);
            }
        }
        Fault::KillAll => fleet.nodes.iter_mut().for_each(|node| node.start()),
        Fault::Store(_) => fleet.deployment.store.set_fault(StoreFault::None),
        Fault::StorePartition { partition, .. } => {
            let store = &fleet.deployment.store;
            store.set_partition_trouble(*partition, StoreFault::None);
        }
        Fault::StoreLink { node, .. } => fleet.nodes[*node].store_link.set_fault(LinkFault::None),
        Fault::WorkerLink { worker, .. } => {
            fleet.workers[*worker].link.set_fault(LinkFault::None);
        }
        Fault::Worker { worker, .. } => {
            let proxied = &fleet.workers[*worker];
            proxied.worker.set_behaviour(proxied.healthy_behaviour());
        }
        Fault::Surplus { service, .. } => set_surplus(fleet, service, None),
        Fault::Release { .. } => fleet.remove_leaving_engines(),
        Fault::Compact
        | Fault::Configure { .. }
        | Fault::ResetWorkerLink { .. }
        | Fault::BlackholeStoreLink { .. }
        | Fault::BlackholeWorkerLink { .. } => {}
    }
}

/// Sets how often the workers of a service send answers that belong to no request.
fn set_surplus(fleet: &Fleet, service: &str, rate: Option<SurplusRate>) {
    let workers = fleet.workers.iter();
    for proxied in workers.filter(|proxied| proxied.service == service) {
        proxied.worker.set_surplus(rate);
    }
}

fn restart(fleet: &mut Fleet, node: usize) {
    fleet.nodes[node].kill();
    fleet.nodes[node].start();
}

/// Returns the numbers of `count` consecutive nodes from `first` on, wrapping around, without
/// duplicates.
fn consecutive_nodes(fleet: &Fleet, first: usize, count: usize) -> Vec<usize> {
    let nodes = fleet.nodes.len();
    (first..first + count.min(nodes))
        .map(|number| number % nodes)
        .collect()
}
