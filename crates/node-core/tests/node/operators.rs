//! Requests by operators that do not concern resources.

use elderworks_node_core::Event;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{RunId, RunPhase};

use crate::fixtures::{program, run_in, start_run, tool_service};
use crate::world::World;

fn listed_runs(world: &mut World, node: usize) -> Vec<(RunId, RunPhase)> {
    let question = OperatorRequest::Runs;
    world.handle(
        node,
        Event::Operator {
            request: 2,
            question,
        },
    );
    match world.node(node).replies.pop() {
        Some(OperatorReply::Runs(runs)) => {
            let runs = runs.into_iter();
            runs.map(|run| (run.spec.id, run.phase)).collect()
        }
        other => panic!("no list of runs: {other:?}"),
    }
}

#[test]
fn run_is_listed_by_its_owner_only() {
    let mut world = World::new(2);
    world.run_until("every partition has one owner", |world| {
        world.settled() && (0..2).all(|node| !world.owned(node).is_empty())
    });
    world.apply(0, tool_service());
    world.apply(0, program(&["tool"], false));
    world.advance(std::time::Duration::from_secs(1));
    let partition = *world.owned(1).first().expect("the node owns partitions");
    let run = run_in(partition);
    world.send(1, start_run(run));
    world.run_until("the run is started", |world| {
        let started = NodeMessage::RunStarted { run };
        let mut sent = world.node(1).sent.iter();
        sent.any(|(_, message)| *message == started)
    });

    assert_eq!(listed_runs(&mut world, 1), [(run, RunPhase::Active)]);
    assert_eq!(listed_runs(&mut world, 0), []);
}
