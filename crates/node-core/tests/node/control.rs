//! Control state: changes reach every node, also without the log, and nodes are ready only when current.

use std::time::Duration;

use elderworks_control::ControlError;
use elderworks_node_core::Event;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_types::ResourceName;
use elderworks_types::resource::Kind;

use crate::fixtures::program;
use crate::world::{World, name};

fn has_program(world: &mut World, index: usize) -> bool {
    let question = OperatorRequest::Get {
        kind: Kind::Program,
        name: ResourceName::new("program"),
    };
    world.handle(
        index,
        Event::Operator {
            request: 2,
            question,
        },
    );
    let reply = world.node(index).replies.pop();
    matches!(reply, Some(OperatorReply::Resource(Some(_))))
}

fn settled(nodes: usize) -> World {
    let mut world = World::new(nodes);
    world.run_until("all nodes are ready", |world| {
        world.settled() && world.nodes.values().all(|node| node.ready)
    });
    world
}

#[test]
fn a_change_reaches_every_node() {
    let mut world = settled(3);
    world.apply(1, program(&[], false));
    world.run_until("all nodes have the program", |world| {
        (0..3).all(|index| has_program(world, index))
    });
}

#[test]
fn a_node_without_the_log_receives_changes_from_its_peers() {
    // With two nodes, the only peer is the one that appended the change.
    for nodes in [2, 3] {
        let last = nodes - 1;
        let mut world = settled(nodes);
        world.cut_from_log.insert(name(last));
        world.advance(Duration::from_secs(10));
        world.apply(0, program(&[], false));
        world.run_until("the cut-off node has the program", |world| {
            has_program(world, last)
        });
        assert!(world.counters(last).relayed_records > 0);
        world.cut_from_log.clear();
        world.advance(Duration::from_secs(10));
        assert!(has_program(&mut world, last));
    }
}

#[test]
fn without_the_log_changes_are_refused_and_new_nodes_are_not_ready() {
    let mut world = settled(2);
    world.log_up = false;
    world.advance(Duration::from_secs(10));
    world.apply(0, program(&[], false));
    let reply = world.node(0).replies.pop();
    assert_eq!(
        reply,
        Some(OperatorReply::Changed(Err(ControlError::Unavailable)))
    );
    world.start(2);
    world.advance(Duration::from_secs(10));
    assert!(!world.node(2).ready);
    world.log_up = true;
    world.run_until("the new node is ready", |world| world.node(2).ready);
}

#[test]
fn a_duplicate_append_is_applied_once() {
    let mut world = settled(1);
    world.apply(0, program(&[], false));
    world.run_until("the change is in force", |world| has_program(world, 0));
    let stream = elderworks_protocol::record::StreamName::Control;
    let records = world.log[&stream].clone();
    let last = records.last().expect("the change").clone();
    world.log.get_mut(&stream).expect("the stream").push(last);
    world.advance(Duration::from_secs(10));
    let question = OperatorRequest::List {
        kind: Kind::Program,
    };
    world.handle(
        0,
        Event::Operator {
            request: 3,
            question,
        },
    );
    let Some(OperatorReply::Resources { items, .. }) = world.node(0).replies.pop() else {
        panic!("a list");
    };
    assert_eq!(items.len(), 1);
    assert_eq!(items[0].metadata.revision.0, records.len() as u64 - 1);
}
