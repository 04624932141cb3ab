//! Simulates admission control under load at several nodes whose reports are up to 100 ms old.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use elderworks_gateway_core::admission::{
    Admission, AdmissionMode, AdmissionRules, Arrival, ProgramState, QueueLimits, Room, Ticket,
    Turn,
};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_types::{NodeId, Timestamp};

const SERVICE: &str = "engines";
const NODES: usize = 8;
const SLOTS: u32 = 60 * 12;

/// Run time of a turn at an engine.
const TURN_MS: u64 = 250;

/// Turns per second that the engines can run.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / TURN_MS as f64;

/// Resolution of the simulation.
const STEP_MS: u64 = 10;

/// Interval of the nodes' reports.
const REPORT_INTERVAL_MS: u64 = 100;

/// Time after which a waiting turn is refused.
const MAX_WAIT_MS: u64 = 1_500;

/// Turns of one tenant and urgency during an interval.
#[derive(Clone, Copy, Debug)]
struct Load {
    urgency: u8,
    tenant: u64,
    /// Arrival rate as a fraction of the engines' capacity.
    fraction: f64,
    /// Start and end of the interval, in milliseconds.
    during: (u64, u64),
}

/// Results of one load.
#[derive(Clone, Debug, Default)]
struct Outcome {
    arrivals: u32,
    refused: u32,
    timed_out: u32,
    /// Waiting times of the turns that ran, in milliseconds.
    waits: Vec<u64>,
}

impl Outcome {
    fn percentile(&self, percent: usize) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let index = (waits.len() * percent / 100).min(waits.len().saturating_sub(1));
        waits.get(index).copied().unwrap_or(0)
    }

    fn served_fraction(&self) -> f64 {
        self.waits.len() as f64 / f64::from(self.arrivals.max(1))
    }
}

/// A fault of the first node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The node crashes, and callers use the others.
    Crash {
        at: u64,
    },
    /// The node neither sends nor processes anything and callers use the others; its running turns
    /// complete.
    Pause {
        from: u64,
        to: u64,
    },
    /// The node serves callers, but no reports pass between it and the others.
    Partition {
        from: u64,
        to: u64,
    },
}

impl Fault {
    fn is_unavailable(self, now: u64) -> bool {
        match self {
            Self::None | Self::Partition { .. } => false,
            Self::Crash { at } => now >= at,
            Self::Pause { from, to } => (from..to).contains(&now),
        }
    }

    fn is_unreachable(self, now: u64) -> bool {
        match self {
            Self::Partition { from, to } => (from..to).contains(&now),
            other => other.is_unavailable(now),
        }
    }
}

struct Waiting {
    load: usize,
    arrived: u64,
}

struct Cluster {
    nodes: Vec<Admission>,
    waiting: Vec<BTreeMap<Ticket, Waiting>>,
    /// Completion times of the running turns, by node.
    running: Vec<Vec<u64>>,
    /// When each slot of the engines becomes free; turns wait at the engines for a free slot.
    slots: BinaryHeap<Reverse<u64>>,
    /// Time and number of running turns of each node's latest report.
    reports: Vec<(u64, u32)>,
    max_running: usize,
    outcomes: Vec<Outcome>,
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(1_000_000) + Duration::from_millis(milliseconds)
}

impl Cluster {
    fn new(mode: AdmissionMode, fair_share: bool, loads: usize) -> Self {
        let rules = AdmissionRules {
            mode,
            full_share: 1.0,
            floor_interval: 4,
            fair_share,
            limits: QueueLimits {
                entries: 512,
                bytes: 16_000_000,
            },
        };
        Self {
            nodes: (0..NODES).map(|_| Admission::new(rules)).collect(),
            waiting: (0..NODES).map(|_| BTreeMap::new()).collect(),
            running: vec![Vec::new(); NODES],
            slots: (0..SLOTS).map(|_| Reverse(0)).collect(),
            reports: vec![(0, 0); NODES],
            max_running: 0,
            outcomes: vec![Outcome::default(); loads],
        }
    }

    /// Returns the room as a node knows it: its own turns and the others' latest reports.
    fn room(&self, node: usize, now: u64) -> Room {
        let others = (0..NODES).filter(|other| *other != node);
        let fresh = others.filter(|other| now - self.reports[*other].0 < 1_200);
        Room {
            slots: SLOTS,
            taken_by_others: fresh.map(|other| self.reports[other].1).sum(),
            own_uncounted: 0,
            nodes: NODES as u32,
        }
    }

    /// Sends a turn to the engines and returns how long it waits there, in milliseconds.
    fn send(&mut self, node: usize, now: u64) -> u64 {
        let Reverse(free) = self.slots.pop().expect("there are slots");
        let start = free.max(now);
        self.slots.push(Reverse(start + TURN_MS));
        self.running[node].push(start + TURN_MS);
        start - now
    }

