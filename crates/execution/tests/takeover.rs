//! Tests of open calls after the owner was lost, paused or released the partition.

mod common;

use std::time::Duration;

use common::build::*;
use common::{Node, World};
use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{BackendRequest, Effect, Event};
use elderworks_protocol::sidecar::{Delivered, NodeMessage};
use elderworks_types::{Attempt, CallId, CallSpec, Outcome, UnknownReason};

/// How far the first owner had processed the call before it was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Progress {
    Accepted,
    Placed,
    Streaming,
}

fn world_with(spec: CallSpec, progress: Progress) -> (World, CallId) {
    let mut world = World::owned();
    world.event(0, start(RUN, 1_000));
    let id = call(RUN, spec.number.0);
    world.event(0, submit(RUN, spec));
    if progress != Progress::Accepted {
        world.place(0, id, 1, "engine-a");
    }
    if progress == Progress::Streaming {
        world.chunk(0, id, 1, 0, "one ");
        world.chunk(0, id, 1, 1, "two ");
    }
    (world, id)
}

fn effects_after_takeover(world: &mut World) -> Vec<Effect> {
    world.nodes[0].paused = true;
    world.take_over(1);
    world.take_effects(1)
}

#[test]
fn a_stream_on_an_engine_is_resumed_not_recomputed() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Streaming);
    let effects = effects_after_takeover(&mut world);
    let resume = Effect::Resume {
        call: id,
        attempt: Attempt(1),
        engine: "engine-a".into(),
        from_chunk: 0,
    };
    assert!(effects.contains(&resume), "{effects:?}");

    let delivered = Delivered {
        attempt: Some(Attempt(1)),
        chunks: 2,
        text: "one two ".to_owned(),
    };
    world.event(1, submit_on(9, RUN, model_call(1, 0, "hello"), delivered));
    for (index, text) in ["one ", "two ", "three"].into_iter().enumerate() {
        world.chunk(1, id, 1, index as u32, text);
    }
    world.complete(1, id, 1, "one two three");
    let messages = world.take_messages(1);
    let [
        NodeMessage::Chunk(chunk),
        NodeMessage::CallEnded { outcome, .. },
    ] = messages.as_slice()
    else {
        panic!("one chunk and the end expected: {messages:?}");
    };
    assert_eq!((chunk.index, chunk.text.as_str()), (2, "three"));
    assert!(matches!(outcome, Outcome::Completed(answer) if answer.content == "one two three"));
}

#[test]
fn unresumable_answer_is_continued_from_the_callers_part() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Streaming);
    effects_after_takeover(&mut world);
    world.fail(1, id, 1, AttemptFailure::NotSent);
    assert!(
        world.take_dispatches(1).is_empty(),
        "the call waits for its caller"
    );
    let delivered = Delivered {
        attempt: Some(Attempt(1)),
        chunks: 2,
        text: "one two ".to_owned(),
    };
    world.event(1, submit_on(9, RUN, model_call(1, 0, "hello"), delivered));
    let dispatches = world.take_dispatches(1);
    let [(_, Attempt(2), request)] = dispatches.as_slice() else {
        panic!("a second attempt expected: {dispatches:?}");
    };
    let BackendRequest::Model {
        continue_text,
        continue_chunks,
        ..
    } = request
    else {
        panic!("not a model request");
    };
    assert_eq!((continue_text.as_str(), *continue_chunks), ("one two ", 2));
    world.place(1, id, 2, "engine-b");
    world.chunk(1, id, 2, 2, "three");
    world.complete(1, id, 2, "three");
    let outcomes = world.take_outcomes(1);
    assert!(
        matches!(outcomes.as_slice(), [(_, Outcome::Completed(answer))]
            if answer.content == "one two three"),
        "{outcomes:?}"
    );
}

#[test]
fn repeatable_call_that_may_have_been_sent_is_charged_before_the_retry() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Accepted);
    let before = world.nodes[0]
        .partition
        .view(RUN)
        .expect("the run")
        .reserved;
    world.nodes[0].paused = true;
    world.take_over(1);
    let dispatches = world.take_dispatches(1);
    assert!(matches!(dispatches.as_slice(), [(sent, Attempt(2), _)] if *sent == id));
    let view = world.nodes[1].partition.view(RUN).expect("the run");
    assert!(view.reserved.0 >= 2 * before.0, "both attempts are covered");
}

