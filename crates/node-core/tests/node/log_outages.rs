//! Requests of sidecars while the log does not answer.

use std::time::Duration;

use elderworks_node_core::core::TICK_INTERVAL;
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::{CallId, CallNumber, Outcome, PartitionId, RefusalReason, RunId};

use crate::fixtures::{program, run_in, start_run, tool_call, tool_service};
use crate::world::{PARTITIONS, SIDECAR, World};

/// Length of a pause that makes a node doubt that it has read its streams to their ends.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Time within which a node detects that the log doesn't answer a partition in use.
const DETECTION_TIME: Duration = Duration::from_secs(5);

/// Time within which a node detects that the log doesn't answer an append.
const APPEND_DETECTION_TIME: Duration = Duration::from_millis(3_200);

/// Time without use after which a partition is read rarely.
const IDLE_TIME: Duration = Duration::from_secs(12);

/// Returns nodes that own all partitions and know a program with a tool.
fn world(nodes: usize) -> World {
    let mut world = World::new(nodes);
    world.run_until("every partition has one owner", |world| {
        world.settled() && (0..nodes).all(|index| !world.owned(index).is_empty())
    });
    for resource in [tool_service(), program(&["tool"], false)] {
        let replies = world.node(0).replies.len();
        world.apply(0, resource);
        world.run_until("the change is in force", |world| {
            world.node(0).replies.len() > replies
        });
    }
    world.advance(Duration::from_secs(1));
    world
}

/// Starts a run in a partition that the node owns.
fn start(world: &mut World, index: usize, partition: PartitionId) -> RunId {
    let run = run_in(partition);
    world.send(index, start_run(run));
    world.run_until("the run is started", |world| {
        let started = NodeMessage::RunStarted { run };
        world.node(index).sent.contains(&(SIDECAR, started))
    });
    run
}

fn pause(world: &mut World, index: usize) {
    world.node(index).paused = true;
    world.advance(PAUSE);
    world.resume(index);
}

/// Sends a request and returns the reason for which the node refuses it within `time`, if it does.
fn refusal(
    world: &mut World,
    index: usize,
    request: SidecarMessage,
    time: Duration,
) -> Option<RefusalReason> {
    world.node(index).sent.clear();
    world.send(index, request);
    world.advance(time);
    let sent = std::mem::take(&mut world.node(index).sent);
    sent.into_iter().find_map(|(_, message)| match message {
        NodeMessage::RunRefused { refusal, .. } => Some(refusal.reason),
        NodeMessage::CallEnded {
            outcome: Outcome::Refused(refusal),
            ..
        } => Some(refusal.reason),
        _ => None,
    })
}

fn is_completed(world: &mut World, index: usize, run: RunId) -> bool {
    let id = CallId {
        run,
        number: CallNumber(1),
    };
    let mut sent = world.node(index).sent.iter();
    sent.any(|(_, message)| {
        matches!(message, NodeMessage::CallEnded { call, outcome: Outcome::Completed(_), .. } if *call == id)
    })
}

/// Guards against calls and starts that go round between nodes until the log is back because their
/// owner was paused during the outage.
#[test]
fn an_owner_paused_during_an_outage_refuses_at_once() {
    let mut world = world(1);
    let run = start(&mut world, 0, PartitionId(0));
    world.log_up = false;
    world.advance(DETECTION_TIME);
    pause(&mut world, 0);
    let unavailable = Some(RefusalReason::LogUnavailable);
    let call = refusal(&mut world, 0, tool_call(run, 1, false), TICK_INTERVAL);
    assert_eq!(call, unavailable);
    let other = start_run(run_in(PartitionId(1)));
    assert_eq!(refusal(&mut world, 0, other, TICK_INTERVAL), unavailable);

    world.log_up = true;
    world.advance(DETECTION_TIME);
    world.send(0, tool_call(run, 1, false));
    world.run_until("the call completes", |world| is_completed(world, 0, run));
}

/// The same for an owner that resumes before it has detected the outage.
#[test]
fn an_owner_paused_as_an_outage_begins_refuses_once_it_detects_the_outage() {
    let mut world = world(1);
    let run = start(&mut world, 0, PartitionId(0));
    world.node(0).paused = true;
    world.log_up = false;
    world.advance(PAUSE);
    world.resume(0);
    let call = refusal(&mut world, 0, tool_call(run, 1, false), DETECTION_TIME);
    assert_eq!(call, Some(RefusalReason::LogUnavailable));
}

/// Guards against a call that is accepted by a partition that is rarely read, and then waits for the
/// end of an outage that its node knows of.
#[test]
fn an_idle_partition_refuses_once_its_node_has_detected_the_outage() {
    let mut world = world(1);
    let runs: Vec<RunId> = (0..PARTITIONS)
        .map(|partition| start(&mut world, 0, PartitionId(partition)))
        .collect();
    world.advance(IDLE_TIME);
    // A call keeps the first partition in use.
    world.send(0, tool_call(runs[0], 1, false));
    world.run_until("the call completes", |world| {
        is_completed(world, 0, runs[0])
    });
    world.log_up = false;
    world.send(0, tool_call(runs[0], 2, false));
    world.advance(APPEND_DETECTION_TIME);
    let unavailable = Some(RefusalReason::LogUnavailable);
    let call = refusal(&mut world, 0, tool_call(runs[0], 3, false), TICK_INTERVAL);
    assert_eq!(call, unavailable);
    for run in &runs[1..] {
        let call = refusal(&mut world, 0, tool_call(*run, 1, false), TICK_INTERVAL);
        assert_eq!(call, unavailable, "{run}");
    }
}

/// Guards against requests that are held for a takeover that needs the log.
#[test]
fn a_node_refuses_requests_for_partitions_that_it_cannot_take_over() {
    let mut world = world(2);
    let partition = *world.owned(0).first().expect("the node owns partitions");
    let run = start(&mut world, 0, partition);
    world.log_up = false;
    world.kill(0);
    world.advance(DETECTION_TIME * 2);
    let unavailable = Some(RefusalReason::LogUnavailable);
    let call = refusal(&mut world, 1, tool_call(run, 1, false), TICK_INTERVAL);
    assert_eq!(call, unavailable);
    let start = refusal(&mut world, 1, start_run(run), TICK_INTERVAL);
    assert_eq!(start, unavailable);
}

/// Guards against a late event loop that is taken for a silent log.
#[test]
fn an_owner_paused_for_long_serves_calls_while_the_log_answers() {
    let mut world = world(1);
    let run = start(&mut world, 0, PartitionId(0));
    world.node(0).paused = true;
    world.advance(DETECTION_TIME * 3);
    world.resume(0);
    world.send(0, tool_call(run, 1, false));
    world.run_until("the call ends", |world| {
        let sent = &world.node(0).sent;
        let is_end = |message: &NodeMessage| matches!(message, NodeMessage::CallEnded { .. });
        sent.iter().any(|(_, message)| is_end(message))
    });
    assert!(is_completed(&mut world, 0, run));
}
