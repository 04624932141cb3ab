//! Tests of failed attempts, hung back ends, and outages of the log and of engines.

mod common;

use std::time::Duration;

use common::World;
use common::build::*;
use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{Effect, Event, ExecutionSettings};
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Attempt, CallSpec, FailureReason, Outcome, RefusalReason, RunId, UnknownReason, Usage,
};

fn started() -> World {
    let mut world = World::owned();
    world.event(0, start(RUN, 100_000));
    world.take_effects(0);
    world
}

fn rejected() -> AttemptFailure {
    AttemptFailure::Rejected { retry_after: None }
}

fn errored() -> AttemptFailure {
    AttemptFailure::Errored {
        detail: "broken".to_owned(),
        usage: Usage::default(),
    }
}

/// Kind of an outcome other than a completion, for use in tables.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndKind {
    Refused(RefusalReason),
    Failed(FailureReason),
    Unknown(UnknownReason),
}

fn end_kind(outcome: &Outcome) -> Option<EndKind> {
    match outcome {
        Outcome::Completed(_) => None,
        Outcome::Refused(refusal) => Some(EndKind::Refused(refusal.reason)),
        Outcome::Failed(failure) => Some(EndKind::Failed(failure.reason)),
        Outcome::Unknown(reason) => Some(EndKind::Unknown(*reason)),
    }
}

/// Fails every attempt of a call with `failure`. Returns the number of attempts and how the call
/// ended.
fn fail_always(spec: CallSpec, failure: &AttemptFailure) -> (u32, Option<EndKind>) {
    let settings = ExecutionSettings {
        retry_burst: 10,
        ..ExecutionSettings::default()
    };
    let mut world = World::owned_with(settings);
    world.event(0, start(RUN, 100_000));
    world.event(0, submit(RUN, spec));
    let mut attempts = 0;
    for _ in 0..20 {
        for (id, attempt, _) in world.take_dispatches(0) {
            attempts += 1;
            if spec_is_model(&world) {
                world.place(0, id, attempt.0, "engine-a");
            }
            world.fail(0, id, attempt.0, failure.clone());
            let queried = world
                .take_effects(0)
                .iter()
                .any(|effect| matches!(effect, Effect::QueryTool { .. }));
            if queried {
                world.fail(0, id, attempt.0, AttemptFailure::NotSent);
            }
        }
        world.advance_time(Duration::from_secs(1));
    }
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    let outcome = view.calls.last().and_then(|call| call.outcome.clone());
    let counters = world.nodes[0].partition.counters();
    let refused = counters.calls_refused > 0;
    let unanswered = refused.then_some(EndKind::Refused(RefusalReason::Overloaded));
    (attempts, outcome.as_ref().and_then(end_kind).or(unanswered))
}

fn spec_is_model(world: &World) -> bool {
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    view.calls.last().is_some_and(|call| call.spec.repeatable)
}

/// Returns `(call, failure of each attempt, expected attempts, expected end)`.
fn failure_table() -> Vec<(CallSpec, AttemptFailure, u32, EndKind)> {
    let model = || model_call(1, 0, "x");
    let refused = EndKind::Refused(RefusalReason::Overloaded);
    let exhausted = EndKind::Failed(FailureReason::AttemptsExhausted);
    let error = EndKind::Failed(FailureReason::BackendError);
    let unknown = EndKind::Unknown(UnknownReason::ConnectionLost);
    vec![
        (model(), AttemptFailure::NotSent, 4, refused),
        (model(), rejected(), 4, refused),
        (model(), lost_failure(), 4, exhausted),
        (model(), errored(), 1, error),
        (tool_call(1), AttemptFailure::NotSent, 4, refused),
        (tool_call(1), rejected(), 4, refused),
        (tool_call(1), lost_failure(), 1, unknown),
        (tool_call(1), errored(), 1, error),
    ]
}

#[test]
fn attempts_are_retried_only_if_that_is_safe() {
    for (spec, failure, attempts, end) in failure_table() {
        let seen = fail_always(spec.clone(), &failure);
        let repeatable = spec.repeatable;
        assert_eq!(seen, (attempts, Some(end)), "{repeatable} {failure:?}");
    }
}

