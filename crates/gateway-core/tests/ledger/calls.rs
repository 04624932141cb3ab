//! Tests of calls to the log: what their answers prove, and the behavior while they fail.

use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, DOWN_RETRY_DELAY, FAILURE_RETRY_DELAY, MAX_HOLD_WHILE_DOWN,
    PartitionOwner, ReadOutcome, Ticket, YIELD_AFTER_OUTAGE, partition_of,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_types::Offset;

use crate::fixtures::{
    START, begin, begin_after, carry_out, finish, finish_waiting, kept, no_records,
    owner_with_log_down, synced_owner,
};

#[test]
fn a_turn_is_granted_only_after_its_reservation_is_durable() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("t", 100, 10));
    let Action::Append { at, records } = owner.next_action(START) else {
        panic!("a reservation must be appended");
    };
    assert_eq!(at, Offset(0));
    assert_eq!(records.len(), 1);
    assert_eq!(owner.take_replies(), []);
    owner.on_append(START, AppendOutcome::Done);
    let replies = owner.take_replies();
    assert!(matches!(replies[0].1, LedgerReply::Granted { .. }));
}

#[test]
fn a_conflicting_append_changes_nothing_and_the_request_is_decided_again() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("t", 10, 10));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.on_append(START, AppendOutcome::Conflict);
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    let records = vec![
        Some(LedgerRecord::Reserved {
            program: "p".to_owned(),
            reservation: "other/1".to_owned(),
            tokens: 10,
        }),
        Some(LedgerRecord::Settled {
            program: "p".to_owned(),
            reservation: "other/1".to_owned(),
            used: 10,
        }),
    ];
    let end = Offset(2);
    owner.on_read(START, ReadOutcome::Records { records, end });
    owner.next_action(START);
    assert_eq!(
        owner.take_replies(),
        [(Ticket(1), LedgerReply::BudgetSpent)]
    );
    assert_eq!(owner.conflicts(), 1);
}

#[test]
fn an_unanswered_append_that_succeeded_is_not_repeated() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("t", 10, 10));
    let Action::Append { records, .. } = owner.next_action(START) else {
        panic!("a reservation must be appended");
    };
    owner.on_append(START, AppendOutcome::Unknown);
    let later = START + Duration::from_millis(100);
    assert_eq!(owner.next_action(later), Action::Read { from: Offset(0) });
    let records = records.into_iter().map(Some).collect();
    let end = Offset(1);
    owner.on_read(later, ReadOutcome::Records { records, end });
    assert!(matches!(owner.next_action(later), Action::Wait { .. }));
    let replies = owner.take_replies();
    assert!(matches!(replies[0].1, LedgerReply::Granted { .. }));
}

#[test]
fn negative_replies_require_a_read_to_the_end_of_the_log() {
    for (request, reply) in [
        (begin_after("t", "unknown", None), LedgerReply::UnknownTurn),
        (begin("t", 5, 10), LedgerReply::BudgetSpent),
        (
            LedgerRequest::Conversation {
                turn: "unknown".to_owned(),
            },
            LedgerReply::UnknownTurn,
        ),
    ] {
        let mut owner = synced_owner();
        owner.submit(START, Ticket(1), request);
        assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
        assert_eq!(owner.take_replies(), [], "not verified yet");
        owner.on_read(START, no_records(0));
        owner.next_action(START);
        assert_eq!(owner.take_replies(), [(Ticket(1), reply)]);
    }
}

#[test]
fn a_call_does_not_verify_requests_that_arrive_after_its_start() {
    // The answer to a call may be older than a request that arrived while the call was in progress.
    let question = || LedgerRequest::Conversation {
        turn: "unknown".to_owned(),
    };
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), question());
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    owner.submit(START, Ticket(2), question());
    owner.on_read(START, no_records(0));
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    assert_eq!(
        owner.take_replies(),
        [(Ticket(1), LedgerReply::UnknownTurn)]
    );

    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("t", 100, 10));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.submit(START, Ticket(2), question());
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(1) });
}

