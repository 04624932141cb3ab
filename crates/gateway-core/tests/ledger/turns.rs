//! Tests of stored turns and conversations.

use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    ACCOUNT_RETENTION, Action, AppendOutcome, LedgerState, MAX_CONTENT_BYTES, Ticket,
    approximate_bytes, kept_records,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, StoredTurn};

use crate::fixtures::{START, begin, begin_after, carry_out, finish, kept, synced_owner};

#[test]
fn a_conversation_contains_all_inputs_and_outputs_in_order() {
    let mut state = LedgerState::default();
    let turns = [
        ("a", kept(None, b"in-a ", b"out-a\n")),
        ("b", kept(Some("a"), b"in-b ", b"out-b\n")),
        ("c", kept(Some("b"), b"in-c ", b"out-c\n")),
    ];
    for (turn, content) in turns {
        let record = LedgerRecord::Kept {
            turn: turn.to_owned(),
            content,
        };
        state.apply(START, record);
    }
    let conversation = state.conversation("c").expect("all turns are stored");
    assert_eq!(
        conversation.as_ref(),
        b"in-a out-a\nin-b out-b\nin-c out-c\n"
    );
    assert_eq!(state.conversation("d"), None);
}

#[test]
fn a_conversation_with_a_missing_turn_is_none() {
    let mut state = LedgerState::default();
    let record = LedgerRecord::Kept {
        turn: "b".to_owned(),
        content: kept(Some("a"), b"in", b"out"),
    };
    state.apply(START, record);
    assert_eq!(state.conversation("b"), None);
}

#[test]
fn a_stored_turn_can_be_continued() {
    let mut owner = synced_owner();
    let content = kept(None, b"in ", b"out\n");
    carry_out(&mut owner, finish("t", 0, Some(content)));
    let reply = carry_out(&mut owner, begin_after("u", "t", None));
    let conversation = Bytes::from_static(b"in out\n");
    assert_eq!(reply, LedgerReply::Granted { conversation });
}

#[test]
fn an_imported_conversation_is_stored() {
    let mut owner = synced_owner();
    let reply = carry_out(&mut owner, begin_after("u", "t", Some(b"from afar\n")));
    let conversation = Bytes::from_static(b"from afar\n");
    assert_eq!(
        reply,
        LedgerReply::Granted {
            conversation: conversation.clone()
        }
    );
    let reply = carry_out(&mut owner, begin_after("v", "t", None));
    assert_eq!(reply, LedgerReply::Granted { conversation });
}

#[test]
fn retained_entries_are_rewritten_before_the_log_truncates_them() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("t", 100, 10));
    carry_out(&mut owner, finish("k", 0, Some(kept(None, b"in", b"out"))));
    assert_eq!(owner.plan_rewrite(START), None, "nothing is old yet");
    let later = START + Duration::from_secs(101);
    let Some(Action::Append { records, .. }) = owner.plan_rewrite(later) else {
        panic!("old records must be rewritten");
    };
    let mut state = LedgerState::default();
    for record in records {
        state.apply(later, record);
    }
    assert_eq!(state.account("p"), owner.state().account("p"));
    assert_eq!(state.conversation("k"), owner.state().conversation("k"));
}

#[test]
fn old_accounts_and_turns_are_dropped() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("t", 100, 10));
    carry_out(&mut owner, finish("k", 0, Some(kept(None, b"in", b"out"))));
    assert_eq!(owner.state().len(), 2);
    owner.expire(START + Duration::from_secs(60), Duration::from_secs(75));
    assert_eq!(owner.state().len(), 2);
    owner.expire(START + Duration::from_secs(76), Duration::from_secs(75));
    assert_eq!(owner.state().conversation("k"), None);
    assert!(
        owner.state().account("p").is_some(),
        "accounts are retained for longer than turns"
    );
    owner.expire(START + ACCOUNT_RETENTION, Duration::from_secs(75));
    assert!(owner.state().is_empty());
}

#[test]
fn a_turn_is_retained_while_its_conversation_continues() {
    let retention = Duration::from_secs(75);
    let mut state = LedgerState::default();
    let names: Vec<String> = (0..5).map(|number| format!("t{number}")).collect();
    let mut now = START;
    for (number, turn) in names.iter().enumerate() {
        now = START + Duration::from_secs(50) * u32::try_from(number).expect("few turns");
        let previous = number.checked_sub(1).map(|before| names[before].as_str());
        let record = LedgerRecord::Kept {
            turn: turn.clone(),
            content: kept(previous, b"in ", b"out\n"),
        };
        state.apply(now, record);
        state.expire(now, retention);
    }
    assert!(
        state.conversation("t4").is_some(),
        "200 s after its first turn"
    );
    state.expire(now + Duration::from_secs(76), retention);
    assert!(state.is_empty(), "no recent turn continues it");
}

#[test]
fn a_turn_too_large_for_a_record_is_split() {
    let cases = [
        (MAX_CONTENT_BYTES, 0, 1),
        (MAX_CONTENT_BYTES, 1, 2),
        (2 * MAX_CONTENT_BYTES + 1, 10, 4),
    ];
    for (input, output, expected) in cases {
        let content = StoredTurn {
            previous: Some("before".to_owned()),
            input: Bytes::from(vec![b'i'; input]),
            output: Bytes::from(vec![b'o'; output]),
        };
        let records = kept_records("t", content.clone());
        assert_eq!(records.len(), expected, "{input} and {output} bytes");
        let mut state = LedgerState::default();
        let before = kept_records("before", kept(None, b"before ", b""));
        for record in before.into_iter().chain(records) {
            assert!(approximate_bytes(&record) < 256 * 1024);
            state.apply(START, record);
        }
        let whole = [&b"before "[..], &content.input, &content.output].concat();
        assert_eq!(state.conversation("t"), Some(Bytes::from(whole)));
    }
}

#[test]
fn an_append_stays_within_the_size_limit() {
    let mut owner = synced_owner();
    let turns = 30;
    for number in 0..turns {
        let content = StoredTurn {
            previous: None,
            input: Bytes::from(vec![b'i'; 100_000]),
            output: Bytes::new(),
        };
        let request = finish(&format!("t{number}"), 0, Some(content));
        owner.submit(START, Ticket(number), request);
    }
    let mut finished = 0;
    while finished < turns {
        let Action::Append { records, .. } = owner.next_action(START) else {
            panic!("turns must be stored");
        };
        let bytes: usize = records.iter().map(approximate_bytes).sum();
        assert!(bytes < 2 * 1024 * 1024, "{bytes} bytes in one append");
        owner.on_append(START, AppendOutcome::Done);
        finished += owner.take_replies().len() as u64;
    }
}
