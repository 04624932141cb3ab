//! Admission of turns to engines: single decisions.

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
    told: 0,
    apart: 0,
    nodes: 1,
};
const PATIENCE: Duration = Duration::from_millis(1_500);

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
        latest_start: START + PATIENCE,
        prompt_tokens: 1_000,
        bytes: 10,
        seed: 1,
    }
}

/// An admission whose places are all taken.
fn full() -> Admission {
    let mut admission = admission();
    // The pace is known: turns take 250 ms.
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

/// The order in which turns go, one for each that ends.
fn order_of(admission: &mut Admission, count: usize) -> Vec<Ticket> {
    let mut order = Vec::new();
    for _ in 0..count {
        admission.complete(SERVICE, None);
        order.extend(admission.release(START, SERVICE, ROOM));
    }
    order
}

#[test]
fn turns_go_at_once_while_there_are_places() {
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
        let goes = decision.arrival == Arrival::Admit;
        assert_eq!(goes, mode == AdmissionMode::Off, "{mode:?}");
    }
}

#[test]
fn places_that_others_have_taken_are_not_free() {
    let told = Room { told: 2, ..ROOM };
    let mut admission = admission();
    let decision = admission.arrive(START, SERVICE, told, turn(0));
    assert!(matches!(decision.arrival, Arrival::Wait { .. }));
}

#[test]
fn a_service_without_workers_holds_nothing() {
    let mut admission = full();
    let waiting = waits(&mut admission, turn(0));
    let none = Room::default();
    let decision = admission.arrive(START, SERVICE, none, turn(0));
    assert_eq!(decision.arrival, Arrival::Admit);
    assert_eq!(admission.release(START, SERVICE, none), [waiting]);
}

#[test]
fn the_order_is_urgency_then_standing_then_slack() {
    let finish = |milliseconds| Some(after(milliseconds));
    let with = |urgency, standing, finish| Turn {
        program_state: standing,
        finish,
        ..turn(urgency)
    };
    let cases = [
        ("urgency", turn(2), turn(0)),
        (
            "standing",
            with(1, ProgramState::New, finish(900)),
            with(1, ProgramState::Started, finish(2_000)),
        ),
        (
            "slack",
            with(1, ProgramState::Started, finish(2_000)),
            with(1, ProgramState::Started, finish(900)),
        ),
        (
            "a program that ends late anyhow gives way",
            with(1, ProgramState::Started, finish(20)),
            with(1, ProgramState::New, finish(2_000)),
        ),
        (
            "but not to what is less urgent",
            with(2, ProgramState::Started, finish(2_000)),
            with(0, ProgramState::New, finish(20)),
        ),
    ];
    for (what, later, first) in cases {
        let mut admission = full();
        let later = waits(&mut admission, later);
        let first = waits(&mut admission, first);
        assert_eq!(order_of(&mut admission, 2), [first, later], "{what}");
    }
}

#[test]
fn one_release_in_four_is_the_one_that_has_waited_longest() {
    let mut admission = full();
    let patient = waits(&mut admission, turn(9));
    for _ in 0..6 {
        waits(&mut admission, turn(0));
    }
    let order = order_of(&mut admission, 7);
    assert_eq!(order.iter().position(|ticket| *ticket == patient), Some(3));
}

#[test]
fn a_tenant_that_was_served_more_than_its_share_waits_behind_the_others() {
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
        assert_eq!(order_of(&mut admission, 2), expected);
    }
}

