//! Refusals of calls of which another copy may have been taken: told as binding only once they are.

mod common;

use common::World;
use common::build::*;
use elderworks_execution::{Event, SubmittedCall};
use elderworks_protocol::sidecar::{NodeMessage, SubmissionId, SubmissionTag};
use elderworks_types::{
    CallSpec, Credits, Outcome, Refusal, RefusalReason, RunId, TenantId, Timestamp,
};

/// What a sidecar is told of a call.
#[derive(Debug, PartialEq)]
enum Told {
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

fn at_no_cost(mut event: Event) -> Event {
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

fn told(world: &mut World, node: usize) -> Vec<Told> {
    let messages = world.take_messages(node);
    let told = messages.into_iter().filter_map(|message| match message {
        NodeMessage::CallEnded {
            outcome, barred, ..
        } => match outcome {
            Outcome::Refused(refusal) => Some(Told::Refused(refusal.reason, barred)),
            Outcome::Completed(_) => Some(Told::Completed),
            other => panic!("neither refused nor completed: {other:?}"),
        },
        NodeMessage::CallMoved { .. } => Some(Told::Moved),
        NodeMessage::NotOwner { .. } => Some(Told::NotOwner),
        _ => None,
    });
    told.collect()
}

/// A run with one completed call and 10 credits left, too few for another.
fn poor_run() -> World {
    let mut world = World::owned();
    world.event(0, start(RUN, 30));
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    world.place(0, call(RUN, 1), 1, "engine-a");
    world.chunk(0, call(RUN, 1), 1, 0, "hi");
    world.complete(0, call(RUN, 1), 1, "hi");
    assert_eq!(told(&mut world, 0), [Told::Completed]);
    world
}

fn late_call() -> CallSpec {
    CallSpec {
        deadline: Some(Timestamp(1)),
        ..model_call(2, 2, "late")
    }
}

#[test]
fn a_lasting_refusal_of_a_repeated_submission_is_told_after_it_is_read_back() {
    let table = [
        (model_call(2, 2, "dear"), RefusalReason::RunBudgetExhausted),
        (model_call(2, 9, "x"), RefusalReason::HistoryMissing),
        (model_call(1, 0, "other"), RefusalReason::CallNumberReused),
        (late_call(), RefusalReason::DeadlinePassed),
    ];
    for (spec, reason) in table {
        let mut world = poor_run();
        world.event(0, copy(spec.clone(), FIRST, false));
        assert_eq!(told(&mut world, 0), [Told::Refused(reason, None)]);

        world.feed(0, copy(spec.clone(), FIRST, true));
        world.feed(0, copy(spec.clone(), FIRST, true));
        assert_eq!(told(&mut world, 0), [], "{reason:?} before it is read back");
        let appended = world.nodes[0].outbox.len();
        assert_eq!(appended, 1, "copies share one record");
        world.settle();
        let expected = [Told::Refused(reason, Some(FIRST))];
        assert_eq!(told(&mut world, 0), expected, "{reason:?}");

        world.feed(0, copy(spec, FIRST, true));
        assert_eq!(told(&mut world, 0).len(), 1, "{reason:?} is known by now");
    }
}

#[test]
fn refusals_that_cannot_be_made_binding_are_told_at_once() {
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
        let mut world = poor_run();
        world.feed(0, event);
        assert_eq!(told(&mut world, 0), [Told::Refused(reason, None)]);
        assert!(world.nodes[0].outbox.is_empty());
    }
}

#[test]
fn a_refusal_waits_for_the_log_only_if_the_log_answers() {
    let mut world = poor_run();
    world.event(0, Event::LogReachable(false));
    let reused = copy(model_call(1, 0, "other"), FIRST, true);
    world.feed(0, reused.clone());
    let unavailable = [Told::Refused(RefusalReason::LogUnavailable, None)];
    assert_eq!(told(&mut world, 0), unavailable);
    world.event(0, Event::LogReachable(true));
    world.event(0, reused);
    let bound = [Told::Refused(RefusalReason::CallNumberReused, Some(FIRST))];
    assert_eq!(told(&mut world, 0), bound);
}

#[test]
fn an_owner_deposed_while_it_was_paused_refuses_nothing() {
    let mut world = poor_run();
    world.nodes[0].paused = true;
    world.take_over(1);
    world.event(1, at_no_cost(copy(model_call(2, 2, "dear"), FIRST, false)));
    world.take_effects(1);
    world.nodes[0].paused = false;
    world.feed(0, copy(model_call(2, 2, "dear"), FIRST, true));
    assert_eq!(told(&mut world, 0), []);
    world.settle();
    assert_eq!(told(&mut world, 0), [Told::Moved]);
    world.complete(1, call(RUN, 2), 1, "done");
    assert_eq!(told(&mut world, 1), [Told::Completed]);
}

#[test]
fn a_copy_that_waited_for_the_next_owner_is_not_taken_after_the_refusal() {
    for restarted in [false, true] {
        let mut world = poor_run();
        world.event(0, copy(model_call(2, 2, "dear"), FIRST, true));
        world.event(0, Event::TakeSnapshot);
        world.nodes[0].paused = true;
        if restarted {
            world.restart(1);
        }
        world.take_over(1);
        world.take_effects(1);

        let stale = at_no_cost(copy(model_call(2, 2, "dear"), FIRST, false));
        world.event(1, stale.clone());
        let reason = RefusalReason::RunBudgetExhausted;
        assert_eq!(
            told(&mut world, 1),
            [Told::Refused(reason, Some(FIRST))],
            "restarted: {restarted}"
        );
        assert!(world.take_dispatches(1).is_empty());

        world.event(1, at_no_cost(copy(model_call(2, 2, "dear"), SECOND, false)));
        assert_eq!(world.take_dispatches(1).len(), 1, "the number is free");
        world.complete(1, call(RUN, 2), 1, "done");
        assert_eq!(told(&mut world, 1), [Told::Completed]);
        world.event(1, stale);
        assert_eq!(told(&mut world, 1), [Told::Completed], "the known outcome");
        assert!(world.take_dispatches(1).is_empty());
    }
}

#[test]
fn a_run_remembers_a_bounded_number_of_refused_submissions() {
    const KEPT: u64 = 256;
    let mut world = poor_run();
    for number in 1..=KEPT + 1 {
        let id = SubmissionId { sidecar: 3, number };
        world.event(0, copy(model_call(2, 2, "dear"), id, true));
        let barred = (number <= KEPT).then_some(id);
        let reason = RefusalReason::RunBudgetExhausted;
        assert_eq!(told(&mut world, 0), [Told::Refused(reason, barred)]);
    }
}

#[test]
fn a_run_that_has_ended_refuses_for_every_owner() {
    let mut world = poor_run();
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: RUN,
    };
    world.event(0, end);
    world.take_effects(0);
    world.event(0, copy(model_call(2, 2, "dear"), FIRST, true));
    let bound = [Told::Refused(RefusalReason::RunEnded, Some(FIRST))];
    assert_eq!(told(&mut world, 0), bound);
}
