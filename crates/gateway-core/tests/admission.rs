//! Single decisions of the admission control.

use std::time::Duration;

use elderworks_gateway_core::admission::{
    Admission, AdmissionMode, AdmissionRules, Arrival, Demand, ProgramState, QueueLimits, Room,
    ServiceKey, Ticket, Turn, Waiting,
};
use elderworks_gateway_core::peer_loads::REPORT_LIFETIME;
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_types::{NodeId, Timestamp};

const SERVICE: &str = "engines";
const START: Timestamp = Timestamp(1_000_000);
const ROOM: Room = Room {
    slots: 2,
    taken_by_others: 0,
    own_uncounted: 0,
    nodes: 1,
};
const MAX_WAIT: Duration = Duration::from_millis(1_500);

fn after(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn rules(mode: AdmissionMode) -> AdmissionRules {
    AdmissionRules {
        mode,
        full_share: 1.0,
        floor_interval: 4,
        fair_share: true,
        limits: QueueLimits {
            entries: 16,
            bytes: 1_000,
        },
    }
}

fn admission() -> Admission {
    Admission::new(rules(AdmissionMode::ToldDemand))
}

fn turn(urgency: u8) -> Turn {
    Turn {
        urgency,
        tenant: None,
        program_state: ProgramState::Started,
        finish: None,
        latest_start: START + MAX_WAIT,
        prompt_tokens: 1_000,
        bytes: 10,
        seed: 1,
    }
}

/// Returns an admission control with all places taken and a known turn time of 250 ms.
fn full_admission() -> Admission {
    let mut admission = admission();
    for _ in 0..8 {
        admission.arrive(START, SERVICE, ROOM, turn(9));
        admission.complete(SERVICE, Some(Duration::from_millis(250)));
    }
    for _ in 0..ROOM.slots {
        let decision = admission.arrive(START, SERVICE, ROOM, turn(9));
        assert_eq!(decision.arrival, Arrival::Admit);
    }
    admission
}

fn waits(admission: &mut Admission, turn: Turn) -> Ticket {
    match admission.arrive(START, SERVICE, ROOM, turn).arrival {
        Arrival::Wait { ticket, .. } => ticket,
        other => panic!("{other:?}"),
    }
}

/// Returns the order in which turns are released as `count` turns complete.
fn release_order(admission: &mut Admission, count: usize) -> Vec<Ticket> {
    let mut order = Vec::new();
    for _ in 0..count {
        admission.complete(SERVICE, None);
        order.extend(admission.release(START, SERVICE, ROOM));
    }
    order
}

#[test]
fn turns_are_admitted_immediately_while_places_are_free() {
    for mode in [
        AdmissionMode::Off,
        AdmissionMode::ToldLoad,
        AdmissionMode::ToldDemand,
    ] {
        let mut admission = Admission::new(rules(mode));
        for _ in 0..ROOM.slots {
            let decision = admission.arrive(START, SERVICE, ROOM, turn(5));
            assert_eq!(decision.arrival, Arrival::Admit, "{mode:?}");
        }
        let decision = admission.arrive(START, SERVICE, ROOM, turn(0));
        let is_admitted = decision.arrival == Arrival::Admit;
        assert_eq!(is_admitted, mode == AdmissionMode::Off, "{mode:?}");
    }
}

#[test]
fn places_taken_by_other_nodes_are_not_free() {
    let taken_by_others = Room {
        taken_by_others: 2,
        ..ROOM
    };
    let mut admission = admission();
    let decision = admission.arrive(START, SERVICE, taken_by_others, turn(0));
    assert!(matches!(decision.arrival, Arrival::Wait { .. }));
}

#[test]
fn turns_do_not_wait_for_a_service_without_workers() {
    let mut admission = full_admission();
    let waiting = waits(&mut admission, turn(0));
    let none = Room::default();
    let decision = admission.arrive(START, SERVICE, none, turn(0));
    assert_eq!(decision.arrival, Arrival::Admit);
    assert_eq!(admission.release(START, SERVICE, none), [waiting]);
}

#[test]
fn turns_are_ordered_by_urgency_then_program_state_then_deadline() {
    let finish = |milliseconds| Some(after(milliseconds));
    let with = |urgency, program_state, finish| Turn {
        program_state,
        finish,
        ..turn(urgency)
    };
    let cases = [
        ("urgency", turn(2), turn(0)),
        (
            "program state",
            with(1, ProgramState::New, finish(900)),
            with(1, ProgramState::Started, finish(2_000)),
        ),
        (
            "deadline",
            with(1, ProgramState::Started, finish(2_000)),
            with(1, ProgramState::Started, finish(900)),
        ),
        (
            "a program that will miss its deadline comes later",
            with(1, ProgramState::Started, finish(20)),
            with(1, ProgramState::New, finish(2_000)),
        ),
        (
            "but still before less urgent turns",
            with(2, ProgramState::Started, finish(2_000)),
            with(0, ProgramState::New, finish(20)),
        ),
    ];
    for (what, later, first) in cases {
        let mut admission = full_admission();
        let later = waits(&mut admission, later);
        let first = waits(&mut admission, first);
        assert_eq!(release_order(&mut admission, 2), [first, later], "{what}");
    }
}

#[test]
fn every_fourth_release_is_the_longest_waiting_turn() {
    let mut admission = full_admission();
    let longest_waiting = waits(&mut admission, turn(9));
    for _ in 0..6 {
        waits(&mut admission, turn(0));
    }
    let order = release_order(&mut admission, 7);
    assert_eq!(
        order.iter().position(|ticket| *ticket == longest_waiting),
        Some(3)
    );
}

#[test]
fn tenants_above_their_share_wait_behind_the_others() {
    let of = |tenant| Turn {
        tenant: Some(TenantKey(tenant)),
        ..turn(1)
    };
    for fair_share in [true, false] {
        let mut admission = Admission::new(AdmissionRules {
            fair_share,
            ..rules(AdmissionMode::ToldDemand)
        });
        for tenant in [1, 2, 3] {
            admission.charge(START, Some(TenantKey(tenant)), 1_000);
        }
        admission.charge(START, Some(TenantKey(9)), 20_000);
        for _ in 0..ROOM.slots {
            admission.arrive(START, SERVICE, ROOM, turn(0));
        }
        let hot = waits(&mut admission, of(9));
        let other = waits(&mut admission, of(1));
        let expected = match fair_share {
            true => [other, hot],
            false => [hot, other],
        };
        assert_eq!(release_order(&mut admission, 2), expected);
    }
}

#[test]
fn tokens_served_long_ago_do_not_count() {
    let mut admission = admission();
    let hot = Some(TenantKey(9));
    admission.charge(START, hot, 40_000);
    let later = after(60_000);
    for tenant in [1, 2, 3] {
        admission.charge(later, Some(TenantKey(tenant)), 1_000);
    }
    for _ in 0..ROOM.slots {
        admission.arrive(later, SERVICE, ROOM, turn(0));
    }
    let of = |tenant| Turn {
        tenant,
        latest_start: later + MAX_WAIT,
        ..turn(1)
    };
    let mut tickets = Vec::new();
    for tenant in [hot, Some(TenantKey(1))] {
        match admission.arrive(later, SERVICE, ROOM, of(tenant)).arrival {
            Arrival::Wait { ticket, .. } => tickets.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(release_order(&mut admission, 2), tickets);
}

#[test]
fn a_turn_that_cannot_start_in_time_is_refused_immediately() {
    // Two places and 250 ms per turn: eight turns complete per second, so the twelfth waits 1.5 s.
    let mut admission = full_admission();
    let mut waiting = 0;
    let refused = loop {
        match admission.arrive(START, SERVICE, ROOM, turn(1)).arrival {
            Arrival::Wait { .. } => waiting += 1,
            Arrival::Refuse(refused) => break refused,
            Arrival::Admit => panic!("admitted without a free place"),
        }
    };
    assert_eq!(waiting, 12);
    assert_eq!(refused.ahead, 12);
    assert!(!refused.queue_full);
    let wait = Duration::from_millis(13 * 125);
    assert!(refused.retry_after >= wait, "{refused:?}");
    assert!(refused.retry_after <= wait.mul_f64(1.5), "{refused:?}");
    // A more urgent turn comes first and can still start in time.
    waits(&mut admission, turn(0));
}

#[test]
fn no_turn_is_refused_before_the_turn_time_is_known() {
    let mut admission = admission();
    for _ in 0..ROOM.slots {
        admission.arrive(START, SERVICE, ROOM, turn(1));
    }
    for _ in 0..16 {
        waits(&mut admission, turn(1));
    }
}

#[test]
fn turns_of_new_programs_are_refused_before_those_of_started_programs() {
    let mut admission = full_admission();
    for _ in 0..7 {
        waits(&mut admission, turn(1));
    }
    let new_program = Turn {
        program_state: ProgramState::New,
        ..turn(1)
    };
    let decision = admission.arrive(START, SERVICE, ROOM, new_program);
    assert!(matches!(decision.arrival, Arrival::Refuse(_)));
    waits(&mut admission, turn(1));
}

#[test]
fn refused_callers_get_different_retry_times() {
    let mut admission = full_admission();
    for _ in 0..12 {
        waits(&mut admission, turn(1));
    }
    let mut pauses: Vec<Duration> = (0..8)
        .map(|seed| {
            let turn = Turn { seed, ..turn(1) };
            match admission.arrive(START, SERVICE, ROOM, turn).arrival {
                Arrival::Refuse(refused) => refused.retry_after,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    pauses.sort();
    pauses.dedup();
    assert_eq!(pauses.len(), 8);
    assert!(pauses[7] - pauses[0] > Duration::from_millis(300));
}

#[test]
fn a_full_queue_displaces_its_last_turn() {
    let heavy = |urgency, bytes| Turn {
        bytes,
        ..turn(urgency)
    };
    let mut admission = full_admission();
    let last = waits(&mut admission, heavy(5, 600));
    let first = waits(&mut admission, heavy(1, 300));
    let decision = admission.arrive(START, SERVICE, ROOM, heavy(6, 300));
    assert!(
        matches!(decision.arrival, Arrival::Refuse(refused) if refused.queue_full),
        "no waiting turn comes after it"
    );
    let decision = admission.arrive(START, SERVICE, ROOM, heavy(2, 300));
    assert!(matches!(decision.arrival, Arrival::Wait { .. }));
    assert_eq!(decision.displaced, [last]);
    let decision = admission.arrive(START, SERVICE, ROOM, heavy(0, 2_000));
    assert!(matches!(decision.arrival, Arrival::Refuse(refused) if refused.queue_full));
    assert_eq!(decision.displaced, [], "larger than the whole queue");
    assert_eq!(release_order(&mut admission, 1), [first]);
}

#[test]
fn a_withdrawn_turn_is_not_released() {
    let mut admission = full_admission();
    let left = waits(&mut admission, turn(0));
    let stays = waits(&mut admission, turn(0));
    admission.withdraw(SERVICE, left);
    admission.withdraw(SERVICE, left);
    assert_eq!(admission.waiting_count(), 1);
    assert_eq!(release_order(&mut admission, 2), [stays]);
}

fn demand(urgency: usize, count: u32) -> Demand {
    let mut waiting = Waiting::default();
    waiting.0[urgency] = count;
    Demand {
        waiting: [(ServiceKey::of(SERVICE), waiting)].into(),
        served: Vec::new(),
    }
}

/// Returns the number of turns that are released when all places become free while other turns
/// wait elsewhere. Each interval allots half of the free places.
fn released_with(urgency: u8, elsewhere: Demand, at: Timestamp) -> usize {
    let taken = Room {
        slots: 100,
        taken_by_others: 100,
        own_uncounted: 0,
        nodes: 2,
    };
    let free = Room {
        taken_by_others: 0,
        ..taken
    };
    let mut admission = Admission::new(AdmissionRules {
        limits: QueueLimits {
            entries: 100,
            bytes: 100_000,
        },
        ..rules(AdmissionMode::ToldDemand)
    });
    for _ in 0..100 {
        let decision = admission.arrive(START, SERVICE, taken, turn(urgency));
        assert!(matches!(decision.arrival, Arrival::Wait { .. }));
    }
    admission.apply_peer_demand(START, NodeId::from("other"), elsewhere);
    admission.drop_old(at);
    admission.release(at, SERVICE, free).len()
}

#[test]
fn free_places_are_divided_by_urgency_and_waiting_turns() {
    let late = START + REPORT_LIFETIME;
    let cases = [
        ("no turns elsewhere", 1, Demand::default(), START, 100),
        ("as many turns elsewhere", 1, demand(1, 100), START, 25),
        ("three times as many", 1, demand(1, 300), START, 12),
        ("more urgent turns: the floor", 1, demand(0, 300), START, 3),
        (
            "less urgent turns: all but their floor",
            1,
            demand(2, 300),
            START,
            40,
        ),
        ("an expired report", 1, demand(0, 300), late, 100),
    ];
    for (what, urgency, elsewhere, at, expected) in cases {
        assert_eq!(released_with(urgency, elsewhere, at), expected, "{what}");
    }
}
