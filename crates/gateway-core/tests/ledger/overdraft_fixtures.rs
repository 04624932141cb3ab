//! Overdrafts in defined states, and their witnesses.

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, OverdraftStatus, PartitionOwner, ProgramTurn, Ticket, WitnessQuery,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, TurnStorage, Witness, WitnessAnswer};
use elderworks_types::{NodeId, Offset, Timestamp};

use crate::fixtures::{START, begin, no_records};

pub fn witness(boot: u64) -> Witness {
    Witness {
        node: NodeId::new(format!("n{boot}")),
        boot,
    }
}

pub fn witnesses(boots: &[u64]) -> Vec<Witness> {
    boots.iter().map(|boot| witness(*boot)).collect()
}

/// Returns an owner with three witnesses that has read an empty log.
pub fn owner() -> PartitionOwner {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.set_witnesses(witnesses(&[1, 2, 3]).into());
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    owner.on_read(START, no_records(0));
    owner
}

/// Returns the records of the owner's next action, which must be an append.
pub fn appended(owner: &mut PartitionOwner, now: Timestamp) -> Vec<LedgerRecord> {
    match owner.next_action(now) {
        Action::Append { records, .. } => records,
        action => panic!("expected an append, got {action:?}"),
    }
}

/// Returns an owner with an open, unused overdraft.
pub fn with_open_overdraft() -> PartitionOwner {
    let mut owner = owner();
    let records = appended(&mut owner, START);
    assert!(matches!(
        records[..],
        [
            LedgerRecord::Overdraft { .. },
            LedgerRecord::OverdraftForUnstored { .. }
        ]
    ));
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
    owner
}

pub fn answer(
    owner: &mut PartitionOwner,
    now: Timestamp,
    inquiry: &WitnessQuery,
    answer: WitnessAnswer,
) {
    owner.on_witness_answer(now, &inquiry.question, Some(answer));
}

/// Returns an owner with an active overdraft and a call to the log in progress.
pub fn with_active_overdraft() -> PartitionOwner {
    let mut owner = with_open_overdraft();
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    appended(&mut owner, START);
    owner.note_slow_call(START);
    let inquiries = owner.take_witness_queries();
    assert_eq!(inquiries.len(), 3);
    for inquiry in &inquiries[..2] {
        answer(&mut owner, START, inquiry, WitnessAnswer::Activated);
    }
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Active);
    owner
}

/// Returns a turn that isn't stored.
pub fn unstored_turn(program: &str, budget: u64) -> ProgramTurn<'_> {
    ProgramTurn {
        program,
        budget,
        storage: TurnStorage::NotStored,
    }
}

pub fn granted(owner: &mut PartitionOwner) -> usize {
    let replies = owner.take_replies().into_iter();
    let is_granted = |reply: &LedgerReply| matches!(reply, LedgerReply::Granted { .. });
    replies.filter(|(_, reply)| is_granted(reply)).count()
}