#[test]
fn a_late_answer_does_not_verify_requests_that_arrived_after_its_call() {
    let question = || LedgerRequest::Conversation {
        turn: "unknown".to_owned(),
    };
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), question());
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    let given_up = owner.last_call();
    owner.submit(START, Ticket(2), question());
    owner.on_read(START, ReadOutcome::Failed);
    let now = START + FAILURE_RETRY_DELAY;
    assert_eq!(owner.next_action(now), Action::Read { from: Offset(0) });
    assert!(owner.last_call() > given_up);

    // The late answer to the first call is older than the second request.
    owner.on_answered_read(now, given_up, no_records(0));
    assert_eq!(owner.next_action(now), Action::Read { from: Offset(0) });
    assert_eq!(
        owner.take_replies(),
        [(Ticket(1), LedgerReply::UnknownTurn)]
    );
    owner.on_read(now, no_records(0));
    assert!(matches!(owner.next_action(now), Action::Wait { .. }));
    assert_eq!(
        owner.take_replies(),
        [(Ticket(2), LedgerReply::UnknownTurn)]
    );
}

#[test]
fn a_held_completion_is_stored_when_the_log_recovers() {
    let mut owner = owner_with_log_down();
    let now = START + FAILURE_RETRY_DELAY;
    owner.submit(
        now,
        Ticket(5),
        finish("u", 0, Some(kept(None, b"in", b"out"))),
    );
    owner.submit(
        now,
        Ticket(6),
        finish_waiting("v", kept(None, b"in", b"out")),
    );
    assert_eq!(
        owner.take_replies(),
        [(Ticket(5), LedgerReply::Unavailable)]
    );

    let now = now + DOWN_RETRY_DELAY;
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.on_read(now, ReadOutcome::Failed);
    assert_eq!(owner.take_replies(), [], "the completion is still held");

    let now = now + DOWN_RETRY_DELAY;
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.on_read(now, no_records(owner.end().0));
    assert!(matches!(owner.next_action(now), Action::Append { .. }));
    owner.on_append(now, AppendOutcome::Done);
    assert_eq!(owner.take_replies(), [(Ticket(6), LedgerReply::Finished)]);
}

#[test]
fn an_owner_that_is_not_preferred_yields_after_an_outage() {
    let mut owner = owner_with_log_down();
    owner.set_preferred(false);
    let now = START + FAILURE_RETRY_DELAY + DOWN_RETRY_DELAY;
    owner.submit(now, Ticket(5), begin("u", 100, 10));
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.on_read(now, no_records(owner.end().0));
    assert_eq!(
        owner.take_replies(),
        [(Ticket(5), LedgerReply::Unavailable)]
    );
    owner.submit(now, Ticket(6), begin("v", 100, 10));
    assert_eq!(
        owner.take_replies(),
        [(Ticket(6), LedgerReply::Unavailable)]
    );

    let later = now + YIELD_AFTER_OUTAGE;
    owner.submit(later, Ticket(7), begin("w", 100, 10));
    assert!(matches!(owner.next_action(later), Action::Append { .. }));
    owner.on_append(later, AppendOutcome::Done);
    let replies = owner.take_replies();
    assert!(matches!(
        replies[0],
        (Ticket(7), LedgerReply::Granted { .. })
    ));
}

#[test]
fn the_wait_of_a_held_completion_is_bounded() {
    let mut owner = owner_with_log_down();
    let submitted = START + FAILURE_RETRY_DELAY;
    owner.submit(
        submitted,
        Ticket(5),
        finish_waiting("u", kept(None, b"in", b"out")),
    );
    let mut now = submitted;
    let mut replies = Vec::new();
    while replies.is_empty() {
        match owner.next_action(now) {
            Action::Append { .. } => owner.on_append(now, AppendOutcome::Refused),
            Action::Read { .. } => owner.on_read(now, ReadOutcome::Failed),
            Action::Wait { until } => now = until.expect("a request waits"),
        }
        replies = owner.take_replies();
    }
    assert_eq!(replies, [(Ticket(5), LedgerReply::Unavailable)]);
    let waited = now.since(submitted);
    assert!(waited >= MAX_HOLD_WHILE_DOWN, "{waited:?}");
    assert!(
        waited < MAX_HOLD_WHILE_DOWN + DOWN_RETRY_DELAY * 2,
        "{waited:?}"
    );
}

