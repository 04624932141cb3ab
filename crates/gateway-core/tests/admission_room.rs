//! The room of a service: which workers' slots count, and what is taken of them.

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

/// Two workers, at each of which this node has three requests under way.
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
fn only_workers_that_take_work_have_slots() {
    let cases: [(&str, Change, u32, u32, u32); 5] = [
        ("both are well", |_| {}, 8, 0, 0),
        (
            "one drains: its streams take no slot of the other",
            |workers| {
                workers.upsert(record("two", true), NOW);
            },
            4,
            0,
            3,
        ),
        (
            "one is missing",
            |workers| {
                workers.mark_missing("two", NOW);
            },
            4,
            0,
            3,
        ),
        (
            "one is ejected",
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
            "one refused for lack of room: its slots are taken, not gone",
            |workers| workers.note_full("two", NOW),
            8,
            1,
            0,
        ),
    ];
    for (what, change, slots, told, apart) in cases {
        let mut workers = two_workers();
        change(&mut workers);
        let expected = Room {
            slots,
            told,
            apart,
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

fn turn(spread: u64) -> Turn {
    Turn {
        urgency: 1,
        tenant: None,
        program_state: ProgramState::Started,
        finish: None,
        latest_start: NOW + Duration::from_millis(1_500),
        prompt_tokens: 1_000,
        bytes: 10,
        seed: spread,
    }
}

/// What the other nodes tell: so many turns wait there.
fn waiting_elsewhere(count: u32) -> Demand {
    let mut waiting = Waiting::default();
    waiting.0[1] = count;
    Demand {
        waiting: [(ServiceKey::of(SERVICE), waiting)].into(),
        served: Vec::new(),
    }
}

/// Times that a case is played, each with other chances.
const PLAYS: u64 = 50;

/// Turns that 78 nodes, at each of which one waits, send within some rounds to twelve free places;
/// the mean of all plays.
fn sent_within(rounds: u32) -> f64 {
    let sent: usize = (0..PLAYS).map(|play| sent_in_play(play, rounds)).sum();
    sent as f64 / PLAYS as f64
}

fn sent_in_play(play: u64, rounds: u32) -> usize {
    let full = Room {
        slots: 12,
        told: 12,
        apart: 0,
        nodes: NODES,
    };
    let mut sent = 0;
    for node in 0..u64::from(NODES) {
        let mut admission = Admission::new(rules());
        let decision = admission.arrive(NOW, SERVICE, full, turn(play * 1_000 + node));
        assert!(matches!(decision.arrival, Arrival::Wait { .. }));
        admission.apply_peer_demand(NOW, NodeId::from("others"), waiting_elsewhere(NODES - 1));
        let free = Room { told: 0, ..full };
        for round in 1..=rounds {
            let at = NOW + Duration::from_millis(100) * round;
            sent += admission.release(at, SERVICE, free).len();
        }
    }
    sent
}

#[test]
fn many_nodes_with_small_shares_fill_free_places_at_once_and_do_not_rush() {
    let in_first = sent_within(1);
    assert!((5.0..=7.0).contains(&in_first), "{in_first} of 12 places");
    let in_two = sent_within(2);
    assert!((10.0..=14.0).contains(&in_two), "{in_two} of 12 places");
}

#[test]
fn a_node_that_has_next_to_nothing_under_way_does_not_take_the_others_for_many_more() {
    let room = Room {
        slots: 672,
        told: 672,
        apart: 0,
        nodes: NODES,
    };
    let mut admission = Admission::new(rules());
    // The pace is known: turns take 250 ms, so 672 places leave 2,688 turns a second.
    for _ in 0..8 {
        let free = Room { told: 0, ..room };
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

/// A turn that can wait 250 ms.
fn with_urgency(urgency: u8) -> Turn {
    Turn {
        urgency,
        latest_start: NOW + Duration::from_millis(250),
        ..turn(1)
    }
}