    fn arrive(&mut self, node: usize, now: u64, index: usize, load: Load, seed: u64) {
        let turn = Turn {
            urgency: load.urgency,
            tenant: Some(TenantKey(load.tenant)),
            program_state: ProgramState::Started,
            finish: None,
            latest_start: at(now + MAX_WAIT_MS),
            prompt_tokens: 1_000,
            bytes: 1_000,
            seed,
        };
        self.outcomes[index].arrivals += 1;
        let room = self.room(node, now);
        let decision = self.nodes[node].arrive(at(now), SERVICE, room, turn);
        for displaced in decision.displaced {
            let waiting = self.waiting[node].remove(&displaced).expect("it waits");
            self.outcomes[waiting.load].refused += 1;
        }
        match decision.arrival {
            Arrival::Admit => {
                let waits = self.send(node, now);
                self.outcomes[index].waits.push(waits);
            }
            Arrival::Wait { ticket, .. } => {
                let waiting = Waiting {
                    load: index,
                    arrived: now,
                };
                self.waiting[node].insert(ticket, waiting);
            }
            Arrival::Refuse(_) => self.outcomes[index].refused += 1,
        }
    }

    fn step(&mut self, node: usize, now: u64) {
        let ended = self.running[node].iter().filter(|end| **end <= now).count();
        self.running[node].retain(|end| *end > now);
        for _ in 0..ended {
            let took = Duration::from_millis(TURN_MS);
            self.nodes[node].complete(SERVICE, Some(took));
        }
        self.nodes[node].drop_old(at(now));
        let room = self.room(node, now);
        for ticket in self.nodes[node].release(at(now), SERVICE, room) {
            let waiting = self.waiting[node].remove(&ticket).expect("it waits");
            let waited = now - waiting.arrived + self.send(node, now);
            self.outcomes[waiting.load].waits.push(waited);
        }
        let is_over = |waiting: &Waiting| now >= waiting.arrived + MAX_WAIT_MS;
        let over: Vec<Ticket> = self.waiting[node]
            .iter()
            .filter(|(_, waiting)| is_over(waiting))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in over {
            let waiting = self.waiting[node].remove(&ticket).expect("it waits");
            self.outcomes[waiting.load].timed_out += 1;
            self.nodes[node].withdraw(SERVICE, ticket);
        }
    }

    fn send_reports(&mut self, now: u64, fault: Fault) {
        for node in 0..NODES {
            if node == 0 && fault.is_unreachable(now) {
                continue;
            }
            self.reports[node] = (now, u32::try_from(self.running[node].len()).expect("few"));
            let demand = self.nodes[node].demand(at(now));
            for other in 0..NODES {
                let is_cut_off = other == 0 && fault.is_unreachable(now);
                if other != node && !is_cut_off {
                    let name = NodeId::from(format!("n{node}").as_str());
                    self.nodes[other].apply_peer_demand(at(now), name, demand.clone());
                }
            }
        }
    }
}

/// Simulates loads for `length` milliseconds; the outcomes are in the order of the loads.
fn simulate(
    mode: AdmissionMode,
    fair_share: bool,
    fault: Fault,
    length: u64,
    loads: &[Load],
) -> Cluster {
    let mut cluster = Cluster::new(mode, fair_share, loads.len());
    let mut due = vec![0.0; loads.len()];
    let mut next = 0_u64;
    for now in (0..length).step_by(usize::try_from(STEP_MS).expect("small")) {
        for (index, load) in loads.iter().enumerate() {
            if (load.during.0..load.during.1).contains(&now) {
                due[index] += load.fraction * CAPACITY_PER_S * STEP_MS as f64 / 1_000.0;
            }
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                next += 1;
                let mut node = usize::try_from(next * 7 % NODES as u64).expect("small");
                if node == 0 && fault.is_unavailable(now) {
                    node = 1;
                }
                cluster.arrive(node, now, index, *load, next);
            }
        }
        for node in 0..NODES {
            if node > 0 || !fault.is_unavailable(now) {
                cluster.step(node, now);
            }
        }
        if now % REPORT_INTERVAL_MS == 0 {
            cluster.send_reports(now, fault);
        }
        let running: usize = cluster.running.iter().map(Vec::len).sum();
        cluster.max_running = cluster.max_running.max(running);
    }
    cluster
}

const fn load(urgency: u8, tenant: u64, fraction: f64, during: (u64, u64)) -> Load {
    Load {
        urgency,
        tenant,
        fraction,
        during,
    }
}

const REPORTING_MODES: [AdmissionMode; 2] = [AdmissionMode::ToldLoad, AdmissionMode::ToldDemand];

#[test]
fn turns_below_capacity_are_never_delayed() {
    for mode in REPORTING_MODES {
        let loads = [load(0, 1, 0.4, (0, 5_000)), load(2, 2, 0.4, (0, 5_000))];
        let cluster = simulate(mode, true, Fault::None, 5_000, &loads);
        for outcome in &cluster.outcomes {
            assert_eq!(outcome.percentile(100), 0, "{mode:?}");
            assert_eq!(outcome.refused + outcome.timed_out, 0, "{mode:?}");
        }
    }
}

