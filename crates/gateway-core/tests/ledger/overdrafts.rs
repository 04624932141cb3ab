//! Tests of an owner's own overdraft: opening, activation, recording and closing.

use std::time::Duration;

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, OVERDRAFT_RETENTION, OverdraftStatus, PartitionOwner, ReadOutcome,
    SLOW_CALL_THRESHOLD, Ticket, WitnessMemory,
};
use elderworks_gateway_core::policy::Policy;
use elderworks_protocol::ledger::{LedgerRecord, WitnessAction, WitnessAnswer, WitnessRequest};
use elderworks_types::Offset;

use crate::fixtures::{START, begin, begin_of, finish, no_records};
use crate::overdraft_fixtures::{
    answer, appended, granted, owner, with_active_overdraft, with_open_overdraft, witnesses,
};

#[test]
fn an_overdraft_is_opened_without_requests_if_there_are_witnesses() {
    struct Case {
        name: &'static str,
        boots: &'static [u64],
        is_preferred: bool,
        policy: Policy,
        opens: bool,
    }
    let on = Policy::default();
    let cases = [
        Case {
            name: "two witnesses",
            boots: &[1, 2],
            is_preferred: true,
            policy: on,
            opens: true,
        },
        Case {
            name: "one witness",
            boots: &[1],
            is_preferred: true,
            policy: on,
            opens: false,
        },
        Case {
            name: "another node is preferred",
            boots: &[1, 2, 3],
            is_preferred: false,
            policy: on,
            opens: false,
        },
        Case {
            name: "disabled by the policy",
            boots: &[1, 2, 3],
            is_preferred: true,
            policy: Policy {
                overdrafts: false,
                ..on
            },
            opens: false,
        },
    ];
    for case in cases {
        let mut owner = PartitionOwner::with_policy("owner".to_owned(), case.policy);
        owner.set_witnesses(witnesses(case.boots).into());
        owner.set_preferred(case.is_preferred);
        if matches!(owner.next_action(START), Action::Read { .. }) {
            owner.on_read(START, no_records(0));
        }
        let action = owner.next_action(START);
        let opens = matches!(action, Action::Append { .. });
        assert_eq!(opens, case.opens, "{}", case.name);
    }
}

#[test]
fn preparatory_calls_are_rare_while_the_log_is_down() {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.set_witnesses(witnesses(&[1, 2]).into());
    let mut now = START;
    let mut calls = 0;
    while now < START + Duration::from_secs(5) {
        match owner.next_action(now) {
            Action::Read { .. } => {
                calls += 1;
                owner.on_read(now, ReadOutcome::Failed);
            }
            Action::Wait { until } => now = until.expect("calls are retried"),
            Action::Append { .. } => panic!("no read has succeeded"),
        }
    }
    assert!((8..=14).contains(&calls), "{calls} calls in five seconds");
}

#[test]
fn turns_start_on_an_active_overdraft_up_to_its_share() {
    let mut owner = with_active_overdraft();
    assert_eq!(granted(&mut owner), 1, "the turn that waited for the log");
    // The share is a third of 90, that is 30. A turn may start if it fits into that completely.
    for (number, turn) in ["two", "three", "four", "five"].iter().enumerate() {
        let ticket = Ticket(10 + number as u64);
        owner.submit(START, ticket, begin(turn, 90, 10));
    }
    assert_eq!(granted(&mut owner), 2, "the fourth turn exceeds the share");
    owner.submit(START, Ticket(20), finish("one", 5, None));
    owner.submit(START, Ticket(21), finish("two", 4, None));
    owner.submit(START, Ticket(23), begin("too large", 90, 12));
    assert_eq!(
        granted(&mut owner),
        0,
        "19 are drawn, and another 12 exceed the share"
    );
    owner.submit(START, Ticket(22), begin("six", 90, 10));
    assert_eq!(
        granted(&mut owner),
        1,
        "finished turns count with the tokens used"
    );
}

