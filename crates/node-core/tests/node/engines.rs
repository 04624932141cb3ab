//! Engines that leave, stop answering, or hold memory of ended runs.

use std::time::Duration;

use elderworks_node_core::effect::{EngineState, OperatorReply};
use elderworks_node_core::event::OperatorRequest;
use elderworks_node_core::{Effect, Event};
use elderworks_placement::event::LoadReport;
use elderworks_types::{EngineId, RunId, Tokens};

use crate::fixtures::{model_service, program, start_run};
use crate::world::World;

fn engine() -> EngineId {
    EngineId::new("engine-1")
}

fn world() -> World {
    let mut world = World::new(1);
    world.run_until("the node owns all partitions", |world| world.settled());
    world.apply(0, model_service());
    world.apply(0, program(&["model"], false));
    world.advance(Duration::from_secs(1));
    world
}

fn state(world: &mut World) -> EngineState {
    let question = OperatorRequest::Engines;
    world.handle(
        0,
        Event::Operator {
            request: 2,
            question,
        },
    );
    match world.node(0).replies.pop() {
        Some(OperatorReply::Engines(engines)) => engines[0].state,
        other => panic!("no list of engines: {other:?}"),
    }
}

fn load() -> Event {
    Event::EngineLoad {
        engine: engine(),
        report: LoadReport {
            measured: elderworks_types::Timestamp(0),
            running: 0,
            waiting: 0,
            waiting_prefill: Tokens(0),
            blocks_used: 0,
            blocks_total: 1_024,
        },
    }
}

#[test]
fn an_engine_leaves_by_list_announcement_or_silence_and_can_return() {
    let listed = |leaving: bool| Event::MachineList {
        live: Vec::new(),
        leaving: Vec::new(),
        leaving_engines: leaving.then(engine).into_iter().collect(),
    };
    let silent = |seconds| Event::EngineSilent {
        engine: engine(),
        silent_for: Duration::from_secs(seconds),
    };
    let said = Event::EngineLeaving { engine: engine() };
    // An event, the seconds that pass after it, and the expected state.
    let cases = [
        (load(), 0, EngineState::Serving),
        (listed(true), 0, EngineState::Leaving),
        (listed(false), 0, EngineState::Serving),
        (said.clone(), 0, EngineState::Leaving),
        (load(), 1, EngineState::Leaving),
        (load(), 4, EngineState::Serving),
        (silent(1), 0, EngineState::Serving),
        (silent(2), 0, EngineState::Silent),
        (silent(90), 0, EngineState::Silent),
        (load(), 0, EngineState::Serving),
    ];
    let mut world = world();
    for (step, (event, seconds, expected)) in cases.into_iter().enumerate() {
        world.handle(0, event);
        world.advance(Duration::from_secs(seconds));
        assert_eq!(state(&mut world), expected, "step {step}");
    }
}

#[test]
fn memory_of_runs_that_are_not_live_is_released() {
    let mut world = world();
    let live = RunId::root(1);
    let unknown = RunId::root(2);
    world.send(0, start_run(live));
    world.advance(Duration::from_secs(1));
    world.node(0).effects.clear();
    world.handle(
        0,
        Event::EngineHoldings {
            engine: engine(),
            runs: vec![live, unknown],
        },
    );
    let released: Vec<RunId> = world
        .node(0)
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::ReleaseMemory { run, .. } => Some(*run),
            _ => None,
        })
        .collect();
    assert_eq!(released, [unknown]);
}
