//! Calls to the log: what they prove, and what is done while they fail.

use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, DOWN_RETRY_DELAY, FAILURE_RETRY_DELAY, MAX_HOLD_WHILE_DOWN,
    PartitionOwner, ReadOutcome, Ticket, YIELD_AFTER_OUTAGE, partition_of,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_types::Offset;

use crate::fixtures::{
    START, begin, begin_after, carry_out, finish, finish_waiting, kept, nothing,
    owner_of_a_log_that_is_down, synced_owner,
};

#[test]
fn a_reservation_is_granted_only_once_it_is_durable() {
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
fn a_conflict_changes_nothing_and_is_decided_anew() {
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
fn an_append_without_answer_that_was_carried_out_is_not_repeated() {
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
fn refusals_are_sure_only_after_the_log_was_read_to_its_end() {
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
        assert_eq!(owner.take_replies(), [], "not sure yet");
        owner.on_read(START, nothing(0));
        owner.next_action(START);
        assert_eq!(owner.take_replies(), [(Ticket(1), reply)]);
    }
}

#[test]
fn a_call_under_way_makes_no_later_request_sure() {
    // What the log said to a call may be older than a request that came while it was under way.
    let question = || LedgerRequest::Conversation {
        turn: "unknown".to_owned(),
    };
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), question());
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    owner.submit(START, Ticket(2), question());
    owner.on_read(START, nothing(0));
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
fn a_read_that_was_given_up_makes_no_later_request_sure() {
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

    // What the first call says after all is older than the second request.
    owner.on_answered_read(now, given_up, nothing(0));
    assert_eq!(owner.next_action(now), Action::Read { from: Offset(0) });
    assert_eq!(
        owner.take_replies(),
        [(Ticket(1), LedgerReply::UnknownTurn)]
    );
    owner.on_read(now, nothing(0));
    assert!(matches!(owner.next_action(now), Action::Wait { .. }));
    assert_eq!(
        owner.take_replies(),
        [(Ticket(2), LedgerReply::UnknownTurn)]
    );
}

#[test]
fn a_report_that_waits_is_carried_out_when_the_log_is_back() {
    let mut owner = owner_of_a_log_that_is_down();
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
    assert_eq!(owner.take_replies(), [], "it still waits");

    let now = now + DOWN_RETRY_DELAY;
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.on_read(now, nothing(owner.end().0));
    assert!(matches!(owner.next_action(now), Action::Append { .. }));
    owner.on_append(now, AppendOutcome::Done);
    assert_eq!(owner.take_replies(), [(Ticket(6), LedgerReply::Finished)]);
}

#[test]
fn an_owner_that_is_not_preferred_gives_way_after_an_outage() {
    let mut owner = owner_of_a_log_that_is_down();
    owner.set_preferred(false);
    let now = START + FAILURE_RETRY_DELAY + DOWN_RETRY_DELAY;
    owner.submit(now, Ticket(5), begin("u", 100, 10));
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.on_read(now, nothing(owner.end().0));
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
fn a_report_does_not_wait_for_long() {
    let mut owner = owner_of_a_log_that_is_down();
    let began = START + FAILURE_RETRY_DELAY;
    owner.submit(
        began,
        Ticket(5),
        finish_waiting("u", kept(None, b"in", b"out")),
    );
    let mut now = began;
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
    let waited = now.since(began);
    assert!(waited >= MAX_HOLD_WHILE_DOWN, "{waited:?}");
    assert!(
        waited < MAX_HOLD_WHILE_DOWN + DOWN_RETRY_DELAY * 2,
        "{waited:?}"
    );
}

#[test]
fn while_the_log_fails_nothing_is_granted_and_nothing_denied() {
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
            "given up after two calls"
        );
    }
    for (_, reply) in replies {
        assert_eq!(reply, LedgerReply::Unavailable);
    }
}

#[test]
fn while_the_log_is_down_requests_are_answered_at_once() {
    let mut owner = owner_of_a_log_that_is_down();
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
fn one_request_at_a_time_finds_out_whether_the_log_is_still_down() {
    let mut owner = owner_of_a_log_that_is_down();
    let now = START + FAILURE_RETRY_DELAY + DOWN_RETRY_DELAY;
    owner.submit(now, Ticket(5), begin("u", 100, 10));
    assert!(matches!(owner.next_action(now), Action::Read { .. }));
    owner.submit(now, Ticket(6), begin("v", 100, 10));
    assert_eq!(
        owner.take_replies(),
        [(Ticket(6), LedgerReply::Unavailable)]
    );
    owner.on_read(now, nothing(owner.end().0));
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
fn while_the_log_is_down_turns_run_on_what_is_set_aside() {
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
fn history_that_is_gone_is_passed_over() {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.submit(START, Ticket(1), begin("t", 100, 10));
    owner.next_action(START);
    let first = Offset(500);
    owner.on_read(START, ReadOutcome::Gone { first });
    assert_eq!(owner.next_action(START), Action::Read { from: first });
    owner.on_read(START, nothing(500));
    let Action::Append { at, .. } = owner.next_action(START) else {
        panic!("a reservation must be appended");
    };
    assert_eq!(at, first);
}

#[test]
fn programs_spread_over_the_partitions() {
    let met: std::collections::BTreeSet<_> = (0..200)
        .map(|number| partition_of(&format!("program-{number}"), 12))
        .collect();
    assert_eq!(met.len(), 12);
}
