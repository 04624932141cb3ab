//! Tests of overdrafts: opening, activation, recording, closing, and charges to other owners.

use std::time::Duration;

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, LedgerState, OVERDRAFT_RETENTION, OverdraftStatus, PartitionOwner,
    ProgramTurn, ReadOutcome, SLOW_CALL_THRESHOLD, Ticket, WitnessMemory, WitnessQuery,
};
use elderworks_gateway_core::policy::Policy;
use elderworks_protocol::ledger::{
    LedgerRecord, LedgerReply, TurnStorage, Witness, WitnessAction, WitnessAnswer, WitnessRequest,
};
use elderworks_types::{NodeId, Offset, Timestamp};

use crate::fixtures::{START, begin, begin_of, finish, no_records};

fn witness(boot: u64) -> Witness {
    Witness {
        node: NodeId::new(format!("n{boot}")),
        boot,
    }
}

fn witnesses(boots: &[u64]) -> Vec<Witness> {
    boots.iter().map(|boot| witness(*boot)).collect()
}

/// Returns an owner with three witnesses that has read an empty log.
fn owner() -> PartitionOwner {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.set_witnesses(witnesses(&[1, 2, 3]).into());
    assert_eq!(owner.next_action(START), Action::Read { from: Offset(0) });
    owner.on_read(START, no_records(0));
    owner
}

/// Returns the records of the owner's next action, which must be an append.
fn appended(owner: &mut PartitionOwner, now: Timestamp) -> Vec<LedgerRecord> {
    match owner.next_action(now) {
        Action::Append { records, .. } => records,
        action => panic!("expected an append, got {action:?}"),
    }
}