#[test]
fn engine_outage_does_not_cause_a_retry_storm() {
    const RUNS: u64 = 200;
    let mut world = World::owned();
    for run in 0..RUNS {
        world.event(0, start(RunId::root(run), 10_000));
    }
    let mut attempts = 0;
    for run in 0..RUNS {
        world.event(0, submit(RunId::root(run), model_call(1, 0, "x")));
    }
    for _ in 0..60 {
        for (id, attempt, _) in world.take_dispatches(0) {
            attempts += 1;
            world.place(0, id, attempt.0, "engine-a");
            world.fail(0, id, attempt.0, lost_failure());
        }
        world.advance_time(Duration::from_secs(1));
    }
    let burst = u64::from(ExecutionSettings::default().retry_burst);
    assert!(attempts <= RUNS + RUNS / 10 + burst, "{attempts} attempts");
    assert_eq!(world.nodes[0].partition.counters().calls_failed, RUNS);
}

#[test]
fn hung_tool_is_queried_once_before_giving_up() {
    let mut world = started();
    world.event(0, submit(RUN, tool_call(1)));
    world.advance_time(Duration::from_secs(32));
    let queries = world
        .take_effects(0)
        .iter()
        .filter(|effect| matches!(effect, Effect::QueryTool { .. }))
        .count();
    assert_eq!(queries, 1);
    world.advance_time(Duration::from_secs(32));
    let outcomes = world.take_outcomes(0);
    let [(_, outcome)] = outcomes.as_slice() else {
        panic!("one outcome expected: {outcomes:?}");
    };
    assert!(matches!(end_kind(outcome), Some(EndKind::Unknown(_))));
}

#[test]
fn interrupted_stream_is_continued_after_the_delivered_part() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    let id = call(RUN, 1);
    world.place(0, id, 1, "engine-a");
    world.chunk(0, id, 1, 0, "one ");
    world.fail(0, id, 1, lost_failure());
    world.advance_time(Duration::from_secs(1));
    world.place(0, id, 2, "engine-b");
    world.chunk(0, id, 2, 1, "two");
    world.complete(0, id, 2, "two");
    let messages = world.take_messages(0);
    let numbers: Vec<(Attempt, u32)> = messages
        .iter()
        .filter_map(|message| match message {
            NodeMessage::Chunk(chunk) => Some((chunk.attempt, chunk.index)),
            _ => None,
        })
        .collect();
    assert_eq!(numbers, [(Attempt(1), 0), (Attempt(2), 1)]);
    let Some(NodeMessage::CallEnded {
        chunks: 2,
        outcome: Outcome::Completed(answer),
        ..
    }) = messages.last()
    else {
        panic!("not completed: {messages:?}");
    };
    assert_eq!(answer.content, "one two");
}

fn log_reachable(world: &mut World, reachable: bool) {
    world.log_up = reachable;
    world.event(0, Event::LogReachable(reachable));
}

#[test]
fn while_the_log_is_down_streams_finish_and_new_calls_are_refused() {
    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    let id = call(RUN, 1);
    world.place(0, id, 1, "engine-a");
    world.chunk(0, id, 1, 0, "half ");
    world.event(0, submit(RUN, model_call(2, 0, "waits")));
    world.take_effects(0);

    log_reachable(&mut world, false);
    let outcomes = world.take_outcomes(0);
    assert!(matches!(outcomes.as_slice(), [(waiting, outcome)]
        if waiting.number.0 == 2
            && end_kind(outcome) == Some(EndKind::Refused(RefusalReason::LogUnavailable))));
    world.chunk(0, id, 1, 1, "whole");
    assert!(matches!(
        world.take_messages(0).as_slice(),
        [NodeMessage::Chunk(_)]
    ));
    world.complete(0, id, 1, "half whole");
    world.advance_time(Duration::from_secs(3_600 / 12));
    assert!(
        world.take_outcomes(0).is_empty(),
        "the outcome is not journalled yet"
    );

    log_reachable(&mut world, true);
    let outcomes = world.take_outcomes(0);
    assert!(matches!(outcomes.as_slice(), [(ended, Outcome::Completed(_))] if *ended == id));
}

