//! Tests of budgets and advances.

use std::time::Duration;

use elderworks_gateway_core::ledger::{
    Account, Action, Advance, AppendOutcome, BudgetHolder, FAILURE_RETRY_DELAY,
    FOREIGN_SETTLEMENT_WAIT, IDLE_BEFORE_SETTLING, PartitionOwner, ReadOutcome, SETTLEMENT_DELAY,
    Ticket, Wallet,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply};
use elderworks_types::Offset;

use crate::fixtures::{START, begin, carry_out, finish, no_records, synced_owner};

#[test]
fn open_reservations_count_in_full_against_a_budget() {
    struct Case {
        name: &'static str,
        settled: u64,
        open: &'static [u64],
        budget: u64,
        tokens: u64,
        allowed: bool,
    }
    let cases = [
        Case {
            name: "a first turn that fits",
            settled: 0,
            open: &[],
            budget: 100,
            tokens: 100,
            allowed: true,
        },
        Case {
            name: "a turn that does not fit with the tokens generated",
            settled: 50,
            open: &[],
            budget: 100,
            tokens: 51,
            allowed: false,
        },
        Case {
            name: "a turn that fits only if running turns stay below their maximum",
            settled: 10,
            open: &[40, 40],
            budget: 100,
            tokens: 11,
            allowed: false,
        },
        Case {
            name: "a turn that fits even if running turns reach their maximum",
            settled: 10,
            open: &[40, 40],
            budget: 100,
            tokens: 10,
            allowed: true,
        },
    ];
    for case in cases {
        let open = case.open.iter().enumerate();
        let account = Account {
            settled: case.settled,
            open: open
                .map(|(turn, tokens)| (turn.to_string(), *tokens))
                .collect(),
        };
        let allowed = account.allows(case.budget, case.tokens);
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}

#[test]
fn turns_in_one_append_cannot_both_take_the_last_tokens() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("one", 10, 10));
    owner.submit(START, Ticket(2), begin("two", 10, 10));
    owner.submit(START, Ticket(3), begin("three", 10, 10));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.on_append(START, AppendOutcome::Done);
    let granted = owner
        .take_replies()
        .into_iter()
        .filter(|(_, reply)| matches!(reply, LedgerReply::Granted { .. }))
        .count();
    assert_eq!(granted, 1);
}

#[test]
fn further_turns_of_a_program_need_no_call_to_the_log() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("one", 1_000, 10));
    let Action::Append { records, .. } = owner.next_action(START) else {
        panic!("an advance must be appended");
    };
    let LedgerRecord::Reserved { tokens, .. } = &records[0] else {
        panic!("an advance");
    };
    assert_eq!(*tokens, 30, "the turn and two more");
    owner.on_append(START, AppendOutcome::Done);
    owner.take_replies();
    for turn in ["two", "three"] {
        owner.submit(START, Ticket(2), begin(turn, 1_000, 10));
        let replies = owner.take_replies();
        assert!(
            matches!(replies[0].1, LedgerReply::Granted { .. }),
            "{turn}"
        );
    }
    owner.submit(START, Ticket(3), begin("four", 1_000, 10));
    assert_eq!(owner.take_replies(), []);
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
}

#[test]
fn unused_tokens_of_a_finished_turn_are_available_immediately() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 20, 20));
    assert_eq!(
        carry_out(&mut owner, begin("two", 20, 20)),
        LedgerReply::BudgetSpent
    );
    assert_eq!(
        carry_out(&mut owner, finish("one", 0, None)),
        LedgerReply::Finished
    );
    let reply = carry_out(&mut owner, begin("two", 20, 20));
    assert!(matches!(reply, LedgerReply::Granted { .. }));
}

#[test]
fn an_advance_takes_a_small_part_of_a_small_budget() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("one", 14, 10));
    let Action::Append { records, .. } = owner.next_action(START) else {
        panic!("an advance must be appended");
    };
    let LedgerRecord::Reserved { tokens, .. } = &records[0] else {
        panic!("an advance");
    };
    assert_eq!(
        *tokens, 11,
        "the turn and a quarter of the remaining 4 tokens"
    );
}

#[test]
fn an_idle_advance_is_settled_with_the_tokens_used() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    carry_out(&mut owner, begin("two", 1_000, 10));
    carry_out(&mut owner, finish("one", 4, None));
    carry_out(&mut owner, finish("two", 7, None));
    let Action::Wait { until: Some(idle) } = owner.next_action(START) else {
        panic!("the wallet may be used again");
    };
    assert_eq!(idle, START + IDLE_BEFORE_SETTLING);
    let Action::Wait { until: Some(due) } = owner.next_action(idle) else {
        panic!("settlements are delayed");
    };
    assert_eq!(due, idle + SETTLEMENT_DELAY);
    assert!(matches!(owner.next_action(due), Action::Append { .. }));
    owner.on_append(due, AppendOutcome::Done);
    let account = owner.state().account("p").expect("an account");
    assert_eq!((account.settled, account.committed()), (11, 11));
    assert_eq!(owner.next_action(due), Action::Wait { until: None });
}

