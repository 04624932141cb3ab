//! Computation of a service's room, and admission by many nodes that share it.

mod common;

use std::time::Duration;

use elderworks_gateway_core::admission::{
    Admission, AdmissionMode, AdmissionRules, Arrival, Demand, ProgramState, QueueLimits, Room,
    ServiceKey, Turn, Waiting,
};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};

const SERVICE: &str = "engines";
const NOW: Timestamp = Timestamp(1_000_000);
const NODES: u32 = 78;

fn record(id: &str, draining: bool) -> WorkerRecord {
    WorkerRecord {
        draining,
        ..common::engine(id, "a")
    }
}

/// Returns two workers, each with three of this node's requests in flight.
fn two_workers() -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(Policy::default());
    for id in ["one", "two"] {
        workers.upsert(record(id, false), NOW);
        for _ in 0..3 {
            workers.note_start(id, NOW);
        }
    }
    workers
}

type Change = fn(&mut WorkerDirectory);

#[test]
fn only_workers_that_accept_requests_contribute_slots() {
    let cases: [(&str, Change, u32, u32, u32); 5] = [
        ("both healthy", |_| {}, 8, 0, 0),
        (
            "one draining: its requests occupy no slot of the other",
            |workers| {
                workers.upsert(record("two", true), NOW);
            },
            4,
            0,
            3,
        ),
        (
            "one missing",
            |workers| {
                workers.mark_missing("two", NOW);
            },
            4,
            0,
            3,
        ),
        (
            "one ejected",
            |workers| {
                (0..3).for_each(|_| {
                    workers.note_failure("two", NOW);
                });
            },
            4,
            0,
            3,
        ),
        (
            "one at capacity: its slots count as taken",
            |workers| workers.note_full("two", NOW),
            8,
            1,
            0,
        ),
    ];
    for (what, change, slots, taken_by_others, own_uncounted) in cases {
        let mut workers = two_workers();
        change(&mut workers);
        let expected = Room {
            slots,
            taken_by_others,
            own_uncounted,
            nodes: NODES,
        };
        assert_eq!(Room::of(&workers, SERVICE, NODES, NOW), expected, "{what}");
    }
}

fn rules() -> AdmissionRules {
    AdmissionRules {
        mode: AdmissionMode::ToldDemand,
        full_share: 1.0,
        floor_interval: 4,
        fair_share: true,
        limits: QueueLimits {
            entries: 16,
            bytes: 10_000,
        },
    }
}

fn turn(seed: u64) -> Turn {
    Turn {
        urgency: 1,
        tenant: None,
        program_state: ProgramState::Started,
        finish: None,
        latest_start: NOW + Duration::from_millis(1_500),
        prompt_tokens: 1_000,
        bytes: 10,
        seed,
    }
}

/// Returns a report of `count` turns that wait at other nodes.
fn waiting_elsewhere(count: u32) -> Demand {
    let mut waiting = Waiting::default();
    waiting.0[1] = count;
    Demand {
        waiting: [(ServiceKey::of(SERVICE), waiting)].into(),
        served: Vec::new(),
    }
}

/// Number of simulations with different seeds whose results are averaged.
const SIMULATIONS: u64 = 50;

/// Returns the mean number of turns that 78 nodes with one waiting turn each send to twelve free
/// places within `rounds` intervals.
fn sent_within(rounds: u32) -> f64 {
    let sent: usize = (0..SIMULATIONS)
        .map(|simulation| sent_in_simulation(simulation, rounds))
        .sum();
    sent as f64 / SIMULATIONS as f64
}

fn sent_in_simulation(simulation: u64, rounds: u32) -> usize {
    let full = Room {
        slots: 12,
        taken_by_others: 12,
        own_uncounted: 0,
        nodes: NODES,
    };
    let mut sent = 0;
    for node in 0..u64::from(NODES) {
        let mut admission = Admission::new(rules());
        let decision = admission.arrive(NOW, SERVICE, full, turn(simulation * 1_000 + node));
        assert!(matches!(decision.arrival, Arrival::Wait { .. }));
        admission.apply_peer_demand(NOW, NodeId::from("others"), waiting_elsewhere(NODES - 1));
        let free = Room {
            taken_by_others: 0,
            ..full
        };
        for round in 1..=rounds {
            let at = NOW + Duration::from_millis(100) * round;
            sent += admission.release(at, SERVICE, free).len();
        }
    }
    sent
}

#[test]
fn many_nodes_with_small_shares_fill_free_places_without_overshooting() {
    let in_first = sent_within(1);
    assert!((5.0..=7.0).contains(&in_first), "{in_first} of 12 places");
    let in_two = sent_within(2);
    assert!((10.0..=14.0).contains(&in_two), "{in_two} of 12 places");
}

#[test]
fn an_idle_node_does_not_overestimate_the_arrival_rate_of_the_others() {
    let room = Room {
        slots: 672,
        taken_by_others: 672,
        own_uncounted: 0,
        nodes: NODES,
    };
    let mut admission = Admission::new(rules());
    // With turns of 250 ms, 672 places complete 2,688 turns per second.
    for _ in 0..8 {
        let free = Room {
            taken_by_others: 0,
            ..room
        };
        admission.arrive(NOW, SERVICE, free, with_urgency(9));
        admission.complete(SERVICE, Some(Duration::from_millis(250)));
    }
    admission.apply_peer_demand(NOW, NodeId::from("others"), waiting_elsewhere(400));
    admission.arrive(NOW, SERVICE, room, with_urgency(0));
    let decision = admission.arrive(NOW, SERVICE, room, with_urgency(1));
    assert!(
        matches!(decision.arrival, Arrival::Wait { .. }),
        "{decision:?}"
    );
}

/// Returns a turn that can wait for 250 ms.
fn with_urgency(urgency: u8) -> Turn {
    Turn {
        urgency,
        latest_start: NOW + Duration::from_millis(250),
        ..turn(1)
    }
}

/// Numbers of slots that are each in order add up to no less than each of them.
#[test]
fn the_room_of_many_slots_does_not_overflow() {
    let mut workers = WorkerDirectory::new(Policy::default());
    for id in ["one", "two", "three"] {
        let many = WorkerRecord {
            slots: u32::MAX - 5,
            ..common::engine(id, "a")
        };
        workers.upsert(many, NOW);
        workers.note_full(id, NOW);
    }
    let room = Room::of(&workers, SERVICE, NODES, NOW);
    assert_eq!((room.slots, room.taken_by_others), (u32::MAX, u32::MAX));
}