#[test]
fn an_activation_by_a_minority_fails_and_is_retried_later() {
    let mut owner = with_open_overdraft();
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    appended(&mut owner, START);
    owner.note_slow_call(START);
    let inquiries = owner.take_witness_queries();
    answer(&mut owner, START, &inquiries[0], WitnessAnswer::Activated);
    answer(&mut owner, START, &inquiries[1], WitnessAnswer::Unknown);
    owner.on_witness_answer(START, &inquiries[2].question, None);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
    assert_eq!(granted(&mut owner), 0);
    owner.note_slow_call(START + Duration::from_millis(100));
    assert_eq!(owner.take_witness_queries(), [], "too soon");
    owner.note_slow_call(START + Duration::from_millis(600));
    assert_eq!(owner.take_witness_queries().len(), 3);
}

#[test]
fn an_overdraft_is_recorded_and_replaced_after_the_log_recovers() {
    let mut owner = with_active_overdraft();
    owner.on_append(START + SLOW_CALL_THRESHOLD / 2, AppendOutcome::Refused);
    // The tokens drawn are recorded as soon as the log accepts appends.
    let mut now = START + Duration::from_millis(200);
    let records = appended(&mut owner, now);
    let covered = records
        .iter()
        .any(|record| matches!(record, LedgerRecord::Reserved { tokens: 10, .. }));
    assert!(covered, "{records:?}");
    owner.on_append(now, AppendOutcome::Done);
    owner.take_replies();
    // Turns wait for the log again, and the overdraft is replaced a second later.
    owner.submit(now, Ticket(5), begin("two", 90, 10));
    assert_eq!(granted(&mut owner), 0);
    appended(&mut owner, now);
    owner.on_append(now, AppendOutcome::Done);
    now = now + Duration::from_secs(2);
    let records = appended(&mut owner, now);
    let closed = records
        .iter()
        .position(|record| matches!(record, LedgerRecord::OverdraftClosed { .. }));
    let opened = records
        .iter()
        .position(|record| matches!(record, LedgerRecord::Overdraft { .. }));
    assert!(closed.is_some() && closed < opened, "{records:?}");
    owner.on_append(now, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
}

#[test]
fn an_owner_that_is_no_longer_preferred_closes_an_unused_overdraft() {
    let mut owner = with_open_overdraft();
    owner.set_preferred(false);
    let records = appended(&mut owner, START);
    assert!(matches!(
        records[..],
        [LedgerRecord::OverdraftClosed { .. }]
    ));
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::None);
    assert!(matches!(owner.next_action(START), Action::Wait { .. }));
}

#[test]
fn an_overdraft_with_lost_witnesses_is_replaced_with_the_next_append() {
    let mut owner = with_open_overdraft();
    owner.set_witnesses(witnesses(&[1, 4, 5]).into());
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    let records = appended(&mut owner, START);
    let opened = records.iter().find_map(|record| match record {
        LedgerRecord::Overdraft { witnesses, .. } => Some(witnesses.clone()),
        _ => None,
    });
    assert_eq!(opened, Some(witnesses(&[1, 4, 5])));
}

#[test]
fn a_witness_decides_once_and_answers_only_for_its_own_start() {
    struct Case {
        name: &'static str,
        questions: &'static [(u64, WitnessAction)],
        answers: &'static [WitnessAnswer],
    }
    let cases = [
        Case {
            name: "activated first",
            questions: &[(7, WitnessAction::Activate), (7, WitnessAction::Fence)],
            answers: &[WitnessAnswer::Activated, WitnessAnswer::Activated],
        },
        Case {
            name: "fenced first",
            questions: &[(7, WitnessAction::Fence), (7, WitnessAction::Activate)],
            answers: &[WitnessAnswer::Fenced, WitnessAnswer::Fenced],
        },
        Case {
            name: "question for an earlier start",
            questions: &[(6, WitnessAction::Fence), (7, WitnessAction::Activate)],
            answers: &[WitnessAnswer::Unknown, WitnessAnswer::Activated],
        },
    ];
    for case in cases {
        let mut witness = WitnessMemory::new(7);
        let answers: Vec<WitnessAnswer> = case
            .questions
            .iter()
            .map(|(boot, wish)| {
                let question = WitnessRequest {
                    overdraft: "o/1".to_owned(),
                    boot: *boot,
                    wish: *wish,
                };
                witness.answer(START, &question)
            })
            .collect();
        assert_eq!(answers, case.answers, "{}", case.name);
    }
}

