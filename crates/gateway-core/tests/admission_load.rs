//! Admission of turns to engines under load: several nodes that know of each other what was told
//! up to 100 ms ago.

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

/// Time of a turn at an engine, in ms.
const TURN: u64 = 250;

/// Turns that the engines can run in a second.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / TURN as f64;

/// Resolution, and interval at which nodes tell each other, in ms.
const STEP: u64 = 10;
const TOLD: u64 = 100;

/// How long a turn can wait, in ms.
const PATIENCE: u64 = 1_500;

/// What callers ask for.
#[derive(Clone, Copy, Debug)]
struct Kind {
    urgency: u8,
    tenant: u64,
    /// Turns a second, as a share of what the engines can run.
    load: f64,
    /// From when until when it is asked for, in ms.
    during: (u64, u64),
}

/// What became of one kind.
#[derive(Clone, Debug, Default)]
struct Outcome {
    asked: u32,
    refused: u32,
    in_vain: u32,
    waits: Vec<u64>,
}

impl Outcome {
    fn percentile(&self, percent: usize) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let index = (waits.len() * percent / 100).min(waits.len().saturating_sub(1));
        waits.get(index).copied().unwrap_or(0)
    }

    fn served_share(&self) -> f64 {
        self.waits.len() as f64 / f64::from(self.asked.max(1))
    }
}

/// A disturbance of the first node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// It ends, and callers go to the others.
    Dies {
        at: u64,
    },
    /// It neither tells nor takes anything; callers go to the others, what it runs ends.
    StandsStill {
        from: u64,
        to: u64,
    },
    /// It serves, and no word passes between it and the others.
    CutOff {
        from: u64,
        to: u64,
    },
}

impl Trouble {
    fn is_away(self, now: u64) -> bool {
        match self {
            Self::None | Self::CutOff { .. } => false,
            Self::Dies { at } => now >= at,
            Self::StandsStill { from, to } => (from..to).contains(&now),
        }
    }

    fn is_silent(self, now: u64) -> bool {
        match self {
            Self::CutOff { from, to } => (from..to).contains(&now),
            other => other.is_away(now),
        }
    }
}

struct Waiting {
    kind: usize,
    arrived: u64,
}

struct Fleet {
    nodes: Vec<Admission>,
    waiting: Vec<BTreeMap<Ticket, Waiting>>,
    /// When the turns under way end, by node.
    running: Vec<Vec<u64>>,
    /// When each slot of the engines is free again; a turn that is sent while none is waits there.
    slots: BinaryHeap<Reverse<u64>>,
    /// What the nodes last told: when, and how much they had under way.
    told: Vec<(u64, u32)>,
    most_running: usize,
    outcomes: Vec<Outcome>,
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(1_000_000) + Duration::from_millis(milliseconds)
}

