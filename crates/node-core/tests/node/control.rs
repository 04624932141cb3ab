//! The control state: in force everywhere, relayed where the log is cut off, current when ready.

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
    world.give(
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
    world.until("all are ready", |world| {
        world.settled() && world.nodes.values().all(|node| node.ready)
    });
    world
}

#[test]
fn a_change_is_in_force_on_every_node() {
    let mut world = settled(3);
    world.apply(1, program(&[], false));
    world.until("all have it", |world| {
        (0..3).all(|index| has_program(world, index))
    });
}

#[test]
fn a_node_that_lost_the_log_hears_of_changes_from_its_peers() {
    // With two nodes the only peer is the one whose append made the change.
    for nodes in [2, 3] {
        let last = nodes - 1;
        let mut world = settled(nodes);
        world.cut_from_log.insert(name(last));
        world.pass(Duration::from_secs(10));
        world.apply(0, program(&[], false));
        world.until("the cut-off node has it", |world| has_program(world, last));
        assert!(world.counters(last).relayed_records > 0);
        world.cut_from_log.clear();
        world.pass(Duration::from_secs(10));
        assert!(has_program(&mut world, last));
    }
}

#[test]
fn without_the_log_changes_are_refused_and_new_nodes_wait() {
    let mut world = settled(2);
    world.log_up = false;
    world.pass(Duration::from_secs(10));
    world.apply(0, program(&[], false));
    let reply = world.node(0).replies.pop();
    assert_eq!(
        reply,
        Some(OperatorReply::Changed(Err(ControlError::Unavailable)))
    );
    world.start(2);
    world.pass(Duration::from_secs(10));
    assert!(!world.node(2).ready);
    world.log_up = true;
    world.until("the new node is ready", |world| world.node(2).ready);
}

#[test]
fn a_lost_answer_to_an_append_changes_nothing_twice() {
    let mut world = settled(1);
    world.apply(0, program(&[], false));
    world.until("it is in force", |world| has_program(world, 0));
    let stream = elderworks_protocol::record::StreamName::Control;
    let records = world.log[&stream].clone();
    let last = records.last().expect("the change").clone();
    world.log.get_mut(&stream).expect("the stream").push(last);
    world.pass(Duration::from_secs(10));
    let question = OperatorRequest::List {
        kind: Kind::Program,
    };
    world.give(
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
