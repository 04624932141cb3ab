//! Tests of the overdrafts of other owners: fencing, charges, and what is opened beside them.

use std::time::Duration;

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, LedgerState, OverdraftStatus, PartitionOwner, ReadOutcome, Ticket,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, WitnessAction, WitnessAnswer};
use elderworks_types::{Offset, Timestamp};

use crate::fixtures::{START, begin, begin_of, no_records};
use crate::overdraft_fixtures::{
    answer, appended, granted, unstored_turn, with_active_overdraft, witnesses,
};

/// Returns a log with another owner's overdraft, whose witnesses are 1, 2 and 3.
fn foreign_overdraft() -> ReadOutcome {
    ReadOutcome::Records {
        records: vec![Some(LedgerRecord::Overdraft {
            overdraft: "lost/1".to_owned(),
            share: 3,
            witnesses: witnesses(&[1, 2, 3]),
            idle_ms: 0,
        })],
        end: Offset(1),
    }
}

fn successor() -> PartitionOwner {
    let mut owner = PartitionOwner::new("successor".to_owned());
    owner.set_witnesses(witnesses(&[1, 2, 3]).into());
    owner.next_action(START);
    owner.on_read(START, foreign_overdraft());
    owner
}

#[test]
fn a_fenced_overdraft_is_closed_and_no_longer_charged() {
    let mut owner = successor();
    // A third of 25 is charged, so two turns of 10 do not fit.
    owner.submit(START, Ticket(1), begin("one", 25, 10));
    owner.submit(START, Ticket(2), begin("two", 25, 10));
    owner.next_action(START);
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(granted(&mut owner), 1);
    let inquiries = owner.take_witness_queries();
    assert!(
        inquiries
            .iter()
            .all(|inquiry| inquiry.question.wish == WitnessAction::Fence)
    );
    for inquiry in &inquiries[..2] {
        answer(&mut owner, START, inquiry, WitnessAnswer::Fenced);
    }
    let records = appended(&mut owner, START);
    assert!(records.contains(&LedgerRecord::OverdraftClosed {
        overdraft: "lost/1".to_owned()
    }));
    owner.on_append(START, AppendOutcome::Done);
    owner.take_replies();
    owner.submit(START, Ticket(3), begin("two", 25, 10));
    owner.next_action(START);
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(
        granted(&mut owner),
        1,
        "the second turn fits after the close"
    );
}

/// An owner without access to the log and its successor must not exceed a budget together.
#[test]
fn an_isolated_owner_and_its_successor_do_not_exceed_a_budget() {
    let mut cut_off = with_active_overdraft();
    for (number, turn) in ["two", "three", "four", "five"].iter().enumerate() {
        let ticket = Ticket(10 + number as u64);
        cut_off.submit(START, ticket, begin(turn, 90, 10));
    }
    let before = granted(&mut cut_off);
    let mut successor = successor();
    for number in 0..9 {
        let turn = format!("later-{number}");
        successor.submit(START, Ticket(20 + number), begin(&turn, 90, 10));
        successor.next_action(START);
        successor.on_append(START, AppendOutcome::Done);
    }
    let after = granted(&mut successor);
    let spent = 10 * (before + after);
    assert!(spent <= 90, "{spent} of 90: {before} turns, then {after}");
}

#[test]
fn a_denial_caused_by_a_foreign_overdraft_is_never_final() {
    struct Case {
        name: &'static str,
        answer: Option<WitnessAnswer>,
        after: Duration,
        reply: LedgerReply,
    }
    let cases = [
        Case {
            name: "no witness has answered yet",
            answer: None,
            after: Duration::ZERO,
            reply: LedgerReply::BudgetUnsure,
        },
        Case {
            name: "a witness knows that it was used, though not for which programs",
            answer: Some(WitnessAnswer::Activated),
            after: Duration::from_millis(1_100),
            reply: LedgerReply::BudgetInDoubt,
        },
        Case {
            name: "the witnesses are lost",
            answer: None,
            after: Duration::from_millis(1_100),
            reply: LedgerReply::BudgetInDoubt,
        },
    ];
    for case in cases {
        let mut owner = successor();
        owner.next_action(START);
        let inquiries = owner.take_witness_queries();
        if let Some(given) = case.answer {
            answer(&mut owner, START, &inquiries[0], given);
        }
        let now = START + case.after;
        // A third of 12 is charged, so a turn of 10 does not fit.
        owner.submit(now, Ticket(1), begin("one", 12, 10));
        let mut replies = Vec::new();
        for _ in 0..6 {
            match owner.next_action(now) {
                Action::Append { .. } => owner.on_append(now, AppendOutcome::Done),
                Action::Read { from } => owner.on_read(now, no_records(from.0)),
                Action::Wait { .. } => {}
            }
            replies.extend(owner.take_replies());
        }
        assert_eq!(replies, [(Ticket(1), case.reply)], "{}", case.name);
    }
}