#[test]
fn releasing_owner_refuses_new_work_while_the_log_is_unreachable() {
    let mut world = started();
    log_reachable(&mut world, false);
    world.event(0, Event::Release);
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    let outcomes = world.take_outcomes(0);
    assert!(matches!(outcomes.as_slice(), [(_, outcome)]
        if end_kind(outcome) == Some(EndKind::Refused(RefusalReason::LogUnavailable))));
    world.event(0, start(RunId::root(8), 100));
    let messages = world.take_messages(0);
    assert!(
        matches!(messages.as_slice(), [NodeMessage::RunRefused { refusal, .. }]
            if refusal.reason == RefusalReason::LogUnavailable),
        "{messages:?}"
    );
    log_reachable(&mut world, true);
    world.advance_time(Duration::from_millis(100));
    assert!(
        world.nodes[0].partition.owned_epoch().is_none(),
        "the partition is released"
    );
}

#[test]
fn call_accepted_late_because_of_an_outage_is_refused() {
    for spec in [tool_call(1), model_call(1, 0, "x")] {
        let mut world = started();
        world.log_up = false;
        world.event(0, submit(RUN, spec));
        log_reachable(&mut world, false);
        world.advance_time(Duration::from_secs(60));
        assert!(
            world.take_outcomes(0).is_empty(),
            "the acceptance may be in the log"
        );
        log_reachable(&mut world, true);
        let outcomes = world.take_outcomes(0);
        assert!(matches!(outcomes.as_slice(), [(_, outcome)]
            if end_kind(outcome) == Some(EndKind::Refused(RefusalReason::LogUnavailable))));
        assert!(world.take_dispatches(0).is_empty());
        let view = world.nodes[0].partition.view(RUN).expect("the run");
        assert_eq!((view.spent.0, view.reserved.0), (0, 0));
    }
}

#[test]
fn number_of_calls_waiting_for_the_log_is_bounded() {
    let settings = ExecutionSettings {
        max_open_calls: 3,
        ..ExecutionSettings::default()
    };
    let mut world = World::owned_with(settings);
    for run in 0..4 {
        world.event(0, start(RunId::root(run), 1_000));
    }
    world.take_effects(0);
    world.log_up = false;
    for run in 0..4 {
        world.event(0, submit(RunId::root(run), model_call(1, 0, "x")));
    }
    let outcomes = world.take_outcomes(0);
    assert!(matches!(outcomes.as_slice(), [(refused, outcome)]
        if refused.run == RunId::root(3)
            && end_kind(outcome) == Some(EndKind::Refused(RefusalReason::Overloaded))));
    assert_eq!(world.nodes[0].partition.counters().records_in_flight, 3);
}

#[test]
fn ending_a_run_cancels_repeatable_calls_and_waits_for_others() {
    let mut world = started();
    world.event(0, submit(RUN, tool_call(1)));
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: RUN,
    };
    world.take_effects(0);
    world.event(0, end.clone());
    assert!(
        world.take_messages(0).is_empty(),
        "the tool call is running"
    );
    world.complete(0, call(RUN, 1), 1, "declared");
    let messages = world.take_messages(0);
    assert!(matches!(
        messages.as_slice(),
        [
            NodeMessage::CallEnded {
                outcome: Outcome::Completed(_),
                ..
            },
            NodeMessage::RunEnded { .. }
        ]
    ));

    let mut world = started();
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    world.place(0, call(RUN, 1), 1, "engine-a");
    world.take_effects(0);
    world.event(0, end);
    let effects = world.take_effects(0);
    let cancel = Effect::Cancel {
        call: call(RUN, 1),
        attempt: Attempt(1),
    };
    assert!(effects.contains(&cancel));
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    let outcome = view.calls[0].outcome.as_ref();
    let cancelled = Some(EndKind::Failed(FailureReason::Cancelled));
    assert_eq!(outcome.and_then(end_kind), cancelled);
}