#[test]
fn nothing_is_granted_or_denied_while_calls_fail() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("t", 5, 10));
    owner.submit(START, Ticket(2), begin("u", 100, 10));
    let mut now = START;
    let mut replies = Vec::new();
    while replies.len() < 2 {
        match owner.next_action(now) {
            Action::Append { .. } => owner.on_append(now, AppendOutcome::Refused),
            Action::Read { .. } => owner.on_read(now, ReadOutcome::Failed),
            Action::Wait { until } => now = until.expect("requests wait"),
        }
        replies.extend(owner.take_replies());
        assert!(
            now.since(START) <= FAILURE_RETRY_DELAY,
            "refused after two failed calls"
        );
    }
    for (_, reply) in replies {
        assert_eq!(reply, LedgerReply::Unavailable);
    }
}

#[test]
fn requests_are_answered_immediately_while_the_log_is_down() {
    let mut owner = owner_with_log_down();
    let now = START + FAILURE_RETRY_DELAY;
    owner.submit(now, Ticket(5), begin("u", 100, 10));
    owner.submit(now, Ticket(6), begin_after("v", "k", None));
    let conversation = Bytes::from_static(b"inout");
    assert_eq!(
        owner.take_replies(),
        [
            (Ticket(5), LedgerReply::Unavailable),
            (Ticket(6), LedgerReply::Granted { conversation }),
        ]
    );
}

#[test]
fn one_request_at_a_time_probes_a_log_that_is_down() {
    let mut owner = owner_with_log_down();
    let now = START + FAILURE_RETRY_DELAY + DOWN_RETRY_DELAY;
    owner.submit(now, Ticket(5), begin("u", 100, 10));
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.submit(now, Ticket(6), begin("v", 100, 10));
    assert_eq!(
        owner.take_replies(),
        [(Ticket(6), LedgerReply::Unavailable)]
    );
    owner.on_read(now, no_records(owner.end().0));
    assert!(!owner.is_down());
    assert!(matches!(owner.next_action(now), Action::Append { .. }));
    owner.on_append(now, AppendOutcome::Done);
    let replies = owner.take_replies();
    assert!(matches!(
        replies[0],
        (Ticket(5), LedgerReply::Granted { .. })
    ));
}

#[test]
fn turns_draw_on_advances_while_the_log_is_down() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    owner.submit(START, Ticket(1), begin("large", 1_000, 500));
    let mut now = START;
    while !owner.is_down() {
        match owner.next_action(now) {
            Action::Append { .. } => owner.on_append(now, AppendOutcome::Refused),
            Action::Read { .. } => owner.on_read(now, ReadOutcome::Failed),
            Action::Wait { until } => now = until.expect("a request waits"),
        }
    }
    assert_eq!(
        owner.take_replies(),
        [(Ticket(1), LedgerReply::Unavailable)]
    );
    owner.submit(now, Ticket(2), begin("two", 1_000, 10));
    let replies = owner.take_replies();
    assert!(matches!(
        replies[0],
        (Ticket(2), LedgerReply::Granted { .. })
    ));
}

#[test]
fn truncated_records_are_skipped() {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.submit(START, Ticket(1), begin("t", 100, 10));
    owner.next_action(START);
    let first = Offset(500);
    owner.on_read(START, ReadOutcome::Gone { first });
    assert_eq!(owner.next_action(START), Action::Read { from: first });
    owner.on_read(START, no_records(500));
    let Action::Append { at, .. } = owner.next_action(START) else {
        panic!("a reservation must be appended");
    };
    assert_eq!(at, first);
}

#[test]
fn programs_are_spread_over_all_partitions() {
    let partitions: std::collections::BTreeSet<_> = (0..200)
        .map(|number| partition_of(&format!("program-{number}"), 12))
        .collect();
    assert_eq!(partitions.len(), 12);
}
