//! Ownership of partitions across starts, stops and pauses of nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_node_core::Event;
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::{PartitionId, RunId};

use crate::fixtures::{program, run_in, start_run, tenant};
use crate::world::{PARTITIONS, SIDECAR, World, name};

fn all() -> BTreeSet<PartitionId> {
    (0..PARTITIONS).map(PartitionId).collect()
}

#[test]
fn every_partition_gets_one_owner_for_any_number_of_nodes() {
    for nodes in 1..=4 {
        let mut world = World::new(nodes);
        world.run_until("every partition has one owner", |world| world.settled());
        world.advance(Duration::from_secs(5));
        assert!(world.settled(), "{nodes} nodes: {:?}", world.owners());
    }
}

#[test]
fn cells_share_the_partitions_and_redirect_to_each_other() {
    let mut world = World::with_cells(4, 2);
    world.run_until("every partition has one owner", |world| {
        world.settled() && (0..4).all(|index| !world.owned(index).is_empty())
    });
    let partition = *world.owned(1).first().expect("the node owns partitions");
    // Node 0 is in the other cell and redirects to a representative of the assigned one.
    world.node(0).sent.clear();
    world.send(0, SidecarMessage::Locate { partition });
    let (_, located) = world.node(0).sent.pop().expect("an immediate answer");
    let NodeMessage::Located { owner, .. } = located else {
        panic!("not located: {located:?}");
    };
    let owner = owner.expect("a node of the other cell").node;
    assert!([name(1), name(3)].contains(&owner), "{owner}");
}

#[test]
fn a_joining_node_receives_released_partitions() {
    let mut world = World::new(1);
    world.run_until("the first node owns all partitions", |world| {
        world.owned(0) == all()
    });
    world.start(1);
    world.run_until("both nodes own partitions", |world| {
        world.settled() && !world.owned(1).is_empty()
    });
    assert_eq!(world.counters(1).forced_claims, 0);
}

#[test]
fn a_dead_nodes_partitions_are_taken_over() {
    let mut world = World::new(3);
    world.run_until("every partition has one owner", |world| world.settled());
    world.kill(0);
    world.run_until("the other nodes own all partitions", |world| {
        world.settled()
    });
    let forced = world.counters(1).forced_claims + world.counters(2).forced_claims;
    assert!(forced > 0);
}

#[test]
fn a_restarted_node_reclaims_its_partitions() {
    let mut world = World::new(1);
    world.run_until("the node owns all partitions", |world| {
        world.owned(0) == all()
    });
    world.kill(0);
    world.start(0);
    world.run_until("the node owns all partitions again", |world| {
        world.owned(0) == all()
    });
}

#[test]
fn a_resumed_owner_is_fenced_off() {
    let mut world = World::new(2);
    world.apply(0, program(&[], false));
    world.run_until("every partition has one owner", |world| {
        world.settled() && !world.owned(0).is_empty()
    });
    let partition = *world.owned(0).first().expect("the node owns partitions");
    world.node(0).paused = true;
    world.run_until("the other node owns all partitions", |world| {
        world.owned(1) == all()
    });
    world.node(0).sent.clear();

    // Records of its lost epoch are void, so it may only report a start that is kept. It can become the
    // owner again and start the run then.
    world.resume(0);
    let run = run_in(partition);
    world.send(0, start_run(run));
    let sent_at_once = std::mem::take(&mut world.node(0).sent);
    assert!(sent_at_once.is_empty(), "{sent_at_once:?}");
    world.advance(Duration::from_secs(1));
    let started = NodeMessage::RunStarted { run };
    let reported = world.node(0).sent.contains(&(SIDECAR, started));
    world.run_until("every partition has one owner", |world| world.settled());
    let owner = usize::from(!world.owned(0).contains(&partition));
    assert_eq!(has_run(&mut world, owner, run), reported);
}

fn has_run(world: &mut World, index: usize, run: RunId) -> bool {
    world.node(index).sent.clear();
    let query = SidecarMessage::ReadRun {
        query: 1,
        tenant: tenant(),
        run,
    };
    world.send(index, query);
    match world.node(index).sent.pop() {
        Some((_, NodeMessage::RunView { view, .. })) => view.is_some(),
        other => panic!("the owner does not answer: {other:?}"),
    }
}

#[test]
fn a_drained_node_has_released_all_partitions() {
    let mut world = World::new(2);
    world.run_until("every partition has one owner", |world| {
        world.settled() && !world.owned(0).is_empty()
    });
    world.handle(0, Event::Drain);
    assert!(!world.node(0).ready);
    world.run_until("the node has drained", |world| world.node(0).drained);
    assert!(world.owned(0).is_empty());
    world.run_until("the other node owns all partitions", |world| {
        world.owned(1) == all()
    });
    assert_eq!(world.counters(1).forced_claims, 0);
}

#[test]
fn a_request_during_a_takeover_is_held_back() {
    let mut world = World::new(1);
    world.apply(0, program(&[], false));
    // The node has just started and owns no partitions yet.
    let run = run_in(PartitionId(3));
    world.send(0, start_run(run));
    world.run_until("the run is started", |world| {
        let started = NodeMessage::RunStarted { run };
        let refused = |message: &NodeMessage| matches!(message, NodeMessage::RunRefused { .. });
        let sent = &world.node(0).sent;
        // The program may not be known yet, because it was applied before the node had joined.
        sent.contains(&(SIDECAR, started)) || sent.iter().any(|(_, message)| refused(message))
    });
    assert_eq!(world.counters(0).requests_held, 1);
}

#[test]
fn a_request_at_the_wrong_node_is_redirected_to_the_owner() {
    let mut world = World::new(2);
    world.run_until("every partition has one owner", |world| {
        world.settled() && !world.owned(1).is_empty()
    });
    let partition = *world.owned(1).first().expect("the node owns partitions");
    let run = run_in(partition);
    world.node(0).sent.clear();
    let messages = [
        start_run(run),
        SidecarMessage::EndRun {
            tenant: tenant(),
            run,
        },
        SidecarMessage::Locate { partition },
    ];
    for message in messages {
        world.send(0, message.clone());
        let (_, answer) = world.node(0).sent.pop().expect("an immediate answer");
        let owner = match answer {
            NodeMessage::NotOwner { owner, .. } | NodeMessage::Located { owner, .. } => owner,
            other => panic!("{message:?} was answered by {other:?}"),
        };
        assert_eq!(owner.map(|owner| owner.node), Some(name(1)));
    }
}
