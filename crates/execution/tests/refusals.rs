//! Tests of refusals of resubmitted calls: a refusal that binds every owner is sent only after its
//! record was read back.

mod common;

use common::World;
use common::build::*;
use elderworks_execution::{Event, SubmittedCall};
use elderworks_protocol::sidecar::{NodeMessage, SubmissionId, SubmissionTag};
use elderworks_types::{
    CallSpec, Credits, Outcome, Refusal, RefusalReason, RunId, TenantId, Timestamp,
};

/// A node's response to a call.
#[derive(Debug, PartialEq)]
enum Response {
    Refused(RefusalReason, Option<SubmissionId>),
    Moved,
    NotOwner,
    Completed,
}

const FIRST: SubmissionId = SubmissionId {
    sidecar: 3,
    number: 1,
};

const SECOND: SubmissionId = SubmissionId {
    sidecar: 3,
    number: 2,
};

fn copy(spec: CallSpec, id: SubmissionId, resubmitted: bool) -> Event {
    let mut event = submit_on(8, RUN, spec);
    if let Event::SubmitCall(SubmittedCall { submission, .. }) = &mut event {
        *submission = SubmissionTag { id, resubmitted };
    }
    event
}

fn submit_on(connection: u64, run: RunId, spec: CallSpec) -> Event {
    common::build::submit_on(connection, run, spec, Default::default())
}

fn free_of_charge(mut event: Event) -> Event {
    if let Event::SubmitCall(SubmittedCall { terms, .. }) = &mut event {
        let mut free = model_terms();
        free.per_prompt_token = Credits::ZERO;
        free.per_output_token = Credits::ZERO;
        *terms = Ok(free);
    }
    event
}

fn without_service(mut event: Event, reason: RefusalReason) -> Event {
    if let Event::SubmitCall(SubmittedCall { terms, .. }) = &mut event {
        *terms = Err(Refusal {
            reason,
            retry_after: None,
        });
    }
    event
}

fn responses(world: &mut World, node: usize) -> Vec<Response> {
    let messages = world.take_messages(node);
    let responses = messages.into_iter().filter_map(|message| match message {
        NodeMessage::CallEnded {
            outcome, barred, ..
        } => match outcome {
            Outcome::Refused(refusal) => Some(Response::Refused(refusal.reason, barred)),
            Outcome::Completed(_) => Some(Response::Completed),
            other => panic!("neither refused nor completed: {other:?}"),
        },
        NodeMessage::CallMoved { .. } => Some(Response::Moved),
        NodeMessage::NotOwner { .. } => Some(Response::NotOwner),
        _ => None,
    });
    responses.collect()
}

/// Creates a run with one completed call and 10 credits left, which is too little for another call.
fn run_with_small_budget() -> World {
    let mut world = World::owned();
    world.event(0, start(RUN, 30));
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    world.place(0, call(RUN, 1), 1, "engine-a");
    world.chunk(0, call(RUN, 1), 1, 0, "hi");
    world.complete(0, call(RUN, 1), 1, "hi");
    assert_eq!(responses(&mut world, 0), [Response::Completed]);
    world
}

fn late_call() -> CallSpec {
    CallSpec {
        deadline: Some(Timestamp(1)),
        ..model_call(2, 2, "late")
    }
}

#[test]
fn final_refusal_of_a_resubmission_is_sent_after_it_is_read_back() {
    let table = [
        (model_call(2, 2, "dear"), RefusalReason::RunBudgetExhausted),
        (model_call(2, 9, "x"), RefusalReason::HistoryMissing),
        (model_call(1, 0, "other"), RefusalReason::CallNumberReused),
        (late_call(), RefusalReason::DeadlinePassed),
    ];
    for (spec, reason) in table {
        let mut world = run_with_small_budget();
        world.event(0, copy(spec.clone(), FIRST, false));
        assert_eq!(responses(&mut world, 0), [Response::Refused(reason, None)]);

        world.feed(0, copy(spec.clone(), FIRST, true));
        world.feed(0, copy(spec.clone(), FIRST, true));
        assert_eq!(
            responses(&mut world, 0),
            [],
            "{reason:?} before it is read back"
        );
        let appended = world.nodes[0].outbox.len();
        assert_eq!(appended, 1, "copies share one record");
        world.settle();
        let expected = [Response::Refused(reason, Some(FIRST))];
        assert_eq!(responses(&mut world, 0), expected, "{reason:?}");

        world.feed(0, copy(spec, FIRST, true));
        assert_eq!(
            responses(&mut world, 0).len(),
            1,
            "{reason:?} is already journalled"
        );
    }
}

