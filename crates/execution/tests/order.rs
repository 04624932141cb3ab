//! Tests of the order of a run's calls, of resubmitted calls, and of the run's history.

mod common;

use std::time::Duration;

use common::World;
use common::build::*;
use elderworks_execution::{BackendRequest, Event, SubmittedCall};
use elderworks_protocol::sidecar::{Delivered, NodeMessage};
use elderworks_types::{
    CallNumber, CallSpec, Message, Outcome, RefusalReason, Role, RunId, RunPhase, TenantId,
};

fn started() -> World {
    let mut world = World::owned();
    world.event(0, start(RUN, 100_000));
    world.take_effects(0);
    world
}

fn finish(world: &mut World, number: u32, text: &str) {
    let id = call(RUN, number);
    world.place(0, id, 1, "engine-a");
    world.complete(0, id, 1, text);
}

fn refusal_of(outcome: &Outcome) -> Option<RefusalReason> {
    match outcome {
        Outcome::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

fn only_refusal(world: &mut World) -> RefusalReason {
    let outcomes = world.take_outcomes(0);
    let [(_, outcome)] = outcomes.as_slice() else {
        panic!("one outcome expected: {outcomes:?}");
    };
    refusal_of(outcome).unwrap_or_else(|| panic!("not a refusal: {outcome:?}"))
}

#[test]
fn calls_arriving_out_of_order_run_in_order_of_their_numbers() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(3, 0, "third")));
    world.event(0, submit(RUN, model_call(2, 0, "second")));
    assert!(world.take_dispatches(0).is_empty());
    world.event(0, submit(RUN, model_call(1, 0, "first")));
    for number in 1..=3 {
        let dispatches = world.take_dispatches(0);
        let [(id, _, _)] = dispatches.as_slice() else {
            panic!("one dispatch expected: {dispatches:?}");
        };
        assert_eq!(id.number, CallNumber(number));
        finish(&mut world, number, "ok");
    }
}

#[test]
fn call_is_refused_if_its_predecessor_does_not_arrive() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(2, 0, "second")));
    world.advance_time(Duration::from_secs(4));
    assert!(world.take_outcomes(0).is_empty());
    world.advance_time(Duration::from_secs(2));
    assert_eq!(only_refusal(&mut world), RefusalReason::EarlierCallMissing);
}

#[test]
fn abandoned_call_numbers_are_skipped() {
    let mut world = started();
    let mut third = submit(RUN, model_call(3, 0, "third"));
    if let Event::SubmitCall(SubmittedCall {
        abandoned_before, ..
    }) = &mut third
    {
        *abandoned_before = 1;
    }
    world.event(0, third.clone());
    assert!(
        world.take_dispatches(0).is_empty(),
        "call 1 has not arrived"
    );
    world.event(0, submit(RUN, model_call(1, 0, "first")));
    finish(&mut world, 1, "ok");
    world.take_effects(0);
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    assert_eq!(view.calls.len(), 2, "call 2 is skipped");
    finish(&mut world, 3, "ok");
    world.take_effects(0);
    world.event(0, submit(RUN, model_call(2, 0, "late")));
    assert_eq!(only_refusal(&mut world), RefusalReason::CallNumberReused);
    world.event(0, third);
    let outcomes = world.take_outcomes(0);
    assert!(matches!(outcomes.as_slice(), [(_, Outcome::Completed(_))]));
}

#[test]
fn number_of_waiting_calls_is_bounded() {
    let mut world = started();
    for number in 2..=33 {
        world.event(0, submit(RUN, model_call(number, 0, "early")));
    }
    assert!(world.take_outcomes(0).is_empty());
    world.event(0, submit(RUN, model_call(34, 0, "one too many")));
    assert_eq!(only_refusal(&mut world), RefusalReason::Overloaded);
}

#[test]
fn resubmitted_call_gets_the_first_outcome_without_running_again() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    world.take_dispatches(0);
    world.event(
        0,
        submit_on(2, RUN, model_call(1, 0, "hello"), Delivered::default()),
    );
    finish(&mut world, 1, "hi");
    assert_eq!(world.take_outcomes(0).len(), 2, "both callers are answered");
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    let outcomes = world.take_outcomes(0);
    assert!(
        matches!(outcomes.as_slice(), [(_, Outcome::Completed(answer))] if answer.content == "hi")
    );
    assert!(world.take_dispatches(0).is_empty());
}

#[test]
fn reconnecting_caller_gets_the_missing_chunks() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    let id = call(RUN, 1);
    world.place(0, id, 1, "engine-a");
    for (index, text) in ["a", "b", "c"].into_iter().enumerate() {
        world.chunk(0, id, 1, index as u32, text);
    }
    world.event(0, Event::ConnectionClosed { connection: 1 });
    world.take_effects(0);
    let delivered = Delivered {
        attempt: Some(elderworks_types::Attempt(1)),
        chunks: 1,
        text: "a".to_owned(),
    };
    world.event(0, submit_on(2, RUN, model_call(1, 0, "hello"), delivered));
    world.chunk(0, id, 1, 3, "d");
    let indexes: Vec<u32> = world
        .take_messages(0)
        .iter()
        .filter_map(|message| match message {
            NodeMessage::Chunk(chunk) => Some(chunk.index),
            _ => None,
        })
        .collect();
    assert_eq!(indexes, [1, 2, 3]);
}

