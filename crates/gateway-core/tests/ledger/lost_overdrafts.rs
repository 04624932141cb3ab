//! Tests of what an overdraft that was lost with its owner holds back from stored turns, which it
//! can't have served.

use std::time::Duration;

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, PartitionOwner, ReadOutcome, SLOW_CALL_THRESHOLD, Ticket,
};
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, LedgerRecord, LedgerReply, LedgerRequest, WitnessAnswer,
};
use elderworks_types::{Offset, Timestamp};

use crate::fixtures::{START, kept, no_records};
use crate::overdraft_fixtures::witnesses;

/// Maximum tokens of each turn.
const TOKENS: u64 = 10;

/// Time after which the witnesses of a lost overdraft count as lost, too.
const FENCING: Duration = Duration::from_millis(1_100);

/// Returns an owner with three witnesses that has read an empty log.
fn first_owner() -> PartitionOwner {
    let mut owner = PartitionOwner::new("n1#1".to_owned());
    owner.set_witnesses(witnesses(&[1, 2, 3]).into());
    owner.next_action(START);
    owner.on_read(START, no_records(0));
    owner
}

/// Returns the owner that reads `records` after all nodes were lost, with its clock.
fn next_owner(name: &str, records: &[LedgerRecord], boots: &[u64]) -> (PartitionOwner, Timestamp) {
    let mut owner = PartitionOwner::new(name.to_owned());
    owner.set_witnesses(witnesses(boots).into());
    owner.next_action(START);
    let end = Offset(records.len() as u64);
    let records = records.iter().cloned().map(Some).collect();
    owner.on_read(START, ReadOutcome::Records { records, end });
    owner.next_action(START);
    owner.take_witness_queries();
    (owner, START + FENCING)
}

/// Carries out everything with a working log. Adds what is appended to `records`.
fn work(owner: &mut PartitionOwner, now: Timestamp, records: &mut Vec<LedgerRecord>) {
    for _ in 0..6 {
        match owner.next_action(now) {
            Action::Append { records: some, .. } => {
                records.extend(some);
                owner.on_append(now, AppendOutcome::Done);
            }
            Action::Read { from } => owner.on_read(now, no_records(from.0)),
            Action::Wait { .. } => return,
        }
    }
}

/// Returns the start of a turn of a stored conversation.
fn begin(program: &str, turn: &str, previous: Option<&str>, budget: u64) -> LedgerRequest {
    LedgerRequest::Begin(BeginTurn {
        program: program.to_owned(),
        turn: turn.to_owned(),
        budget: Some(budget),
        tokens: TOKENS,
        previous: previous.map(str::to_owned),
        imported: None,
    })
}

/// Runs a stored turn. Returns the reply to its start.
fn run_turn(
    owner: &mut PartitionOwner,
    now: Timestamp,
    (program, turn): (&str, &str),
    previous: Option<&str>,
    (budget, used): (u64, u64),
    records: &mut Vec<LedgerRecord>,
) -> LedgerReply {
    owner.take_replies();
    owner.submit(now, Ticket(1), begin(program, turn, previous, budget));
    work(owner, now, records);
    let reply = owner.take_replies().pop();
    let (_, reply) = reply.expect("the start is decided");
    if matches!(reply, LedgerReply::Granted { .. }) {
        let finish = FinishTurn {
            program: program.to_owned(),
            turn: turn.to_owned(),
            used,
            kept: Some(kept(previous, b"in", b"out")),
            waits: false,
        };
        owner.submit(now, Ticket(2), LedgerRequest::Finish(finish));
        work(owner, now, records);
        owner.take_replies();
    }
    reply
}