impl Fleet {
    fn new(mode: AdmissionMode, fair_share: bool, kinds: usize) -> Self {
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
            told: vec![(0, 0); NODES],
            most_running: 0,
            outcomes: vec![Outcome::default(); kinds],
        }
    }

    /// What a node knows of the room: its own turns exactly, the others' as last told.
    fn room(&self, node: usize, now: u64) -> Room {
        let others = (0..NODES).filter(|other| *other != node);
        let fresh = others.filter(|other| now - self.told[*other].0 < 1_200);
        Room {
            slots: SLOTS,
            told: fresh.map(|other| self.told[other].1).sum(),
            apart: 0,
            nodes: NODES as u32,
        }
    }

    /// Sends a turn to the engines; tells how long it waits there.
    fn send(&mut self, node: usize, now: u64) -> u64 {
        let Reverse(free) = self.slots.pop().expect("there are slots");
        let begins = free.max(now);
        self.slots.push(Reverse(begins + TURN));
        self.running[node].push(begins + TURN);
        begins - now
    }

    fn arrive(&mut self, node: usize, now: u64, index: usize, kind: Kind, spread: u64) {
        let turn = Turn {
            urgency: kind.urgency,
            tenant: Some(TenantKey(kind.tenant)),
            program_state: ProgramState::Started,
            finish: None,
            latest_start: at(now + PATIENCE),
            prompt_tokens: 1_000,
            bytes: 1_000,
            seed: spread,
        };
        self.outcomes[index].asked += 1;
        let room = self.room(node, now);
        let decision = self.nodes[node].arrive(at(now), SERVICE, room, turn);
        for displaced in decision.displaced {
            let waiting = self.waiting[node].remove(&displaced).expect("it waits");
            self.outcomes[waiting.kind].refused += 1;
        }
        match decision.arrival {
            Arrival::Admit => {
                let waits = self.send(node, now);
                self.outcomes[index].waits.push(waits);
            }
            Arrival::Wait { ticket, .. } => {
                let waiting = Waiting {
                    kind: index,
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
            let took = Duration::from_millis(TURN);
            self.nodes[node].complete(SERVICE, Some(took));
        }
        self.nodes[node].drop_old(at(now));
        let room = self.room(node, now);
        for ticket in self.nodes[node].release(at(now), SERVICE, room) {
            let waiting = self.waiting[node].remove(&ticket).expect("it waits");
            let waited = now - waiting.arrived + self.send(node, now);
            self.outcomes[waiting.kind].waits.push(waited);
        }
        let is_over = |waiting: &Waiting| now >= waiting.arrived + PATIENCE;
        let over: Vec<Ticket> = self.waiting[node]
            .iter()
            .filter(|(_, waiting)| is_over(waiting))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in over {
            let waiting = self.waiting[node].remove(&ticket).expect("it waits");
            self.outcomes[waiting.kind].in_vain += 1;
            self.nodes[node].withdraw(SERVICE, ticket);
        }
    }

    fn tell(&mut self, now: u64, trouble: Trouble) {
        for node in 0..NODES {
            if node == 0 && trouble.is_silent(now) {
                continue;
            }
            self.told[node] = (now, u32::try_from(self.running[node].len()).expect("few"));
            let demand = self.nodes[node].demand(at(now));
            for other in 0..NODES {
                let is_cut = other == 0 && trouble.is_silent(now);
                if other != node && !is_cut {
                    let name = NodeId::from(format!("n{node}").as_str());
                    self.nodes[other].apply_peer_demand(at(now), name, demand.clone());
                }
            }
        }
    }
}

/// Plays kinds of load for a while; the outcomes are those of the kinds, in their order.
fn play(
    mode: AdmissionMode,
    fair_share: bool,
    trouble: Trouble,
    length: u64,
    kinds: &[Kind],
) -> Fleet {
    let mut fleet = Fleet::new(mode, fair_share, kinds.len());
    let mut due = vec![0.0; kinds.len()];
    let mut next = 0_u64;
    for now in (0..length).step_by(usize::try_from(STEP).expect("small")) {
        for (index, kind) in kinds.iter().enumerate() {
            if (kind.during.0..kind.during.1).contains(&now) {
                due[index] += kind.load * CAPACITY * STEP as f64 / 1_000.0;
            }
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                next += 1;
                let mut node = usize::try_from(next * 7 % NODES as u64).expect("small");
                if node == 0 && trouble.is_away(now) {
                    node = 1;
                }
                fleet.arrive(node, now, index, *kind, next);
            }
        }
        for node in 0..NODES {
            if node > 0 || !trouble.is_away(now) {
                fleet.step(node, now);
            }
        }
        if now % TOLD == 0 {
            fleet.tell(now, trouble);
        }
        let running: usize = fleet.running.iter().map(Vec::len).sum();
        fleet.most_running = fleet.most_running.max(running);
    }
    fleet
}

const fn kind(urgency: u8, tenant: u64, load: f64, during: (u64, u64)) -> Kind {
    Kind {
        urgency,
        tenant,
        load,
        during,
    }
}

const TOLD_MODES: [AdmissionMode; 2] = [AdmissionMode::ToldLoad, AdmissionMode::ToldDemand];

#[test]
fn a_calm_load_is_never_delayed() {
    for mode in TOLD_MODES {
        let kinds = [kind(0, 1, 0.4, (0, 5_000)), kind(2, 2, 0.4, (0, 5_000))];
        let fleet = play(mode, true, Trouble::None, 5_000, &kinds);
        for outcome in &fleet.outcomes {
            assert_eq!(outcome.percentile(100), 0, "{mode:?}");
            assert_eq!(outcome.refused + outcome.in_vain, 0, "{mode:?}");
        }
    }
}