/// Returns `(call, run, expected reason of the refusal)` for calls submitted after call 1 has
/// completed.
fn refused_calls() -> Vec<(CallSpec, RunId, RefusalReason)> {
    let late = CallSpec {
        deadline: Some(elderworks_types::Timestamp(1)),
        ..model_call(2, 2, "late")
    };
    let long = "x".repeat(50_000);
    vec![
        (
            model_call(1, 0, "other"),
            RUN,
            RefusalReason::CallNumberReused,
        ),
        (
            model_call(0, 0, "zero"),
            RUN,
            RefusalReason::CallNumberReused,
        ),
        (late, RUN, RefusalReason::DeadlinePassed),
        (model_call(2, 9, "x"), RUN, RefusalReason::HistoryMissing),
        (model_call(2, 2, &long), RUN, RefusalReason::RunLimitReached),
        (
            model_call(1, 0, "x"),
            RunId::root(99),
            RefusalReason::RunNotFound,
        ),
    ]
}

#[test]
fn calls_that_cannot_run_are_refused_with_their_reason() {
    for (spec, run, expected) in refused_calls() {
        let mut world = started();
        world.event(0, submit(RUN, model_call(1, 0, "hello")));
        finish(&mut world, 1, "hi");
        world.take_effects(0);
        world.event(0, submit(run, spec.clone()));
        assert_eq!(only_refusal(&mut world), expected, "{spec:?}");
        assert!(world.take_dispatches(0).is_empty());
    }
}

#[test]
fn another_tenants_run_is_not_found() {
    let mut world = started();
    let mut event = submit(RUN, model_call(1, 0, "hello"));
    if let Event::SubmitCall(SubmittedCall { tenant, .. }) = &mut event {
        *tenant = TenantId::new("someone-else");
    }
    world.event(0, event);
    assert_eq!(only_refusal(&mut world), RefusalReason::RunNotFound);
    let read = Event::ReadRun {
        connection: 1,
        query: 5,
        tenant: TenantId::new("someone-else"),
        run: RUN,
    };
    world.event(0, read);
    let nothing = NodeMessage::RunView {
        query: 5,
        view: None,
    };
    assert_eq!(world.take_messages(0), [nothing]);
}

#[test]
fn prompt_starts_with_the_requested_prefix_of_the_history() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "one")));
    finish(&mut world, 1, "answer one");
    world.event(0, submit(RUN, model_call(2, 2, "two")));
    finish(&mut world, 2, "answer two");
    world.take_effects(0);
    // The caller replaces its second message: the prompt keeps only the first exchange.
    world.event(0, submit(RUN, model_call(3, 2, "two, put otherwise")));
    let dispatches = world.take_dispatches(0);
    let [(_, _, BackendRequest::Model { messages, .. })] = dispatches.as_slice() else {
        panic!("one dispatch expected: {dispatches:?}");
    };
    let expected = [
        Message::new(Role::User, "one"),
        Message::new(Role::Assistant, "answer one"),
        Message::new(Role::User, "two, put otherwise"),
    ];
    assert_eq!(messages.as_slice(), expected);
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    assert_eq!(
        view.history.len(),
        5,
        "messages removed from the prompt can still be read"
    );
}

#[test]
fn refused_call_changes_neither_number_nor_history() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "one")));
    let refused = Event::AttemptRefused {
        call: call(RUN, 1),
        attempt: elderworks_types::Attempt(1),
        refusal: elderworks_types::Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: Some(Duration::from_secs(1)),
        },
    };
    world.event(0, refused);
    assert_eq!(only_refusal(&mut world), RefusalReason::Overloaded);
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    assert!(view.history.is_empty() && view.calls.is_empty());
    assert_eq!((view.spent.0, view.reserved.0), (0, 0));
    world.take_effects(0);
    world.event(0, submit(RUN, model_call(1, 0, "one, again")));
    assert_eq!(world.take_dispatches(0).len(), 1);
}

#[test]
fn run_ends_at_its_turn_limit() {
    let mut world = started();
    for number in 1..=10 {
        world.event(0, submit(RUN, model_call(number, 0, "again")));
        finish(&mut world, number, "ok");
    }
    world.take_effects(0);
    world.event(0, submit(RUN, model_call(11, 0, "again")));
    assert_eq!(only_refusal(&mut world), RefusalReason::RunLimitReached);
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    assert_eq!(view.phase, RunPhase::LimitReached);
}

#[test]
fn run_past_its_max_duration_ends_with_its_sub_agents_after_a_takeover() {
    let mut world = started();
    let child = RUN.child(1);
    let mut spec = run_spec(child, 100);
    spec.parent = Some(RUN);
    world.event(0, start_with(spec, limits()));
    world.event(0, submit(child, model_call(1, 0, "loop")));
    world.place(0, call(child, 1), 1, "engine-a");
    world.nodes[0].paused = true;
    world.take_over(1);
    world.advance_time(Duration::from_secs(601));
    for (run, phase) in [(RUN, RunPhase::LimitReached), (child, RunPhase::Cancelled)] {
        let view = world.nodes[1].partition.view(run).expect("the run");
        assert_eq!(view.phase, phase, "{run}");
    }
}