#[test]
fn reservations_in_the_log_reduce_the_charge_for_an_overdraft() {
    let mut state = LedgerState::default();
    let overdraft = |owner: &str| LedgerRecord::Overdraft {
        overdraft: format!("{owner}/1"),
        share: 3,
        witnesses: Vec::new(),
        idle_ms: 0,
    };
    state.apply(START, overdraft("lost"));
    let turn = unstored_turn("p", 90);
    let charge = |state: &LedgerState| state.overdrawn_by_others(turn, |name| name == "own/1");
    assert_eq!(charge(&state), 30);
    let reserve = |reservation: &str, tokens| LedgerRecord::Reserved {
        program: "p".to_owned(),
        reservation: reservation.to_owned(),
        tokens,
    };
    state.apply(START, reserve("lost/2", 20));
    assert_eq!(charge(&state), 10, "20 are reserved already");
    state.apply(START, reserve("other/2", 50));
    assert_eq!(
        charge(&state),
        10,
        "reservations of a third owner are irrelevant"
    );
    state.apply(START, reserve("lost/3", 20));
    assert_eq!(charge(&state), 0);
}

/// Returns a log with a lost owner's overdraft, which serves budgets of at least `min_budget`.
fn lost_overdraft(min_budget: u64) -> ReadOutcome {
    let ReadOutcome::Records { mut records, .. } = foreign_overdraft() else {
        panic!("records");
    };
    records.push(Some(LedgerRecord::OverdraftTerms {
        overdraft: "lost/1".to_owned(),
        min_budget,
        known_programs: false,
    }));
    ReadOutcome::Records {
        records,
        end: Offset(2),
    }
}

/// Returns an owner after the loss of all machines: the witnesses of the lost overdraft do not
/// remember it.
fn owner_after_loss_of_all(min_budget: u64) -> PartitionOwner {
    let mut owner = PartitionOwner::new("successor".to_owned());
    owner.set_witnesses(witnesses(&[11, 12, 13]).into());
    owner.next_action(START);
    owner.on_read(START, lost_overdraft(min_budget));
    owner.next_action(START);
    for inquiry in owner.take_witness_queries() {
        answer(&mut owner, START, &inquiry, WitnessAnswer::Unknown);
    }
    owner
}

/// Time after which witnesses that have not fenced an overdraft are considered lost.
const FENCING: Duration = Duration::from_secs(1);

#[test]
fn an_overdraft_is_opened_in_addition_to_a_lost_one() {
    let mut owner = owner_after_loss_of_all(0);
    let Action::Wait { until: Some(until) } = owner.next_action(START) else {
        panic!("the lost overdraft may still prove unused");
    };
    assert_eq!(until, START + FENCING);
    let records = appended(&mut owner, until);
    let [
        LedgerRecord::Overdraft { .. },
        terms,
        LedgerRecord::OverdraftForUnstored { .. },
    ] = &records[..]
    else {
        panic!("{records:?}");
    };
    assert!(
        matches!(terms, LedgerRecord::OverdraftTerms { known_programs, .. } if *known_programs),
        "{terms:?}"
    );
    owner.on_append(until, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
    assert!(matches!(owner.next_action(until), Action::Wait { .. }));
}

/// An overdraft opened in addition to a lost one must only serve programs that the log knows.
#[test]
fn an_overdraft_in_addition_to_a_lost_one_serves_known_programs_only() {
    let mut owner = owner_after_loss_of_all(0);
    let now = START + FENCING;
    appended(&mut owner, now);
    owner.on_append(now, AppendOutcome::Done);
    owner.submit(now, Ticket(1), begin("one", 90, 10));
    appended(&mut owner, now);
    owner.on_append(now, AppendOutcome::Done);
    appended(&mut owner, now);
    owner.on_append(now, AppendOutcome::Done);
    owner.take_replies();
    // The first turn's advance holds another turn; the call for the one after that is slow.
    owner.submit(now, Ticket(2), begin("two", 90, 10));
    assert_eq!(
        granted(&mut owner),
        1,
        "drawn from the first turn's advance"
    );
    owner.submit(now, Ticket(3), begin("three", 90, 10));
    appended(&mut owner, now);
    owner.note_slow_call(now);
    for inquiry in owner.take_witness_queries() {
        answer(&mut owner, now, &inquiry, WitnessAnswer::Activated);
    }
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Active);
    assert_eq!(
        granted(&mut owner),
        1,
        "the third turn fits into a third of 90"
    );
    owner.submit(now, Ticket(5), begin_of("new", "first", 90, 10));
    assert_eq!(
        granted(&mut owner),
        0,
        "the program has no account in the log"
    );
}

