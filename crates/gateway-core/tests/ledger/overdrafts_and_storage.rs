//! Tests of partitions whose turns must all be stored, so that an overdraft is of no use.

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, OverdraftStatus, PartitionOwner, ReadOutcome, SLOW_CALL_THRESHOLD,
    Ticket,
};
use elderworks_protocol::ledger::LedgerRecord;
use elderworks_types::Offset;

use crate::fixtures::{START, begin, no_records};
use crate::overdraft_fixtures::{
    appended, granted, with_active_overdraft, with_open_overdraft, witnesses,
};

/// Returns an owner of a partition whose turns must all be stored, so that none can finish without
/// the log.
fn owner_of_stored_turns() -> PartitionOwner {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.set_witnesses(witnesses(&[1, 2, 3]).into());
    owner.set_serves_without_log(false);
    owner.next_action(START);
    owner.on_read(START, no_records(0));
    owner
}

#[test]
fn no_overdraft_is_opened_if_all_turns_are_stored() {
    let mut owner = owner_of_stored_turns();
    assert!(matches!(owner.next_action(START), Action::Wait { .. }));
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    let records = appended(&mut owner, START);
    assert!(
        matches!(records[..], [LedgerRecord::Reserved { .. }]),
        "{records:?}"
    );
    owner.note_slow_call(START);
    assert_eq!(owner.take_witness_queries(), []);
    assert_eq!(granted(&mut owner), 0, "the turn waits for the log");
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(granted(&mut owner), 1);
}

#[test]
fn an_unused_overdraft_is_closed_once_all_turns_are_stored() {
    let mut owner = with_open_overdraft();
    owner.set_serves_without_log(false);
    let records = appended(&mut owner, START);
    assert!(
        matches!(records[..], [LedgerRecord::OverdraftClosed { .. }]),
        "{records:?}"
    );
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::None);
    assert!(matches!(owner.next_action(START), Action::Wait { .. }));
}

#[test]
fn an_open_overdraft_is_not_activated_once_all_turns_are_stored() {
    let mut owner = with_open_overdraft();
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    appended(&mut owner, START);
    owner.set_serves_without_log(false);
    owner.note_slow_call(START);
    assert_eq!(owner.take_witness_queries(), []);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
    owner.set_serves_without_log(true);
    owner.note_slow_call(START);
    assert_eq!(owner.take_witness_queries().len(), 3);
}

#[test]
fn an_active_overdraft_is_recorded_and_closed_once_all_turns_are_stored() {
    let mut owner = with_active_overdraft();
    assert_eq!(granted(&mut owner), 1);
    owner.set_serves_without_log(false);
    owner.on_append(START, AppendOutcome::Done);
    let recovered_at = START + SLOW_CALL_THRESHOLD;
    let mut records = Vec::new();
    let mut now = recovered_at;
    for _ in 0..6 {
        match owner.next_action(now) {
            Action::Append { records: some, .. } => {
                records.extend(some);
                owner.on_append(now, AppendOutcome::Done);
            }
            Action::Wait { until: Some(until) } => now = until,
            Action::Wait { until: None } => break,
            action => panic!("{action:?}"),
        }
    }
    let is_closing = |record: &LedgerRecord| matches!(record, LedgerRecord::OverdraftClosed { .. });
    let is_opening = |record: &LedgerRecord| matches!(record, LedgerRecord::Overdraft { .. });
    assert!(records.iter().any(is_closing), "{records:?}");
    assert!(!records.iter().any(is_opening), "{records:?}");
    assert_eq!(owner.overdraft_status(), OverdraftStatus::None);
}

/// All machines are lost after the first turn of a program with budget for nine. The next owner
/// must grant everything except the tokens that the lost owner had reserved.
#[test]
fn after_a_loss_of_all_machines_stored_turns_are_charged_for_advances_only() {
    let mut lost = owner_of_stored_turns();
    lost.submit(START, Ticket(1), begin("one", 90, 10));
    let records = appended(&mut lost, START);
    let [LedgerRecord::Reserved { tokens, .. }] = &records[..] else {
        panic!("{records:?}");
    };
    let reserved = *tokens;
    let mut owner = PartitionOwner::new("successor".to_owned());
    owner.set_witnesses(witnesses(&[11, 12, 13]).into());
    owner.set_serves_without_log(false);
    owner.next_action(START);
    let end = Offset(records.len() as u64);
    let records = records.into_iter().map(Some).collect();
    owner.on_read(START, ReadOutcome::Records { records, end });
    let mut turns = 0;
    for number in 0..9 {
        owner.submit(
            START,
            Ticket(number),
            begin(&format!("turn-{number}"), 90, 10),
        );
        if let Action::Append { .. } = owner.next_action(START) {
            owner.on_append(START, AppendOutcome::Done);
        }
        turns += granted(&mut owner) as u64;
    }
    assert_eq!(turns, (90 - reserved) / 10);
}