/// Returns an owner with an open, unused overdraft.
fn with_open_overdraft() -> PartitionOwner {
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

fn answer(
    owner: &mut PartitionOwner,
    now: Timestamp,
    inquiry: &WitnessQuery,
    answer: WitnessAnswer,
) {
    owner.on_witness_answer(now, &inquiry.question, Some(answer));
}

/// Returns an owner with an active overdraft and a call to the log in progress.
fn with_active_overdraft() -> PartitionOwner {
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
fn unstored_turn(program: &str, budget: u64) -> ProgramTurn<'_> {
    ProgramTurn {
        program,
        budget,
        storage: TurnStorage::NotStored,
    }
}

fn granted(owner: &mut PartitionOwner) -> usize {
    let replies = owner.take_replies().into_iter();
    let is_granted = |reply: &LedgerReply| matches!(reply, LedgerReply::Granted { .. });
    replies.filter(|(_, reply)| is_granted(reply)).count()
}

#[test]
fn an_overdraft_is_opened_without_requests_if_there_are_witnesses() {
    struct Case {
        name: &'static str,
        boots: &'static [u64],
        is_preferred: bool,
        policy: Policy,
        opens: bool,
    }
    let on = Policy::default();
    let cases = [
        Case {
            name: "two witnesses",
            boots: &[1, 2],
            is_preferred: true,
            policy: on,
            opens: true,
        },
        Case {
            name: "one witness",
            boots: &[1],
            is_preferred: true,
            policy: on,
            opens: false,
        },
        Case {
            name: "another node is preferred",
            boots: &[1, 2, 3],
            is_preferred: false,
            policy: on,
            opens: false,
        },
        Case {
            name: "disabled by the policy",
            boots: &[1, 2, 3],
            is_preferred: true,
            policy: Policy {
                overdrafts: false,
                ..on
            },
            opens: false,
        },
    ];
    for case in cases {
        let mut owner = PartitionOwner::with_policy("owner".to_owned(), case.policy);
        owner.set_witnesses(witnesses(case.boots).into());
        owner.set_preferred(case.is_preferred);
        if matches!(owner.next_action(START), Action::Read { .. }) {
            owner.on_read(START, no_records(0));
        }
        let action = owner.next_action(START);
        let opens = matches!(action, Action::Append { .. });
        assert_eq!(opens, case.opens, "{}", case.name);
    }
}

#[test]
fn preparatory_calls_are_rare_while_the_log_is_down() {
    let mut owner = PartitionOwner::new("owner".to_owned());
    owner.set_witnesses(witnesses(&[1, 2]).into());
    let mut now = START;
    let mut calls = 0;
    while now < START + Duration::from_secs(5) {
        match owner.next_action(now) {
            Action::Read { .. } => {
                calls += 1;
                owner.on_read(now, ReadOutcome::Failed);
            }
            Action::Wait { until } => now = until.expect("calls are retried"),
            Action::Append { .. } => panic!("no read has succeeded"),
        }
    }
    assert!((8..=14).contains(&calls), "{calls} calls in five seconds");
}

#[test]
fn turns_start_on_an_active_overdraft_up_to_its_share() {
    let mut owner = with_active_overdraft();
    assert_eq!(granted(&mut owner), 1, "the turn that waited for the log");
    // The share is a third of 90, that is 30. A turn may start if it fits into that completely.
    for (number, turn) in ["two", "three", "four", "five"].iter().enumerate() {
        let ticket = Ticket(10 + number as u64);
        owner.submit(START, ticket, begin(turn, 90, 10));
    }
    assert_eq!(granted(&mut owner), 2, "the fourth turn exceeds the share");
    owner.submit(START, Ticket(20), finish("one", 5, None));
    owner.submit(START, Ticket(21), finish("two", 4, None));
    owner.submit(START, Ticket(23), begin("too large", 90, 12));
    assert_eq!(
        granted(&mut owner),
        0,
        "19 are drawn, and another 12 exceed the share"
    );
    owner.submit(START, Ticket(22), begin("six", 90, 10));
    assert_eq!(
        granted(&mut owner),
        1,
        "finished turns count with the tokens used"
    );
}

#[test]
fn an_activation_by_a_minority_fails_and_is_retried_later() {
    let mut owner = with_open_overdraft();
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    appended(&mut owner, START);
    owner.note_slow_call(START);
    let inquiries = owner.take_witness_queries();
    answer(&mut owner, START, &inquiries[0], WitnessAnswer::Activated);
    answer(&mut owner, START, &inquiries[1], WitnessAnswer::Unknown);
    owner.on_witness_answer(START, &inquiries[2].question, None);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
    assert_eq!(granted(&mut owner), 0);
    owner.note_slow_call(START + Duration::from_millis(100));
    assert_eq!(owner.take_witness_queries(), [], "too soon");
    owner.note_slow_call(START + Duration::from_millis(600));
    assert_eq!(owner.take_witness_queries().len(), 3);
}

#[test]
fn an_overdraft_is_recorded_and_replaced_after_the_log_recovers() {
    let mut owner = with_active_overdraft();
    owner.on_append(START + SLOW_CALL_THRESHOLD / 2, AppendOutcome::Refused);
    // The tokens drawn are recorded as soon as the log accepts appends.
    let mut now = START + Duration::from_millis(200);
    let records = appended(&mut owner, now);
    let covered = records
        .iter()
        .any(|record| matches!(record, LedgerRecord::Reserved { tokens: 10, .. }));
    assert!(covered, "{records:?}");
    owner.on_append(now, AppendOutcome::Done);
    owner.take_replies();
    // Turns wait for the log again, and the overdraft is replaced a second later.
    owner.submit(now, Ticket(5), begin("two", 90, 10));
    assert_eq!(granted(&mut owner), 0);
    appended(&mut owner, now);
    owner.on_append(now, AppendOutcome::Done);
    now = now + Duration::from_secs(2);
    let records = appended(&mut owner, now);
    let closed = records
        .iter()
        .position(|record| matches!(record, LedgerRecord::OverdraftClosed { .. }));
    let opened = records
        .iter()
        .position(|record| matches!(record, LedgerRecord::Overdraft { .. }));
    assert!(closed.is_some() && closed < opened, "{records:?}");
    owner.on_append(now, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Standing);
}

#[test]
fn an_owner_that_is_no_longer_preferred_closes_an_unused_overdraft() {
    let mut owner = with_open_overdraft();
    owner.set_preferred(false);
    let records = appended(&mut owner, START);
    assert!(matches!(
        records[..],
        [LedgerRecord::OverdraftClosed { .. }]
    ));
    owner.on_append(START, AppendOutcome::Done);
    assert_eq!(owner.overdraft_status(), OverdraftStatus::None);
    assert!(matches!(owner.next_action(START), Action::Wait { .. }));
}

#[test]
fn an_overdraft_with_lost_witnesses_is_replaced_with_the_next_append() {
    let mut owner = with_open_overdraft();
    owner.set_witnesses(witnesses(&[1, 4, 5]).into());
    owner.submit(START, Ticket(1), begin("one", 90, 10));
    let records = appended(&mut owner, START);
    let opened = records.iter().find_map(|record| match record {
        LedgerRecord::Overdraft { witnesses, .. } => Some(witnesses.clone()),
        _ => None,
    });
    assert_eq!(opened, Some(witnesses(&[1, 4, 5])));
}

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

#[test]
fn a_witness_decides_once_and_answers_only_for_its_own_start() {
    struct Case {
        name: &'static str,
        questions: &'static [(u64, WitnessAction)],
        answers: &'static [WitnessAnswer],
    }
    let cases = [
        Case {
            name: "activated first",
            questions: &[(7, WitnessAction::Activate), (7, WitnessAction::Fence)],
            answers: &[WitnessAnswer::Activated, WitnessAnswer::Activated],
        },
        Case {
            name: "fenced first",
            questions: &[(7, WitnessAction::Fence), (7, WitnessAction::Activate)],
            answers: &[WitnessAnswer::Fenced, WitnessAnswer::Fenced],
        },
        Case {
            name: "question for an earlier start",
            questions: &[(6, WitnessAction::Fence), (7, WitnessAction::Activate)],
            answers: &[WitnessAnswer::Unknown, WitnessAnswer::Activated],
        },
    ];
    for case in cases {
        let mut witness = WitnessMemory::new(7);
        let answers: Vec<WitnessAnswer> = case
            .questions
            .iter()
            .map(|(boot, wish)| {
                let question = WitnessRequest {
                    overdraft: "o/1".to_owned(),
                    boot: *boot,
                    wish: *wish,
                };
                witness.answer(START, &question)
            })
            .collect();
        assert_eq!(answers, case.answers, "{}", case.name);
    }
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
fn an_overdraft_serves_only_budgets_whose_share_holds_a_typical_turn() {
    let mut owner = with_open_overdraft();
    owner.submit(START, Ticket(1), begin("one", 900, 10));
    appended(&mut owner, START);
    owner.on_append(START, AppendOutcome::Done);
    // The next append replaces the overdraft by one with a minimum budget.
    owner.submit(START, Ticket(2), begin("two", 900, 200));
    let records = appended(&mut owner, START);
    let min_budget = records.iter().find_map(|record| match record {
        LedgerRecord::OverdraftTerms { min_budget, .. } => Some(*min_budget),
        _ => None,
    });
    assert_eq!(min_budget, Some(30), "{records:?}");
    owner.on_append(START, AppendOutcome::Done);
    owner.take_replies();
    owner.submit(START, Ticket(3), begin("three", 900, 300));
    appended(&mut owner, START);
    owner.note_slow_call(START);
    for inquiry in owner.take_witness_queries() {
        answer(&mut owner, START, &inquiry, WitnessAnswer::Activated);
    }
    assert_eq!(owner.overdraft_status(), OverdraftStatus::Active);
    for (budget, expected) in [(29, 0), (30, 1)] {
        let program = format!("of {budget}");
        owner.take_replies();
        owner.submit(
            START,
            Ticket(budget),
            begin_of(&program, "small", budget, 5),
        );
        assert_eq!(granted(&mut owner), expected, "a budget of {budget}");
    }
}

#[test]
fn a_superseded_overdraft_is_not_drawn_on() {
    for is_superseded in [false, true] {
        let mut owner = with_active_overdraft();
        granted(&mut owner);
        owner.on_append(START, AppendOutcome::Conflict);
        owner.next_action(START);
        let superseded = LedgerRecord::OverdraftSuperseded {
            overdraft: "owner/1".to_owned(),
        };
        let records: Vec<_> = is_superseded
            .then_some(Some(superseded))
            .into_iter()
            .collect();
        let end = Offset(1 + records.len() as u64);
        // The log answers slowly, so that the overdraft would still be useful.
        let now = START + SLOW_CALL_THRESHOLD;
        owner.on_read(now, ReadOutcome::Records { records, end });
        owner.submit(now, Ticket(2), begin("two", 90, 10));
        let expected = usize::from(!is_superseded);
        assert_eq!(granted(&mut owner), expected, "superseded: {is_superseded}");
    }
}

#[test]
fn an_overdraft_is_not_used_before_its_terms_are_read() {
    let mut owner = owner();
    let records = appended(&mut owner, START);
    owner.on_append(START, AppendOutcome::Unknown);
    let now = START + Duration::from_secs(1);
    owner.next_action(now);
    // A page of records that ends before the terms.
    let page = ReadOutcome::Records {
        records: records.into_iter().take(1).map(Some).collect(),
        end: Offset(2),
    };
    owner.on_read(now, page);
    owner.expire(now, Duration::from_secs(75));
    assert_eq!(owner.overdraft_status(), OverdraftStatus::None);
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

/// Witnesses forget an activation eventually, so an overdraft must not be used indefinitely.
#[test]
fn an_overdraft_is_closed_before_its_witnesses_forget_it_even_if_the_log_stays_slow() {
    let mut owner = with_active_overdraft();
    owner.on_append(START + SLOW_CALL_THRESHOLD, AppendOutcome::Done);
    let old = START + OVERDRAFT_RETENTION;
    let Action::Append { records, .. } = owner.next_action(old) else {
        panic!("the overdraft must be closed");
    };
    let is_close = |record: &LedgerRecord| matches!(record, LedgerRecord::OverdraftClosed { .. });
    assert!(records.iter().any(is_close), "{records:?}");
}

#[test]
fn budgets_and_turns_of_any_size_are_decided() {
    let mut owner = with_active_overdraft();
    for (number, (budget, tokens)) in [(u64::MAX, u64::MAX), (1, u64::MAX), (u64::MAX, 1)]
        .into_iter()
        .enumerate()
    {
        let ticket = Ticket(30 + number as u64);
        owner.submit(START, ticket, begin(&format!("t{number}"), budget, tokens));
    }
    owner.on_append(START, AppendOutcome::Done);
    for _ in 0..4 {
        if matches!(owner.next_action(START), Action::Append { .. }) {
            owner.on_append(START, AppendOutcome::Done);
        }
    }
}

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
