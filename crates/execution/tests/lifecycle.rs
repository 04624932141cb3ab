//! Tests of the life cycle of runs and calls without failures.

mod common;

use common::World;
use common::build::*;
use elderworks_execution::{BackendRequest, Effect, Event};
use elderworks_protocol::sidecar::{NodeMessage, answer_digest};
use elderworks_types::{Attempt, Epoch, Outcome, Role, RunPhase};

#[test]
fn claim_takes_effect_when_read_back() {
    let mut world = World::new(1);
    world.event(0, Event::Claim { forced: false });
    let owned = Some(Epoch(1));
    assert_eq!(world.take_effects(0), [Effect::OwnershipChanged { owned }]);
    assert_eq!(world.nodes[0].partition.owned_epoch(), owned);
}

#[test]
fn a_call_runs_from_submission_to_its_whole_answer() {
    let mut world = World::owned();
    world.event(0, start(RUN, 1_000));
    let started = NodeMessage::RunStarted { run: RUN };
    assert_eq!(world.take_messages(0), [started]);

    world.event(0, submit(RUN, model_call(1, 0, "where is the boundary")));
    let dispatches = world.take_dispatches(0);
    let [(id, Attempt(1), BackendRequest::Model { messages, .. })] = dispatches.as_slice() else {
        panic!("one dispatch expected: {dispatches:?}");
    };
    assert_eq!(messages.len(), 1);
    let id = *id;

    world.place(0, id, 1, "engine-a");
    world.chunk(0, id, 1, 0, "at the ");
    world.chunk(0, id, 1, 1, "ditch");
    world.complete(0, id, 1, "at the ditch");
    let messages = world.take_messages(0);
    let texts: Vec<&str> = messages.iter().filter_map(chunk_text).collect();
    assert_eq!(texts, ["at the ", "ditch"]);
    let Some(NodeMessage::CallEnded {
        chunks,
        digest,
        outcome: Outcome::Completed(answer),
        ..
    }) = messages.last()
    else {
        panic!("no completed end: {messages:?}");
    };
    assert_eq!(*chunks, 2);
    assert_eq!(answer.content, "at the ditch");
    assert_eq!(*digest, answer_digest("at the ditch"));
    let view = world.nodes[0].partition.view(RUN).expect("the run");
    assert_eq!(view.spent, answer.cost);
    assert_eq!(
        view.history.last().map(|last| last.role),
        Some(Role::Assistant)
    );
}

fn chunk_text(message: &NodeMessage) -> Option<&str> {
    match message {
        NodeMessage::Chunk(chunk) => Some(&chunk.text),
        _ => None,
    }
}

#[test]
fn unrepeatable_call_is_sent_only_after_its_start_is_read_back() {
    let mut world = World::owned();
    world.event(0, start(RUN, 1_000));
    world.log_up = false;
    world.event(0, submit(RUN, tool_call(1)));
    assert!(world.take_dispatches(0).is_empty());
    world.log_up = true;
    world.flush();
    world.log_up = false;
    world.settle();
    assert!(
        world.take_dispatches(0).is_empty(),
        "the call is accepted, but its start is not journalled"
    );
    world.log_up = true;
    world.settle();
    assert_eq!(world.take_dispatches(0).len(), 1);
}

#[test]
fn an_ended_run_leaves_no_timer_behind() {
    let mut world = World::owned();
    let mut long = limits();
    long.max_duration = std::time::Duration::from_secs(86_400);
    world.event(0, start_with(run_spec(RUN, 1_000), long));
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    world.place(0, call(RUN, 1), 1, "engine-a");
    world.complete(0, call(RUN, 1), 1, "hi");
    assert!(world.nodes[0].partition.counters().timers > 0);
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: RUN,
    };
    world.event(0, end);
    world.advance_time(std::time::Duration::from_secs(40));
    assert_eq!(world.nodes[0].partition.counters().timers, 0);
}

#[test]
fn ending_a_run_releases_its_memory_until_acknowledged() {
    let mut world = World::owned();
    world.event(0, start(RUN, 1_000));
    world.event(0, submit(RUN, model_call(1, 0, "hello")));
    world.place(0, call(RUN, 1), 1, "engine-a");
    world.complete(0, call(RUN, 1), 1, "hi");
    world.take_effects(0);
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: RUN,
    };
    world.event(0, end);
    let engine: elderworks_types::EngineId = "engine-a".into();
    let release = Effect::ReleaseMemory {
        run: RUN,
        engine: engine.clone(),
    };
    let ended = Effect::Send {
        connection: 1,
        message: NodeMessage::RunEnded {
            run: RUN,
            phase: RunPhase::Ended,
        },
    };
    assert_eq!(world.take_effects(0), [ended, release.clone()]);
    world.advance_time(std::time::Duration::from_secs(5));
    assert!(
        world.take_effects(0).contains(&release),
        "the release is not repeated"
    );
    world.event(0, Event::MemoryReleased { run: RUN, engine });
    assert_eq!(world.nodes[0].partition.counters().unreleased_runs, 0);
    world.advance_time(std::time::Duration::from_secs(20));
    assert!(world.take_effects(0).is_empty());
}
