//! Calls, and their handling when the owner of their partition changes.

use elderworks_node_core::Effect;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{CallId, CallNumber, Credits, Outcome, RefusalReason, RunId};

use crate::fixtures::{
    budget, model_call, model_service, program, run_in, start_run, tool_call, tool_service,
};
use crate::world::{BackEnds, World, name};

/// Returns two nodes that own partitions and have applied the resources.
fn world(with_budget: bool) -> World {
    let mut world = World::new(2);
    world.run_until("every partition has one owner", |world| {
        world.settled() && !world.owned(0).is_empty() && !world.owned(1).is_empty()
    });
    let resources = [
        model_service(),
        tool_service(),
        budget(1_000_000),
        program(&["model", "tool"], with_budget),
    ];
    for resource in resources {
        let replies = world.node(0).replies.len();
        world.apply(0, resource);
        world.run_until("the change is in force", |world| {
            world.node(0).replies.len() > replies
        });
    }
    world.advance(std::time::Duration::from_secs(1));
    world
}

/// Starts a run in a partition that the node owns.
fn started(world: &mut World, index: usize) -> RunId {
    let partition = *world
        .owned(index)
        .first()
        .expect("the node owns partitions");
    let run = run_in(partition);
    world.send(index, start_run(run));
    world.run_until("the run is started", |world| {
        let started = NodeMessage::RunStarted { run };
        let mut sent = world.node(index).sent.iter();
        sent.any(|(_, message)| *message == started)
    });
    run
}

fn outcome(world: &mut World, index: usize, call: CallId) -> Option<Outcome> {
    let sent = &world.node(index).sent;
    sent.iter().rev().find_map(|(_, message)| match message {
        NodeMessage::CallEnded {
            call: ended,
            outcome,
            ..
        } if *ended == call => Some(outcome.clone()),
        _ => None,
    })
}

fn wait_for_outcome(world: &mut World, index: usize, run: RunId, number: u32) -> Outcome {
    let call = CallId {
        run,
        number: CallNumber(number),
    };
    world.run_until("the call has ended", |world| {
        outcome(world, index, call).is_some()
    });
    outcome(world, index, call).expect("the call has ended")
}

#[test]
fn model_and_tool_calls_complete_at_either_node_with_and_without_a_tenant_budget() {
    for with_budget in [false, true] {
        for index in [0, 1] {
            let mut world = world(with_budget);
            let run = started(&mut world, index);
            world.send(index, model_call(run, 1));
            let answer = wait_for_outcome(&mut world, index, run, 1);
            assert!(
                matches!(&answer, Outcome::Completed(answer) if answer.content == "answer"),
                "{answer:?}"
            );
            world.send(index, tool_call(run, 2, false));
            let result = wait_for_outcome(&mut world, index, run, 2);
            let cost = Credits(5);
            assert!(
                matches!(&result, Outcome::Completed(answer) if answer.cost == cost),
                "{result:?}"
            );
        }
    }
}

#[test]
fn an_unknown_service_is_refused_as_not_run() {
    let mut world = World::new(1);
    world.run_until("the node owns all partitions", |world| world.settled());
    world.apply(0, program(&[], false));
    let run = started(&mut world, 0);
    world.send(0, tool_call(run, 1, true));
    let refused = wait_for_outcome(&mut world, 0, run, 1);
    assert!(
        matches!(&refused, Outcome::Refused(refusal) if refusal.reason == RefusalReason::UnknownService),
        "{refused:?}"
    );
}

#[test]
fn a_call_that_must_not_repeat_is_sent_at_most_once_when_its_owner_dies() {
    let mut world = world(false);
    let run = started(&mut world, 0);
    world.back_ends = BackEnds::Hang;
    world.send(0, tool_call(run, 1, false));
    world.run_until("the call is sent", |world| invocations(world, 0, run) == 1);
    world.kill(0);
    world.run_until("the other node owns all partitions", |world| {
        world.settled()
    });
    world.back_ends = BackEnds::Answer;
    world.send(1, tool_call(run, 1, false));
    world.advance(std::time::Duration::from_secs(30));
    assert_eq!(
        invocations(&mut world, 1, run),
        0,
        "it must not be sent again"
    );
    let queried =
        world.node(1).effects.iter().any(
            |effect| matches!(effect, Effect::QueryTool { ticket, .. } if ticket.call.run == run),
        );
    assert!(queried, "the tool is queried for the result");
}

#[test]
fn an_owner_paused_before_sending_does_not_send_after_it_resumes() {
    let mut world = world(false);
    let run = started(&mut world, 0);
    world.pause_at_attempt = Some(name(0));
    world.send(0, tool_call(run, 1, false));
    assert!(world.node(0).paused, "the intent is in the log");
    world.run_until("the other node owns all partitions", |world| {
        world.owned(1).len() == 8
    });
    // The first event after the pause is the result of its append.
    world.resume(0);
    world.advance(std::time::Duration::from_secs(5));
    assert_eq!(invocations(&mut world, 0, run), 0);
    assert_eq!(invocations(&mut world, 1, run), 0);
}

fn invocations(world: &mut World, index: usize, run: RunId) -> usize {
    let effects = &world.node(index).effects;
    effects
        .iter()
        .filter(
            |effect| matches!(effect, Effect::InvokeTool { ticket, .. } if ticket.call.run == run),
        )
        .count()
}

#[test]
fn a_model_call_moves_with_its_partition() {
    let mut world = world(false);
    let run = started(&mut world, 0);
    world.back_ends = BackEnds::Hang;
    world.send(0, model_call(run, 1));
    world.run_until("the call is sent", |world| {
        let mut effects = world.node(0).effects.iter();
        effects.any(|effect| matches!(effect, Effect::Generate(_)))
    });
    world.handle(0, elderworks_node_core::Event::Drain);
    world.run_until("the other node owns all partitions", |world| {
        world.nodes.get(&name(0)).is_some_and(|node| node.drained) && world.owned(1).len() == 8
    });
    let resumed = world.node(1).effects.iter().any(
        |effect| matches!(effect, Effect::ResumeStream { ticket, .. } if ticket.call.run == run),
    );
    assert!(resumed, "the new owner resumes the stream");
    let cancelled = world
        .node(0)
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::CancelAttempt { .. }));
    assert!(!cancelled, "the old owner does not cancel it");
}