/// After a second loss of all machines, the log contains the overdraft of the first owner and the
/// one opened in addition.
#[test]
fn programs_that_start_after_a_second_loss_are_charged_for_one_overdraft() {
    let mut owner = PartitionOwner::new("third".to_owned());
    owner.set_witnesses(witnesses(&[21, 22, 23]).into());
    owner.next_action(START);
    let opened = |name: &str| LedgerRecord::Overdraft {
        overdraft: name.to_owned(),
        share: 3,
        witnesses: witnesses(&[1, 2, 3]),
        idle_ms: 0,
    };
    let known = LedgerRecord::Reserved {
        program: "known".to_owned(),
        reservation: "second/2".to_owned(),
        tokens: 10,
    };
    let terms = LedgerRecord::OverdraftTerms {
        overdraft: "second/1".to_owned(),
        min_budget: 0,
        known_programs: true,
    };
    let records = vec![opened("lost/1"), opened("second/1"), terms, known];
    let outcome = ReadOutcome::Records {
        records: records.into_iter().map(Some).collect(),
        end: Offset(4),
    };
    owner.on_read(START, outcome);
    owner.next_action(START);
    let now = START + FENCING;
    let records = appended(&mut owner, now);
    let superseded = LedgerRecord::OverdraftSuperseded {
        overdraft: "second/1".to_owned(),
    };
    assert!(records.contains(&superseded), "{records:?}");
    owner.on_append(now, AppendOutcome::Done);
    owner.next_action(now);
    let charge = |program: &str| {
        owner
            .state()
            .overdrawn_by_others(unstored_turn(program, 90), |name| name.starts_with("third"))
    };
    assert_eq!(charge("new"), 30, "for the first overdraft only");
    assert_eq!(
        charge("known"),
        50,
        "for both, minus the reservation in the log"
    );
}

#[test]
fn no_overdraft_is_opened_in_addition_to_three_lost_ones() {
    let mut owner = PartitionOwner::new("successor".to_owned());
    owner.set_witnesses(witnesses(&[11, 12, 13]).into());
    owner.next_action(START);
    let lost = |name: &str| {
        Some(LedgerRecord::Overdraft {
            overdraft: name.to_owned(),
            share: 3,
            witnesses: witnesses(&[1, 2, 3]),
            idle_ms: 0,
        })
    };
    let outcome = ReadOutcome::Records {
        records: vec![lost("lost/1"), lost("second/1"), lost("third/1")],
        end: Offset(3),
    };
    owner.on_read(START, outcome);
    owner.next_action(START);
    assert_eq!(
        owner.take_witness_queries().len(),
        9,
        "the witnesses of all"
    );
    let action = owner.next_action(START + FENCING);
    assert!(matches!(action, Action::Wait { .. }), "{action:?}");
}

/// Requests turns and returns how many the owner grants.
fn grant_all(owner: &mut PartitionOwner, now: Timestamp, budget: u64) -> usize {
    for number in 0..20 {
        let turn = format!("turn-{number}");
        owner.submit(now, Ticket(100 + number), begin(&turn, budget, 10));
        if matches!(owner.next_action(now), Action::Append { .. }) {
            owner.on_append(now, AppendOutcome::Done);
        }
    }
    granted(owner)
}

#[test]
fn budgets_below_the_minimum_of_a_lost_overdraft_are_not_charged() {
    struct Case {
        name: &'static str,
        min_budget: u64,
        budget: u64,
        granted: usize,
    }
    let cases = [
        Case {
            name: "no minimum: a third of 12 is charged, and a turn of 10 does not fit",
            min_budget: 0,
            budget: 12,
            granted: 0,
        },
        Case {
            name: "a budget for one turn, below the minimum",
            min_budget: 30,
            budget: 12,
            granted: 1,
        },
        Case {
            name: "the minimum budget",
            min_budget: 30,
            budget: 30,
            granted: 2,
        },
    ];
    for case in cases {
        let mut owner = owner_after_loss_of_all(case.min_budget);
        let granted = grant_all(&mut owner, START + FENCING, case.budget);
        assert_eq!(granted, case.granted, "{}", case.name);
    }
}

#[test]
fn an_owner_that_is_not_preferred_does_not_reply_budget_unsure() {
    let mut owner = successor();
    owner.set_preferred(false);
    owner.submit(START, Ticket(1), begin("one", 12, 10));
    let mut replies = Vec::new();
    for _ in 0..6 {
        match owner.next_action(START) {
            Action::Append { .. } => owner.on_append(START, AppendOutcome::Done),
            Action::Read { from } => owner.on_read(START, no_records(from.0)),
            Action::Wait { .. } => {}
        }
        replies.extend(owner.take_replies());
    }
    assert_eq!(replies, [(Ticket(1), LedgerReply::BudgetInDoubt)]);
}