#[test]
fn unrepeatable_call_is_never_sent_twice() {
    let failures = [
        AttemptFailure::NotSent,
        AttemptFailure::Rejected { retry_after: None },
        lost_failure(),
    ];
    for failure in failures {
        let (mut world, id) = world_with(tool_call(1), Progress::Accepted);
        assert_eq!(world.take_dispatches(0).len(), 1);
        let effects = effects_after_takeover(&mut world);
        let queried = effects
            .iter()
            .any(|effect| matches!(effect, Effect::QueryTool { call, .. } if *call == id));
        assert!(queried, "{effects:?}");
        world.event(1, submit_on(9, RUN, tool_call(1), Delivered::default()));
        world.fail(1, id, 1, failure);
        let expected = Outcome::Unknown(UnknownReason::OwnerLost);
        assert_eq!(world.take_outcomes(1), [(id, expected)]);
        world.advance_time(Duration::from_secs(60));
        assert!(world.take_dispatches(1).is_empty());
    }
}

#[test]
fn tool_query_returns_the_result_after_a_takeover() {
    let (mut world, id) = world_with(tool_call(1), Progress::Accepted);
    effects_after_takeover(&mut world);
    world.event(1, submit_on(9, RUN, tool_call(1), Delivered::default()));
    world.complete(1, id, 1, "declared");
    let outcomes = world.take_outcomes(1);
    assert!(
        matches!(outcomes.as_slice(), [(_, Outcome::Completed(answer))]
            if answer.content == "declared")
    );
}

#[test]
fn new_owner_sends_a_call_whose_start_was_not_journalled() {
    let mut world = World::owned();
    world.event(0, start(RUN, 1_000));
    world.log_up = false;
    world.event(0, submit(RUN, tool_call(1)));
    world.log_up = true;
    world.flush();
    world.nodes[0].paused = true;
    world.settle();
    world.take_over(1);
    assert_eq!(
        world.take_dispatches(1).len(),
        1,
        "the call was accepted, but its start was not journalled"
    );
    world.nodes[0].paused = false;
    world.settle();
    assert!(
        world.take_dispatches(0).is_empty(),
        "the old owner is fenced"
    );
}

#[test]
fn resumed_owner_is_fenced() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Placed);
    world.take_effects(0);
    effects_after_takeover(&mut world);
    let late = Event::AttemptCompleted {
        call: id,
        attempt: Attempt(1),
        content: "too late".to_owned(),
        usage: Default::default(),
    };
    world.feed(0, late);
    world.nodes[0].paused = false;
    world.settle();
    let effects = world.take_effects(0);
    let ownership_lost = Effect::OwnershipChanged { owned: None };
    let call_moved = Effect::Send {
        connection: 1,
        message: NodeMessage::CallMoved { call: id },
    };
    assert_eq!(effects, [ownership_lost, call_moved]);
    assert_eq!(world.digests()[0], world.digests()[1]);
    assert!(
        world.nodes[1].partition.view(RUN).expect("the run").calls[0]
            .outcome
            .is_none()
    );
}

/// Guards against stale reads: an owner that was paused during a takeover must not answer a read
/// from its outdated state.
#[test]
fn resumed_owner_does_not_answer_reads_from_stale_state() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Placed);
    effects_after_takeover(&mut world);
    world.complete(1, id, 1, "answered elsewhere");
    world.take_effects(0);
    let read = Event::ReadRun {
        connection: 1,
        query: 5,
        tenant: tenant(),
        run: RUN,
    };
    world.feed(0, read.clone());
    assert!(
        world.take_effects(0).is_empty(),
        "the read waits for a barrier"
    );
    world.nodes[0].paused = false;
    world.settle();
    let messages = world.take_messages(0);
    let viewed = messages
        .iter()
        .any(|message| matches!(message, NodeMessage::RunView { .. }));
    assert!(!viewed, "{messages:?}");
    world.event(1, read);
    let messages = world.take_messages(1);
    let Some(NodeMessage::RunView {
        view: Some(view), ..
    }) = messages.last()
    else {
        panic!("no view: {messages:?}");
    };
    assert!(view.calls[0].outcome.is_some());
}