#[test]
fn an_owner_that_is_no_longer_preferred_settles_without_delay() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    owner.set_preferred(false);
    assert!(
        matches!(owner.next_action(START), Action::Wait { .. }),
        "a turn is running"
    );
    carry_out(&mut owner, finish("one", 4, None));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
}

#[test]
fn an_unsettled_append_of_a_settlement_is_repeated() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    carry_out(&mut owner, finish("one", 4, None));
    owner.set_preferred(false);
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.on_append(START, AppendOutcome::Unknown);
    let later = START + FAILURE_RETRY_DELAY;
    assert_eq!(owner.next_action(later), Action::Read { from: Offset(1) });
    owner.on_read(later, no_records(1));
    assert!(matches!(owner.next_action(later), Action::Append { .. }));
    owner.on_append(later, AppendOutcome::Done);
    assert_eq!(owner.next_action(later), Action::Wait { until: None });
}

#[test]
fn a_repeated_request_draws_once() {
    let mut owner = synced_owner();
    for _ in 0..3 {
        let reply = carry_out(&mut owner, begin("one", 20, 20));
        assert!(matches!(reply, LedgerReply::Granted { .. }));
    }
}

#[test]
fn a_repeated_request_waits_for_the_advance() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("one", 20, 20));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.submit(START, Ticket(2), begin("one", 20, 20));
    assert_eq!(owner.take_replies(), [], "the advance is not durable");
    owner.on_append(START, AppendOutcome::Done);
    owner.next_action(START);
    assert_eq!(owner.take_replies().len(), 2);
}

#[test]
fn a_turn_abandoned_before_its_permit_draws_nothing() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("one", 20, 20));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.submit(START, Ticket(2), finish("one", 0, None));
    owner.on_append(START, AppendOutcome::Done);
    let reply = carry_out(&mut owner, begin("two", 20, 20));
    assert!(matches!(reply, LedgerReply::Granted { .. }));
}

#[test]
fn a_repeated_completion_counts_once() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    for _ in 0..3 {
        let reply = carry_out(&mut owner, finish("one", 4, None));
        assert_eq!(reply, LedgerReply::Finished);
    }
    owner.set_preferred(false);
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(owner.state().account("p").map(Account::committed), Some(4));
}

#[test]
fn advances_are_charged_in_order_and_the_last_one_with_the_excess() {
    let mut wallet = Wallet::default();
    for (id, tokens) in [("a", 10), ("b", 10)] {
        let advance = Advance {
            id: id.to_owned(),
            tokens,
        };
        wallet.add(START, advance.clone());
        wallet.add(START, advance);
    }
    assert_eq!(wallet.available(), 20);
    wallet.start(START, "t".to_owned(), 20);
    wallet.finish(START, "t", 23);
    let spent: Vec<(String, u64)> = wallet
        .into_spent()
        .into_iter()
        .map(|advance| (advance.id, advance.used))
        .collect();
    assert_eq!(spent, [("a".to_owned(), 10), ("b".to_owned(), 13)]);
}

#[test]
fn a_turn_whose_end_is_never_reported_counts_in_full() {
    let mut wallet = Wallet::default();
    wallet.add(
        START,
        Advance {
            id: "a".to_owned(),
            tokens: 10,
        },
    );
    wallet.start(START, "t".to_owned(), 10);
    wallet.finish_lost_turns(START + Duration::from_secs(89));
    assert!(wallet.is_running("t"));
    wallet.finish_lost_turns(START + Duration::from_secs(90));
    assert!(!wallet.is_running("t"));
    assert_eq!(wallet.into_spent()[0].used, 10);
}

/// Returns an owner that has read a reservation of another owner for the program.
fn owner_after(reserved: u64) -> PartitionOwner {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("unknown", 0, 1));
    assert!(matches!(owner.next_action(START), Action::Read { .. }));
    let records = vec![Some(LedgerRecord::Reserved {
        program: "p".to_owned(),
        reservation: "other/1".to_owned(),
        tokens: reserved,
    })];
    let end = Offset(1);
    owner.on_read(START, ReadOutcome::Records { records, end });
    owner.next_action(START);
    owner.take_replies();
    owner
}