#[test]
fn what_was_served_long_ago_does_not_count() {
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
        latest_start: later + PATIENCE,
        ..turn(1)
    };
    let mut tickets = Vec::new();
    for tenant in [hot, Some(TenantKey(1))] {
        match admission.arrive(later, SERVICE, ROOM, of(tenant)).arrival {
            Arrival::Wait { ticket, .. } => tickets.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(order_of(&mut admission, 2), tickets);
}

#[test]
fn a_turn_that_cannot_go_in_time_is_refused_at_once() {
    // Two places, 250 ms a turn: eight turns leave in a second, so twelve wait 1.5 s.
    let mut admission = full();
    let mut waiting = 0;
    let refused = loop {
        match admission.arrive(START, SERVICE, ROOM, turn(1)).arrival {
            Arrival::Wait { .. } => waiting += 1,
            Arrival::Refuse(refused) => break refused,
            Arrival::Admit => panic!("every place is taken"),
        }
    };
    assert_eq!(waiting, 12);
    assert_eq!(refused.ahead, 12);
    assert!(!refused.queue_full);
    let wait = Duration::from_millis(13 * 125);
    assert!(refused.retry_after >= wait, "{refused:?}");
    assert!(refused.retry_after <= wait.mul_f64(1.5), "{refused:?}");
    // More urgent work goes before all that, so it still can.
    waits(&mut admission, turn(0));
}

#[test]
fn nothing_is_refused_by_a_pace_that_is_not_known() {
    let mut admission = admission();
    for _ in 0..ROOM.slots {
        admission.arrive(START, SERVICE, ROOM, turn(1));
    }
    for _ in 0..16 {
        waits(&mut admission, turn(1));
    }
}

#[test]
fn newcomers_are_refused_before_turns_of_programs_that_have_begun() {
    let mut admission = full();
    for _ in 0..7 {
        waits(&mut admission, turn(1));
    }
    let newcomer = Turn {
        program_state: ProgramState::New,
        ..turn(1)
    };
    let decision = admission.arrive(START, SERVICE, ROOM, newcomer);
    assert!(matches!(decision.arrival, Arrival::Refuse(_)));
    waits(&mut admission, turn(1));
}

#[test]
fn refused_callers_are_asked_to_come_back_at_different_times() {
    let mut admission = full();
    for _ in 0..12 {
        waits(&mut admission, turn(1));
    }
    let mut pauses: Vec<Duration> = (0..8)
        .map(|spread| {
            let turn = Turn {
                seed: spread,
                ..turn(1)
            };
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
fn the_queue_is_bounded_and_the_least_pressing_makes_room() {
    let heavy = |urgency, bytes| Turn {
        bytes,
        ..turn(urgency)
    };
    let mut admission = full();
    let last = waits(&mut admission, heavy(5, 600));
    let first = waits(&mut admission, heavy(1, 300));
    let decision = admission.arrive(START, SERVICE, ROOM, heavy(6, 300));
    assert!(
        matches!(decision.arrival, Arrival::Refuse(refused) if refused.queue_full),
        "nothing goes after it"
    );
    let decision = admission.arrive(START, SERVICE, ROOM, heavy(2, 300));
    assert!(matches!(decision.arrival, Arrival::Wait { .. }));
    assert_eq!(decision.displaced, [last]);
    let decision = admission.arrive(START, SERVICE, ROOM, heavy(0, 2_000));
    assert!(matches!(decision.arrival, Arrival::Refuse(refused) if refused.queue_full));
    assert_eq!(decision.displaced, [], "it fits in no queue");
    assert_eq!(order_of(&mut admission, 1), [first]);
}

#[test]
fn a_turn_that_left_is_not_called() {
    let mut admission = full();
    let left = waits(&mut admission, turn(0));
    let stays = waits(&mut admission, turn(0));
    admission.withdraw(SERVICE, left);
    admission.withdraw(SERVICE, left);
    assert_eq!(admission.waiting_count(), 1);
    assert_eq!(order_of(&mut admission, 2), [stays]);
}

fn demand(urgency: usize, count: u32) -> Demand {
    let mut waiting = Waiting::default();
    waiting.0[urgency] = count;
    Demand {
        waiting: [(ServiceKey::of(SERVICE), waiting)].into(),
        served: Vec::new(),
    }
}

/// Turns that go at once when all places become free while others wait elsewhere. Half of the free
/// places are handed out in the first round, since every node sees them.
fn released_beside(urgency: u8, elsewhere: Demand, at: Timestamp) -> usize {
    let taken = Room {
        slots: 100,
        told: 100,
        apart: 0,
        nodes: 2,
    };
    let free = Room { told: 0, ..taken };
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
fn a_node_takes_its_share_of_the_places_and_yields_to_more_urgent_work() {
    let late = START + REPORT_LIFETIME;
    let cases = [
        ("nothing waits elsewhere", 1, Demand::default(), START, 100),
        ("as much waits elsewhere", 1, demand(1, 100), START, 25),
        ("three times as much", 1, demand(1, 300), START, 12),
        ("more urgent work: the floor", 1, demand(0, 300), START, 3),
        (
            "less urgent work: all but its floor",
            1,
            demand(2, 300),
            START,
            40,
        ),
        (
            "a node that told nothing since",
            1,
            demand(0, 300),
            late,
            100,
        ),
    ];
    for (what, urgency, elsewhere, at, expected) in cases {
        assert_eq!(released_beside(urgency, elsewhere, at), expected, "{what}");
    }
}