#[test]
fn first_of_concurrent_claims_wins_on_every_node() {
    let mut world = World::new(3);
    for node in 0..3 {
        world.feed(node, Event::Claim { forced: true });
    }
    world.settle();
    let owners = |world: &World| -> Vec<Node> {
        (0..3)
            .filter(|node| world.nodes[*node].partition.owned_epoch().is_some())
            .collect()
    };
    assert_eq!(owners(&world), [0]);
    world.restart(0);
    assert!(
        owners(&world).is_empty(),
        "a restarted node is another writer"
    );
}

#[test]
fn release_waits_only_for_calls_that_cannot_be_resumed() {
    let (mut world, id) = world_with(tool_call(1), Progress::Accepted);
    world.event(1, Event::Claim { forced: false });
    world.event(0, Event::Release);
    assert!(
        world.nodes[0].partition.owned_epoch().is_some(),
        "a tool call is running"
    );
    world.complete(0, id, 1, "declared");
    world.advance_time(Duration::from_millis(100));
    assert!(world.nodes[0].partition.owned_epoch().is_none());
    assert!(world.nodes[1].partition.owned_epoch().is_some());

    let (mut world, _) = world_with(model_call(1, 0, "hello"), Progress::Streaming);
    world.event(1, Event::Claim { forced: false });
    world.event(0, Event::Release);
    world.advance_time(Duration::from_millis(100));
    assert!(world.nodes[1].partition.owned_epoch().is_some());
    let effects = world.take_effects(1);
    let resumed = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Resume { .. }));
    assert!(resumed, "{effects:?}");
}

#[test]
fn unsent_call_is_sent_and_charged_once_after_a_release() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Accepted);
    world.event(1, Event::Claim { forced: false });
    world.event(0, Event::Release);
    let cancel = Effect::Cancel {
        call: id,
        attempt: Attempt(1),
    };
    assert!(world.take_effects(0).contains(&cancel));
    world.advance_time(Duration::from_millis(100));
    let dispatches = world.take_dispatches(1);
    assert!(matches!(dispatches.as_slice(), [(_, Attempt(1), _)]));
}

#[test]
fn attempt_sent_during_a_release_is_resumed_by_the_next_owner() {
    let (mut world, id) = world_with(model_call(1, 0, "hello"), Progress::Accepted);
    world.event(1, Event::Claim { forced: false });
    world.event(0, Event::Release);
    world.place(0, id, 1, "engine-a");
    world.advance_time(Duration::from_millis(100));
    assert!(world.nodes[1].partition.owned_epoch().is_some());
    let effects = world.take_effects(1);
    let resumed = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Resume { .. }));
    assert!(resumed, "{effects:?}");
}

#[test]
fn unsent_unrepeatable_call_is_sent_by_the_next_owner() {
    let spec = CallSpec {
        repeatable: false,
        ..model_call(1, 0, "hello")
    };
    let (mut world, id) = world_with(spec, Progress::Accepted);
    world.event(1, Event::Claim { forced: false });
    world.event(0, Event::Release);
    world.advance_time(Duration::from_millis(100));
    let dispatches = world.take_dispatches(1);
    assert!(matches!(dispatches.as_slice(), [(sent, Attempt(1), _)] if *sent == id));
}

#[test]
fn cancelled_release_dispatches_withdrawn_attempts_again() {
    let (mut world, _) = world_with(model_call(1, 0, "hello"), Progress::Accepted);
    world.take_dispatches(0);
    world.event(0, Event::Release);
    world.event(0, Event::Claim { forced: true });
    world.advance_time(Duration::from_secs(1));
    assert_eq!(world.take_dispatches(0).len(), 1);
    assert!(world.nodes[0].partition.owned_epoch().is_some());
}

/// Guards against a node that follows a partition again and, on reading its own earlier claim,
/// treats itself as the owner before it has read the rest of the stream.
#[test]
fn rereading_an_old_claim_does_not_make_an_owner() {
    let (mut world, _) = world_with(model_call(1, 0, "hello"), Progress::Streaming);
    world.take_over(1);
    world.take_effects(0);
    world.reopen(0);
    assert_eq!(world.nodes[0].partition.owned_epoch(), None);
    let effects = world.take_effects(0);
    assert!(effects.is_empty(), "{effects:?}");

    world.take_over(0);
    assert!(world.nodes[0].partition.owned_epoch().is_some());
    assert_eq!(world.nodes[1].partition.owned_epoch(), None);
}
