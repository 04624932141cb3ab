//! A `Configuration` applies on every node, and its deletion restores the defaults.

use std::time::Duration;

use elderworks_control::ControlBody;
use elderworks_node_core::Event;
use elderworks_node_core::effect::{EngineState, OperatorReply};
use elderworks_node_core::event::OperatorRequest;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::resource::{ConfigurationSpec, Kind, Metadata, Resource, Spec};
use elderworks_types::{EngineId, Offset, Outcome, RefusalReason, RunId};

use crate::fixtures::{model_call, model_service, program, run_in, start_run};
use crate::world::World;

const NODES: usize = 2;

fn configuration(values: &[(&str, &str)]) -> Resource {
    let values = values
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
    Resource {
        metadata: Metadata {
            name: "global".into(),
            revision: Offset(0),
        },
        spec: Spec::Configuration(ConfigurationSpec {
            values: values.collect(),
        }),
    }
}

fn world() -> World {
    let mut world = World::new(NODES);
    world.run_until("every partition has one owner", |world| {
        world.settled() && (0..NODES).all(|node| !world.owned(node).is_empty())
    });
    world.apply(0, model_service());
    world.apply(0, program(&["model"], false));
    world.advance(Duration::from_secs(1));
    world
}

fn delete_configuration(world: &mut World) {
    let body = ControlBody::Delete {
        kind: Kind::Configuration,
        name: "global".into(),
        expected: None,
    };
    let question = OperatorRequest::Change(body);
    world.handle(
        0,
        Event::Operator {
            request: 3,
            question,
        },
    );
    world.advance(Duration::from_secs(1));
}

/// Reports one second without an answer from the engine and returns its state at the node.
fn state_after_a_second(world: &mut World, node: usize) -> EngineState {
    let engine = EngineId::new("engine-1");
    let silent = Event::EngineSilent {
        engine,
        silent_for: Duration::from_secs(1),
    };
    world.handle(node, silent);
    let question = OperatorRequest::Engines;
    world.handle(
        node,
        Event::Operator {
            request: 2,
            question,
        },
    );
    match world.node(node).replies.pop() {
        Some(OperatorReply::Engines(engines)) => engines[0].state,
        other => panic!("no list of engines: {other:?}"),
    }
}

#[test]
fn silence_limit_applies_on_every_node() {
    let mut world = world();
    assert_eq!(state_after_a_second(&mut world, 1), EngineState::Serving);

    world.apply(0, configuration(&[("engine.silentAfter", "700ms")]));
    world.advance(Duration::from_secs(1));

    for node in 0..NODES {
        assert_eq!(state_after_a_second(&mut world, node), EngineState::Silent);
    }
}

/// Returns whether a call whose predecessor is never submitted is refused within a second.
fn gap_is_refused_within_a_second(world: &mut World, node: usize, run: RunId) -> bool {
    world.send(node, start_run(run));
    world.advance(Duration::from_secs(1));
    world.send(node, model_call(run, 2));
    world.advance(Duration::from_secs(1));
    world.node(node).sent.iter().any(|(_, message)| {
        matches!(
            message,
            NodeMessage::CallEnded { call, outcome: Outcome::Refused(refusal), .. }
                if call.run == run && refusal.reason == RefusalReason::EarlierCallMissing
        )
    })
}

#[test]
fn limits_of_execution_follow_the_configuration_and_its_deletion() {
    let mut world = world();
    for node in 0..NODES {
        let partition = *world.owned(node).first().expect("the node owns partitions");
        let first = run_in(partition);
        let others = (first.root..).map(RunId::root);
        let mut runs = others.filter(|run| run.partition(crate::world::PARTITIONS) == partition);
        let mut refused = |world: &mut World| {
            let run = runs.next().expect("the partition has further runs");
            gap_is_refused_within_a_second(world, node, run)
        };
        assert!(
            !refused(&mut world),
            "the default wait is longer than a second"
        );

        world.apply(0, configuration(&[("call.earlierCallWait", "200ms")]));
        world.advance(Duration::from_secs(1));
        assert!(refused(&mut world), "the configured wait has expired");

        delete_configuration(&mut world);
        assert!(!refused(&mut world), "the default wait applies again");
    }
}