/// The budget is three turns at their most, and all three generate that.
#[test]
fn a_program_that_begins_after_a_loss_of_all_nodes_gets_every_stored_turn_of_its_budget() {
    let mut lost = first_owner();
    let mut records = Vec::new();
    work(&mut lost, START, &mut records);
    let is_overdraft = |record: &LedgerRecord| matches!(record, LedgerRecord::Overdraft { .. });
    assert!(records.iter().any(is_overdraft), "{records:?}");
    let (mut owner, now) = next_owner("n1#2", &records, &[11, 12, 13]);
    let mut previous = None;
    for turn in ["one", "two", "three"] {
        let reply = run_turn(
            &mut owner,
            now,
            ("new", turn),
            previous,
            (3 * TOKENS, TOKENS),
            &mut records,
        );
        assert!(
            matches!(reply, LedgerReply::Granted { .. }),
            "{turn}: {reply:?}"
        );
        previous = Some(turn);
    }
    let reply = run_turn(
        &mut owner,
        now,
        ("new", "four"),
        previous,
        (3 * TOKENS, TOKENS),
        &mut records,
    );
    assert_eq!(reply, LedgerReply::BudgetSpent);
}

/// The lost owner ran the first turn and had drawn on its overdraft for other programs.
#[test]
fn a_program_of_before_a_loss_of_all_nodes_gets_its_later_stored_turns() {
    let mut lost = first_owner();
    let mut records = Vec::new();
    work(&mut lost, START, &mut records);
    let first = ("old", "one");
    run_turn(
        &mut lost,
        START,
        first,
        None,
        (3 * TOKENS, TOKENS),
        &mut records,
    );
    let (mut owner, now) = next_owner("n1#2", &records, &[11, 12, 13]);
    let mut previous = "one";
    for turn in ["two", "three"] {
        let reply = run_turn(
            &mut owner,
            now,
            ("old", turn),
            Some(previous),
            (3 * TOKENS, TOKENS),
            &mut records,
        );
        assert!(
            matches!(reply, LedgerReply::Granted { .. }),
            "{turn}: {reply:?}"
        );
        previous = turn;
    }
}

/// Without the log, stored turns can't end, and their tokens would be charged to nobody.
#[test]
fn a_stored_turn_draws_on_no_overdraft() {
    for previous in [None, Some("k")] {
        let mut owner = first_owner();
        let mut records = Vec::new();
        work(&mut owner, START, &mut records);
        let earlier = ("other", "k");
        run_turn(&mut owner, START, earlier, None, (90, 1), &mut records);
        owner.submit(START, Ticket(5), begin("p", "t", previous, 90));
        assert!(matches!(owner.next_action(START), Action::Append { .. }));
        let slow = START + SLOW_CALL_THRESHOLD;
        owner.note_slow_call(slow);
        for inquiry in owner.take_witness_queries() {
            let answer = Some(WitnessAnswer::Activated);
            owner.on_witness_answer(slow, &inquiry.question, answer);
        }
        assert_eq!(owner.take_replies(), [], "continues {previous:?}");
    }
}

/// Records of the append that stores the first turn of a program with this budget.
fn records_at_the_end(budget: u64) -> Vec<LedgerRecord> {
    let mut owner = first_owner();
    let mut records = Vec::new();
    work(&mut owner, START, &mut records);
    owner.submit(START, Ticket(1), begin("p", "one", None, budget));
    work(&mut owner, START, &mut records);
    records.clear();
    let finish = FinishTurn {
        program: "p".to_owned(),
        turn: "one".to_owned(),
        used: 4,
        kept: Some(kept(None, b"in", b"out")),
        waits: false,
    };
    owner.submit(START, Ticket(2), LedgerRequest::Finish(finish));
    work(&mut owner, START, &mut records);
    records
}

/// A lost owner can't write what its turns used. A budget with room for few turns can't bear that.
#[test]
fn the_append_that_stores_a_turn_settles_it_if_the_budget_is_tight() {
    let is_settled = |budget| {
        let records = records_at_the_end(budget).into_iter();
        let used = records.filter_map(|record| match record {
            LedgerRecord::Settled { used, .. } => Some(used),
            _ => None,
        });
        used.collect::<Vec<_>>()
    };
    assert_eq!(is_settled(TOKENS), [4]);
    assert_eq!(is_settled(3 * TOKENS), [4]);
    assert_eq!(is_settled(4 * TOKENS), [4]);
    assert_eq!(
        is_settled(5 * TOKENS),
        [],
        "the advance serves the next turn"
    );
}
