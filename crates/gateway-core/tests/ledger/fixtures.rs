//! Requests, and owners in defined states.

use bytes::Bytes;
use elderworks_gateway_core::ledger::{Action, AppendOutcome, PartitionOwner, ReadOutcome, Ticket};
use elderworks_protocol::ledger::{BeginTurn, FinishTurn, LedgerReply, LedgerRequest, StoredTurn};
use elderworks_types::{Offset, Timestamp};

pub const START: Timestamp = Timestamp(1_000_000);

pub fn begin(turn: &str, budget: u64, tokens: u64) -> LedgerRequest {
    begin_of("p", turn, budget, tokens)
}

/// Returns the start of a turn that isn't stored.
pub fn begin_of(program: &str, turn: &str, budget: u64, tokens: u64) -> LedgerRequest {
    let mut begin = BeginTurn {
        program: program.to_owned(),
        turn: turn.to_owned(),
        budget: Some(budget),
        tokens,
        previous: None,
        imported: None,
    };
    begin.mark_not_stored();
    LedgerRequest::Begin(begin)
}

pub fn begin_after(turn: &str, previous: &str, imported: Option<&'static [u8]>) -> LedgerRequest {
    LedgerRequest::Begin(BeginTurn {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        budget: None,
        tokens: 0,
        previous: Some(previous.to_owned()),
        imported: imported.map(Bytes::from_static),
    })
}

pub fn finish(turn: &str, used: u64, kept: Option<StoredTurn>) -> LedgerRequest {
    LedgerRequest::Finish(FinishTurn {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        used,
        kept,
        waits: false,
    })
}

/// Returns a completion report that is held while the log is down.
pub fn finish_waiting(turn: &str, kept: StoredTurn) -> LedgerRequest {
    LedgerRequest::Finish(FinishTurn {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        used: 0,
        kept: Some(kept),
        waits: true,
    })
}

pub fn kept(previous: Option<&str>, input: &'static [u8], output: &'static [u8]) -> StoredTurn {
    StoredTurn {
        previous: previous.map(str::to_owned),
        input: Bytes::from_static(input),
        output: Bytes::from_static(output),
    }
}

pub fn no_records(end: u64) -> ReadOutcome {
    ReadOutcome::Records {
        records: Vec::new(),
        end: Offset(end),
    }
}

/// Returns an owner that has read an empty log.
pub fn synced_owner() -> PartitionOwner {
    let mut owner = PartitionOwner::new("owner".to_owned());
    let question = LedgerRequest::Conversation {
        turn: "none".to_owned(),
    };
    owner.submit(START, Ticket(0), question);
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    owner.on_read(START, no_records(0));
    owner.next_action(START);
    assert_eq!(
        owner.take_replies(),
        [(Ticket(0), LedgerReply::UnknownTurn)]
    );
    owner
}

/// Carries a request out with a working log and returns the reply.
pub fn carry_out(owner: &mut PartitionOwner, request: LedgerRequest) -> LedgerReply {
    let ticket = Ticket(77);
    let mut now = START;
    owner.submit(now, ticket, request);
    for _ in 0..10 {
        if let Some((_, reply)) = owner.take_replies().pop() {
            return reply;
        }
        match owner.next_action(now) {
            Action::Append { .. } => owner.on_append(now, AppendOutcome::Done),
            Action::Read { from } => owner.on_read(now, no_records(from.0)),
            Action::Wait { until } => now = until.unwrap_or(now),
        }
        if let Some((_, reply)) = owner.take_replies().pop() {
            return reply;
        }
    }
    panic!("no reply");
}

/// Returns an owner that considers the log down, at the time of its last failed call.
pub fn owner_with_log_down() -> PartitionOwner {
    let mut owner = synced_owner();
    carry_out(&mut owner, finish("k", 0, Some(kept(None, b"in", b"out"))));
    owner.submit(START, Ticket(1), begin("t", 100, 10));
    let mut now = START;
    while !owner.is_down() {
        match owner.next_action(now) {
            Action::Append { .. } => owner.on_append(now, AppendOutcome::Unknown),
            Action::Read { .. } => owner.on_read(now, ReadOutcome::Failed),
            Action::Wait { until } => now = until.expect("a request waits"),
        }
    }
    owner.take_replies();
    owner
}