#[test]
fn refusals_that_are_not_journalled_are_sent_immediately() {
    let stranger = |mut event: Event| {
        if let Event::SubmitCall(SubmittedCall { tenant, .. }) = &mut event {
            *tenant = TenantId::new("stranger");
        }
        event
    };
    let call = || copy(model_call(2, 2, "dear"), FIRST, true);
    let table = [
        (
            without_service(call(), RefusalReason::NoBackend),
            RefusalReason::NoBackend,
        ),
        (stranger(call()), RefusalReason::RunNotFound),
    ];
    for (event, reason) in table {
        let mut world = run_with_small_budget();
        world.feed(0, event);
        assert_eq!(responses(&mut world, 0), [Response::Refused(reason, None)]);
        assert!(world.nodes[0].outbox.is_empty());
    }
}

#[test]
fn refusal_is_not_journalled_while_the_log_is_unreachable() {
    let mut world = run_with_small_budget();
    world.event(0, Event::LogReachable(false));
    let reused = copy(model_call(1, 0, "other"), FIRST, true);
    world.feed(0, reused.clone());
    let unavailable = [Response::Refused(RefusalReason::LogUnavailable, None)];
    assert_eq!(responses(&mut world, 0), unavailable);
    world.event(0, Event::LogReachable(true));
    world.event(0, reused);
    let bound = [Response::Refused(
        RefusalReason::CallNumberReused,
        Some(FIRST),
    )];
    assert_eq!(responses(&mut world, 0), bound);
}

#[test]
fn owner_fenced_while_paused_sends_no_refusal() {
    let mut world = run_with_small_budget();
    world.nodes[0].paused = true;
    world.take_over(1);
    world.event(
        1,
        free_of_charge(copy(model_call(2, 2, "dear"), FIRST, false)),
    );
    world.take_effects(1);
    world.nodes[0].paused = false;
    world.feed(0, copy(model_call(2, 2, "dear"), FIRST, true));
    assert_eq!(responses(&mut world, 0), []);
    world.settle();
    assert_eq!(responses(&mut world, 0), [Response::Moved]);
    world.complete(1, call(RUN, 2), 1, "done");
    assert_eq!(responses(&mut world, 1), [Response::Completed]);
}

#[test]
fn copy_of_a_barred_submission_is_refused_by_the_next_owner() {
    for restarted in [false, true] {
        let mut world = run_with_small_budget();
        world.event(0, copy(model_call(2, 2, "dear"), FIRST, true));
        world.event(0, Event::TakeSnapshot);
        world.nodes[0].paused = true;
        if restarted {
            world.restart(1);
        }
        world.take_over(1);
        world.take_effects(1);

        let stale = free_of_charge(copy(model_call(2, 2, "dear"), FIRST, false));
        world.event(1, stale.clone());
        let reason = RefusalReason::RunBudgetExhausted;
        assert_eq!(
            responses(&mut world, 1),
            [Response::Refused(reason, Some(FIRST))],
            "restarted: {restarted}"
        );
        assert!(world.take_dispatches(1).is_empty());

        world.event(
            1,
            free_of_charge(copy(model_call(2, 2, "dear"), SECOND, false)),
        );
        assert_eq!(world.take_dispatches(1).len(), 1, "the number is free");
        world.complete(1, call(RUN, 2), 1, "done");
        assert_eq!(responses(&mut world, 1), [Response::Completed]);
        world.event(1, stale);
        assert_eq!(
            responses(&mut world, 1),
            [Response::Completed],
            "the known outcome"
        );
        assert!(world.take_dispatches(1).is_empty());
    }
}

#[test]
fn number_of_barred_submissions_per_run_is_bounded() {
    const KEPT: u64 = 256;
    let mut world = run_with_small_budget();
    for number in 1..=KEPT + 1 {
        let id = SubmissionId { sidecar: 3, number };
        world.event(0, copy(model_call(2, 2, "dear"), id, true));
        let barred = (number <= KEPT).then_some(id);
        let reason = RefusalReason::RunBudgetExhausted;
        assert_eq!(
            responses(&mut world, 0),
            [Response::Refused(reason, barred)]
        );
    }
}

#[test]
fn refusal_by_an_ended_run_is_binding() {
    let mut world = run_with_small_budget();
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: RUN,
    };
    world.event(0, end);
    world.take_effects(0);
    world.event(0, copy(model_call(2, 2, "dear"), FIRST, true));
    let bound = [Response::Refused(RefusalReason::RunEnded, Some(FIRST))];
    assert_eq!(responses(&mut world, 0), bound);
}
