//! The ledger's rules as tables: budgets, kept turns, what is answered at once and what is not.

use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    Account, Action, Advance, AppendOutcome, DOWN_PAUSE, FAILURE_PAUSE, HOLD_BACK,
    IDLE_BEFORE_SETTLING, LedgerState, PartitionOwner, ReadOutcome, Ticket, Wallet, partition_of,
};
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, KeptTurn, LedgerRecord, LedgerReply, LedgerRequest,
};
use elderworks_types::{Offset, Timestamp};

const START: Timestamp = Timestamp(1_000_000);

fn begin(turn: &str, budget: u64, tokens: u64) -> LedgerRequest {
    LedgerRequest::Begin(BeginTurn {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        budget: Some(budget),
        tokens,
        previous: None,
        imported: None,
    })
}

fn begin_after(turn: &str, previous: &str, imported: Option<&'static [u8]>) -> LedgerRequest {
    LedgerRequest::Begin(BeginTurn {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        budget: None,
        tokens: 0,
        previous: Some(previous.to_owned()),
        imported: imported.map(Bytes::from_static),
    })
}

fn finish(turn: &str, used: u64, kept: Option<KeptTurn>) -> LedgerRequest {
    LedgerRequest::Finish(FinishTurn {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        used,
        kept,
    })
}

fn kept(previous: Option<&str>, input: &'static [u8], output: &'static [u8]) -> KeptTurn {
    KeptTurn {
        previous: previous.map(str::to_owned),
        input: Bytes::from_static(input),
        output: Bytes::from_static(output),
    }
}

fn nothing(end: u64) -> ReadOutcome {
    ReadOutcome::Records {
        records: Vec::new(),
        end: Offset(end),
    }
}

/// An owner that has read the log, which holds nothing.
fn synced_owner() -> PartitionOwner {
    let mut owner = PartitionOwner::new("owner".to_owned());
    let question = LedgerRequest::Conversation {
        turn: "none".to_owned(),
    };
    owner.submit(START, Ticket(0), question);
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    owner.on_read(START, nothing(0));
    owner.next_action(START);
    assert_eq!(
        owner.take_replies(),
        [(Ticket(0), LedgerReply::UnknownTurn)]
    );
    owner
}

/// Has a request carried out on a log that works.
fn carry_out(owner: &mut PartitionOwner, request: LedgerRequest) -> LedgerReply {
    let ticket = Ticket(77);
    let mut now = START;
    owner.submit(now, ticket, request);
    for _ in 0..10 {
        if let Some((_, reply)) = owner.take_replies().pop() {
            return reply;
        }
        match owner.next_action(now) {
            Action::Append { .. } => owner.on_append(now, AppendOutcome::Done),
            Action::Read { from } => owner.on_read(now, nothing(from.0)),
            Action::Wait { until } => now = until.unwrap_or(now),
        }
        if let Some((_, reply)) = owner.take_replies().pop() {
            return reply;
        }
    }
    panic!("no reply");
}

#[test]
fn what_a_budget_allows() {
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
            name: "a turn that does not fit on top of what was generated",
            settled: 50,
            open: &[],
            budget: 100,
            tokens: 51,
            allowed: false,
        },
        Case {
            name: "a turn that fits only if those under way do not generate their most",
            settled: 10,
            open: &[40, 40],
            budget: 100,
            tokens: 11,
            allowed: false,
        },
        Case {
            name: "a turn that fits whatever those under way generate",
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
            open: open.map(|(turn, most)| (turn.to_string(), *most)).collect(),
        };
        let allowed = account.allows(case.budget, case.tokens);
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}

#[test]
fn a_conversation_is_every_input_and_output_in_order() {
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
    let conversation = state.conversation("c").expect("all turns are kept");
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
fn two_turns_decided_together_cannot_both_take_the_last_tokens() {
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
            now.since(START) <= FAILURE_PAUSE,
            "given up after two calls"
        );
    }
    for (_, reply) in replies {
        assert_eq!(reply, LedgerReply::Unavailable);
    }
}