#[test]
fn in_a_burst_urgent_turns_come_first_and_the_others_keep_their_floor() {
    // A load of 0.6, which rises to 1.44 for three seconds.
    let loads = [
        load(0, 1, 0.3, (0, 8_000)),
        load(2, 2, 0.3, (0, 8_000)),
        load(0, 1, 0.42, (2_000, 5_000)),
        load(2, 2, 0.42, (2_000, 5_000)),
    ];
    let mode = AdmissionMode::ToldDemand;
    let cluster = simulate(mode, true, Fault::None, 8_000, &loads);
    for urgent in [&cluster.outcomes[0], &cluster.outcomes[2]] {
        assert!(
            urgent.served_fraction() > 0.99,
            "{}",
            urgent.served_fraction()
        );
        assert!(urgent.percentile(95) <= 150, "{}", urgent.percentile(95));
    }
    for other in [&cluster.outcomes[1], &cluster.outcomes[3]] {
        assert!(other.served_fraction() > 0.5, "{}", other.served_fraction());
        let timed_out = f64::from(other.timed_out) / f64::from(other.arrivals);
        assert!(timed_out < 0.06, "{timed_out} timed out");
    }
    let places = f64::from(SLOTS);
    let max = cluster.max_running as f64;
    assert!(max < places * 1.4, "{max} at {places} places");
    // The other modes delay urgent turns.
    for other in [AdmissionMode::Off, AdmissionMode::ToldLoad] {
        let cluster = simulate(other, true, Fault::None, 8_000, &loads);
        let urgent = &cluster.outcomes[2];
        assert!(
            urgent.percentile(95) > 1_000,
            "{other:?}: {}",
            urgent.percentile(95)
        );
    }
}

#[test]
fn no_turn_starves_while_urgent_turns_exceed_the_capacity() {
    let loads = [load(0, 1, 1.5, (0, 8_000)), load(5, 2, 0.2, (0, 8_000))];
    for mode in REPORTING_MODES {
        let cluster = simulate(mode, true, Fault::None, 8_000, &loads);
        let other = &cluster.outcomes[1];
        assert!(
            other.served_fraction() > 0.25,
            "{mode:?}: {}",
            other.served_fraction()
        );
    }
}

#[test]
fn a_hot_tenant_waits_behind_the_others() {
    let length = 8_000;
    let mut loads: Vec<Load> = (1..=10)
        .map(|tenant| load(1, tenant, 0.07, (0, length)))
        .collect();
    loads.push(load(1, 10, 6.0 * 0.07, (2_000, 6_000)));
    let slowest = |cluster: &Cluster| {
        let others = cluster.outcomes[..9].iter();
        others
            .map(|outcome| outcome.percentile(95))
            .max()
            .unwrap_or(0)
    };
    {
        let mode = AdmissionMode::ToldDemand;
        let fair = simulate(mode, true, Fault::None, length, &loads);
        let unfair = simulate(mode, false, Fault::None, length, &loads);
        for outcome in &fair.outcomes[..9] {
            assert!(
                outcome.served_fraction() > 0.99,
                "{mode:?}: {}",
                outcome.served_fraction()
            );
        }
        assert!(slowest(&fair) <= 150, "{mode:?}: {} ms", slowest(&fair));
        assert!(
            slowest(&fair) * 3 < slowest(&unfair),
            "{mode:?}: {} ms",
            slowest(&unfair)
        );
        let hot = &fair.outcomes[10];
        assert!(
            hot.served_fraction() > 0.5,
            "{mode:?}: {}",
            hot.served_fraction()
        );
    }
}

#[test]
fn a_faulty_node_does_not_block_the_others() {
    let loads = [load(0, 1, 0.6, (0, 8_000)), load(2, 2, 0.6, (0, 8_000))];
    let faults = [
        Fault::None,
        Fault::Crash { at: 2_000 },
        Fault::Pause {
            from: 2_000,
            to: 5_000,
        },
        Fault::Partition {
            from: 2_000,
            to: 5_000,
        },
    ];
    {
        let mode = AdmissionMode::ToldDemand;
        for fault in faults {
            let cluster = simulate(mode, true, fault, 8_000, &loads);
            let urgent = &cluster.outcomes[0];
            let served: usize = cluster
                .outcomes
                .iter()
                .map(|outcome| outcome.waits.len())
                .sum();
            let capacity = CAPACITY_PER_S * 8.0;
            assert!(
                urgent.served_fraction() > 0.95,
                "{mode:?} {fault:?}: {}",
                urgent.served_fraction()
            );
            assert!(
                served as f64 > capacity * 0.85,
                "{mode:?} {fault:?}: {served} of {capacity}"
            );
        }
    }
}