#[test]
fn recent_reservations_of_another_owner_make_a_denial_unsure() {
    struct Case {
        name: &'static str,
        reserved: u64,
        waited: Duration,
        expected: LedgerReply,
    }
    let cases = [
        Case {
            name: "the other owner may return enough tokens",
            reserved: 10,
            waited: Duration::ZERO,
            expected: LedgerReply::BudgetUnsure,
        },
        Case {
            name: "the other owner has had enough time to settle",
            reserved: 10,
            waited: FOREIGN_SETTLEMENT_WAIT,
            expected: LedgerReply::BudgetSpent,
        },
        Case {
            name: "the budget is too small regardless of the other owner",
            reserved: 9,
            waited: Duration::ZERO,
            expected: LedgerReply::BudgetSpent,
        },
    ];
    for case in cases {
        let mut owner = owner_after(case.reserved);
        let budget = 15;
        let tokens = if case.reserved < 10 { 16 } else { 10 };
        let now = START + case.waited;
        owner.submit(now, Ticket(2), begin("t", budget, tokens));
        assert!(matches!(owner.next_action(now), Action::Read { .. }));
        owner.on_read(now, no_records(1));
        owner.next_action(now);
        let replies = owner.take_replies();
        assert_eq!(replies, [(Ticket(2), case.expected)], "{}", case.name);
    }
}

#[test]
fn a_budget_used_by_finished_turns_is_denied_without_a_call() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 25, 20));
    carry_out(&mut owner, finish("one", 20, None));
    let denied = [(Ticket(2), LedgerReply::BudgetSpent)];
    owner.submit(START, Ticket(2), begin("two", 25, 6));
    assert_eq!(owner.take_replies(), denied, "while the advance is open");
    owner.set_preferred(false);
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.submit(START, Ticket(2), begin("two", 25, 6));
    assert_eq!(owner.take_replies(), denied, "while it is being settled");
    owner.on_append(START, AppendOutcome::Done);
    owner.submit(START, Ticket(2), begin("two", 25, 6));
    assert_eq!(owner.take_replies(), denied, "once it is settled");
    let reply = carry_out(&mut owner, begin("three", 25, 5));
    assert!(
        matches!(reply, LedgerReply::Granted { .. }),
        "the rest of the budget"
    );
}

#[test]
fn a_denial_caused_by_running_turns_needs_a_call() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 20, 20));
    owner.submit(START, Ticket(2), begin("two", 20, 20));
    assert_eq!(owner.take_replies(), []);
    assert!(matches!(owner.next_action(START), Action::Read { .. }));
}

/// Returns the records of a lost owner that has granted one turn of 10 tokens.
fn records_of_a_lost_owner(budget: u64) -> Vec<LedgerRecord> {
    let mut lost = PartitionOwner::new("lost".to_owned());
    lost.submit(START, Ticket(1), begin("one", budget, 10));
    assert!(matches!(lost.next_action(START), Action::Read { .. }));
    lost.on_read(START, no_records(0));
    let Action::Append { records, .. } = lost.next_action(START) else {
        panic!("the turn needs an advance");
    };
    records
}

#[test]
fn a_lost_advance_leaves_budget_for_another_turn() {
    for budget in 20..=60 {
        let records = records_of_a_lost_owner(budget);
        let end = Offset(records.len() as u64);
        let mut owner = PartitionOwner::new("next".to_owned());
        owner.submit(START, Ticket(1), begin("two", budget, 10));
        assert!(matches!(owner.next_action(START), Action::Read { .. }));
        let records = records.into_iter().map(Some).collect();
        owner.on_read(START, ReadOutcome::Records { records, end });
        let action = owner.next_action(START);
        let is_funded = matches!(action, Action::Append { .. });
        assert!(is_funded, "a budget of {budget}: {action:?}");
    }
}

/// Without the holders of a budget, a wrong refusal can't be traced to the node that caused it.
#[test]
fn a_refusal_lists_what_holds_the_budget() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("running", 20, 10));
    let now = START + Duration::from_secs(3);
    owner.submit(now, Ticket(1), begin("refused", 20, 15));
    assert_eq!(owner.next_action(now), Action::Read { from: Offset(1) });
    owner.on_read(now, no_records(1));
    owner.next_action(now);
    let refusals = owner.take_refusals();
    let [refusal] = refusals.as_slice() else {
        panic!("one refusal, not {refusals:?}");
    };
    assert_eq!((refusal.turn.as_str(), refusal.budget), ("refused", 20));
    let holders = refusal.holds.iter().map(|hold| hold.holder);
    let expected = [BudgetHolder::RunningTurn, BudgetHolder::OwnReservation];
    assert_eq!(holders.collect::<Vec<_>>(), expected);
    assert_eq!(
        refusal.holds[0].to_string(),
        "RunningTurn running 10 3000ms"
    );
}