#[test]
fn an_overdraft_serves_only_budgets_whose_share_holds_a_typical_turn() {
    let mut owner = with_open_overdraft();
    owner.submit(START, Ticket(1), begin("one", 900, 10));
    appended(&mut owner, START);
    owner.on_append(START, AppendOutcome::Done);
    // The next append replaces the overdraft by one with a minimum budget.
    owner.submit(START, Ticket(2), begin("two", 900, 200));
    let records = appended(&mut owner, START);
    let min_budget = records.iter().find_map(|record| match record {
        LedgerRecord::OverdraftTerms { min_budget, .. } => Some(*min_budget),
        _ => None,
    });
    assert_eq!(min_budget, Some(30), "{records:?}");
    owner.on_append(START, AppendOutcome::Done);
    owner.take_replies();
    owner.submit(START, Ticket(3), begin("three", 900, 300));
    appended(&mut owner, START);
    owner.note_slow_call(START);
    for inquiry in owner.take_witness_queries() {
        answer(&mut owner, START, &inquiry, WitnessAnswer::Activated);
    }
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Active);
    for (budget, expected) in [(29, 0), (30, 1)] {
        let program = format!("of {budget}");
        owner.take_replies();
        owner.submit(
            START,
            Ticket(budget),
            begin_of(&program, "small", budget, 5),
        );
        assert_eq!(granted(&mut owner), expected, "a budget of {budget}");
    }
}

#[test]
fn a_superseded_overdraft_is_not_drawn_on() {
    for is_superseded in [false, true] {
        let mut owner = with_active_overdraft();
        granted(&mut owner);
        owner.on_append(START, AppendOutcome::Conflict);
        owner.next_action(START);
        let superseded = LedgerRecord::OverdraftSuperseded {
            overdraft: "owner/1".to_owned(),
        };
        let records: Vec<_> = is_superseded
            .then_some(Some(superseded))
            .into_iter()
            .collect();
        let end = Offset(1 + records.len() as u64);
        // The log answers slowly, so that the overdraft would still be useful.
        let now = START + SLOW_CALL_THRESHOLD;
        owner.on_read(now, ReadOutcome::Records { records, end });
        owner.submit(now, Ticket(2), begin("two", 90, 10));
        let expected = usize::from(!is_superseded);
        assert_eq!(granted(&mut owner), expected, "superseded: {is_superseded}");
    }
}

#[test]
fn an_overdraft_is_not_used_before_its_terms_are_read() {
    let mut owner = owner();
    let records = appended(&mut owner, START);
    owner.on_append(START, AppendOutcome::Unknown);
    let now = START + Duration::from_secs(1);
    owner.next_action(now);
    // A page of records that ends before the terms.
    let page = ReadOutcome::Records {
        records: records.into_iter().take(1).map(Some).collect(),
        end: Offset(2),
    };
    owner.on_read(now, page);
    owner.expire(now, Duration::from_secs(75));
    assert_eq!(owner.overdraft_status(), OverdraftStatus::None);
}

/// Witnesses forget an activation eventually, so an overdraft must not be used indefinitely.
#[test]
fn an_overdraft_is_closed_before_its_witnesses_forget_it_even_if_the_log_stays_slow() {
    let mut owner = with_active_overdraft();
    owner.on_append(START + SLOW_CALL_THRESHOLD, AppendOutcome::Done);
    let old = START + OVERDRAFT_RETENTION;
    let Action::Append { records, .. } = owner.next_action(old) else {
        panic!("the overdraft must be closed");
    };
    let is_close = |record: &LedgerRecord| matches!(record, LedgerRecord::OverdraftClosed { .. });
    assert!(records.iter().any(is_close), "{records:?}");
}

#[test]
fn budgets_and_turns_of_any_size_are_decided() {
    let mut owner = with_active_overdraft();
    for (number, (budget, tokens)) in [(u64::MAX, u64::MAX), (1, u64::MAX), (u64::MAX, 1)]
        .into_iter()
        .enumerate()
    {
        let ticket = Ticket(30 + number as u64);
        owner.submit(START, ticket, begin(&format!("t{number}"), budget, tokens));
    }
    owner.on_append(START, AppendOutcome::Done);
    for _ in 0..4 {
        if matches!(owner.next_action(START), Action::Append { .. }) {
            owner.on_append(START, AppendOutcome::Done);
        }
    }
}