#[test]
fn in_a_burst_urgent_turns_go_first_and_the_others_keep_their_floor() {
    // 0.6 of what the engines can run, and 2.4 times as much for three seconds.
    let kinds = [
        kind(0, 1, 0.3, (0, 8_000)),
        kind(2, 2, 0.3, (0, 8_000)),
        kind(0, 1, 0.42, (2_000, 5_000)),
        kind(2, 2, 0.42, (2_000, 5_000)),
    ];
    let mode = AdmissionMode::ToldDemand;
    let fleet = play(mode, true, Trouble::None, 8_000, &kinds);
    for urgent in [&fleet.outcomes[0], &fleet.outcomes[2]] {
        assert!(urgent.served_share() > 0.99, "{}", urgent.served_share());
        assert!(urgent.percentile(95) <= 150, "{}", urgent.percentile(95));
    }
    for other in [&fleet.outcomes[1], &fleet.outcomes[3]] {
        assert!(other.served_share() > 0.5, "{}", other.served_share());
        let in_vain = f64::from(other.in_vain) / f64::from(other.asked);
        assert!(in_vain < 0.06, "{in_vain} waited and were refused");
    }
    let places = f64::from(SLOTS);
    let most = fleet.most_running as f64;
    assert!(most < places * 1.4, "{most} at {places} places");
    // The ways that this one was compared with.
    for other in [AdmissionMode::Off, AdmissionMode::ToldLoad] {
        let fleet = play(other, true, Trouble::None, 8_000, &kinds);
        let urgent = &fleet.outcomes[2];
        assert!(
            urgent.percentile(95) > 1_000,
            "{other:?}: {}",
            urgent.percentile(95)
        );
    }
}

#[test]
fn nothing_starves_while_urgent_work_alone_is_more_than_all_room() {
    let kinds = [kind(0, 1, 1.5, (0, 8_000)), kind(5, 2, 0.2, (0, 8_000))];
    for mode in TOLD_MODES {
        let fleet = play(mode, true, Trouble::None, 8_000, &kinds);
        let other = &fleet.outcomes[1];
        assert!(
            other.served_share() > 0.25,
            "{mode:?}: {}",
            other.served_share()
        );
    }
}

#[test]
fn a_hot_tenant_waits_behind_the_others() {
    let length = 8_000;
    let mut kinds: Vec<Kind> = (1..=10)
        .map(|tenant| kind(1, tenant, 0.07, (0, length)))
        .collect();
    kinds.push(kind(1, 10, 6.0 * 0.07, (2_000, 6_000)));
    let slow = |fleet: &Fleet| {
        let others = fleet.outcomes[..9].iter();
        others
            .map(|outcome| outcome.percentile(95))
            .max()
            .unwrap_or(0)
    };
    {
        let mode = AdmissionMode::ToldDemand;
        let fair = play(mode, true, Trouble::None, length, &kinds);
        let unfair = play(mode, false, Trouble::None, length, &kinds);
        for outcome in &fair.outcomes[..9] {
            assert!(
                outcome.served_share() > 0.99,
                "{mode:?}: {}",
                outcome.served_share()
            );
        }
        assert!(slow(&fair) <= 150, "{mode:?}: {} ms", slow(&fair));
        assert!(
            slow(&fair) * 3 < slow(&unfair),
            "{mode:?}: {} ms",
            slow(&unfair)
        );
        let hot = &fair.outcomes[10];
        assert!(hot.served_share() > 0.5, "{mode:?}: {}", hot.served_share());
    }
}

#[test]
fn a_node_in_trouble_blocks_no_other() {
    let kinds = [kind(0, 1, 0.6, (0, 8_000)), kind(2, 2, 0.6, (0, 8_000))];
    let troubles = [
        Trouble::None,
        Trouble::Dies { at: 2_000 },
        Trouble::StandsStill {
            from: 2_000,
            to: 5_000,
        },
        Trouble::CutOff {
            from: 2_000,
            to: 5_000,
        },
    ];
    {
        let mode = AdmissionMode::ToldDemand;
        for trouble in troubles {
            let fleet = play(mode, true, trouble, 8_000, &kinds);
            let urgent = &fleet.outcomes[0];
            let served: usize = fleet
                .outcomes
                .iter()
                .map(|outcome| outcome.waits.len())
                .sum();
            let could = CAPACITY * 8.0;
            assert!(
                urgent.served_share() > 0.95,
                "{mode:?} {trouble:?}: {}",
                urgent.served_share()
            );
            assert!(
                served as f64 > could * 0.85,
                "{mode:?} {trouble:?}: {served} of {could}"
            );
        }
    }
}