/// An owner that takes the log to be down, at the time of its last failed call.
fn owner_of_a_log_that_is_down() -> PartitionOwner {
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

#[test]
fn while_the_log_is_down_requests_are_answered_at_once() {
    let mut owner = owner_of_a_log_that_is_down();
    let now = START + FAILURE_PAUSE;
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
    let now = START + FAILURE_PAUSE + DOWN_PAUSE;
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
fn what_an_ended_turn_gives_back_is_at_hand_at_once() {
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
    assert_eq!(*tokens, 11, "a quarter of the four that are left");
}

#[test]
fn an_idle_advance_is_settled_with_what_its_turns_have_used() {
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
        panic!("settlements are held back");
    };
    assert_eq!(due, idle + HOLD_BACK);
    assert!(matches!(owner.next_action(due), Action::Append { .. }));
    owner.on_append(due, AppendOutcome::Done);
    let account = owner.state().account("p").expect("an account");
    assert_eq!((account.settled, account.committed()), (11, 11));
    assert_eq!(owner.next_action(due), Action::Wait { until: None });
}

#[test]
fn an_owner_that_is_not_asked_any_more_settles_without_delay() {
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
fn a_lost_settlement_is_made_again_until_it_is_durable() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    carry_out(&mut owner, finish("one", 4, None));
    owner.set_preferred(false);
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.on_append(START, AppendOutcome::Unknown);
    let later = START + FAILURE_PAUSE;
    assert_eq!(owner.next_action(later), Action::Read { from: Offset(1) });
    owner.on_read(later, nothing(1));
    assert!(matches!(owner.next_action(later), Action::Append { .. }));
    owner.on_append(later, AppendOutcome::Done);
    assert_eq!(owner.next_action(later), Action::Wait { until: None });
}

#[test]
fn a_turn_asked_for_again_draws_once() {
    let mut owner = synced_owner();
    for _ in 0..3 {
        let reply = carry_out(&mut owner, begin("one", 20, 20));
        assert!(matches!(reply, LedgerReply::Granted { .. }));
    }
}

#[test]
fn a_turn_asked_for_again_waits_for_its_advance() {
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
fn a_turn_given_up_before_it_was_granted_draws_nothing() {
    let mut owner = synced_owner();
    owner.submit(START, Ticket(1), begin("one", 20, 20));
    assert!(matches!(owner.next_action(START), Action::Append { .. }));
    owner.submit(START, Ticket(2), finish("one", 0, None));
    owner.on_append(START, AppendOutcome::Done);
    let reply = carry_out(&mut owner, begin("two", 20, 20));
    assert!(matches!(reply, LedgerReply::Granted { .. }));
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
fn the_end_of_a_turn_counts_once() {
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
fn advances_are_charged_in_order_and_the_last_with_the_rest() {
    let mut wallet = Wallet::default();
    for (id, tokens) in [("a", 10), ("b", 10)] {
        let advance = Advance {
            id: id.to_owned(),
            tokens,
        };
        wallet.add(START, advance.clone());
        wallet.add(START, advance);
    }
    assert_eq!(wallet.free(), 20);
    wallet.start(START, "t".to_owned(), 20);
    wallet.end(START, "t", 23);
    let spent: Vec<(String, u64)> = wallet
        .into_spent()
        .into_iter()
        .map(|advance| (advance.id, advance.used))
        .collect();
    assert_eq!(spent, [("a".to_owned(), 10), ("b".to_owned(), 13)]);
}

#[test]
fn a_turn_whose_end_is_never_reported_counts_at_its_most() {
    let mut wallet = Wallet::default();
    wallet.add(
        START,
        Advance {
            id: "a".to_owned(),
            tokens: 10,
        },
    );
    wallet.start(START, "t".to_owned(), 10);
    wallet.end_lost_turns(START + Duration::from_secs(89));
    assert!(wallet.is_running("t"));
    wallet.end_lost_turns(START + Duration::from_secs(90));
    assert!(!wallet.is_running("t"));
    assert_eq!(wallet.into_spent()[0].used, 10);
}

#[test]
fn a_kept_turn_can_be_gone_on_from() {
    let mut owner = synced_owner();
    let content = kept(None, b"in ", b"out\n");
    carry_out(&mut owner, finish("t", 0, Some(content)));
    let reply = carry_out(&mut owner, begin_after("u", "t", None));
    let conversation = Bytes::from_static(b"in out\n");
    assert_eq!(reply, LedgerReply::Granted { conversation });
}

#[test]
fn an_imported_conversation_is_kept_like_the_partitions_own() {
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
fn what_is_still_kept_is_written_anew_before_the_log_drops_it() {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("t", 100, 10));
    carry_out(&mut owner, finish("k", 0, Some(kept(None, b"in", b"out"))));
    assert_eq!(owner.plan_rewrite(START), None, "nothing is old yet");
    let later = START + Duration::from_secs(101);
    let Some(Action::Append { records, .. }) = owner.plan_rewrite(later) else {
        panic!("old records must be written anew");
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
    assert!(owner.state().is_empty());
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
