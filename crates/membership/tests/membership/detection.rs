//! Failure detection within one cell.

use std::time::Duration;

use crate::support::{Fleet, TICK, name_of};
use elderworks_membership::Event;
use elderworks_membership::settings::MAX_MACHINE_LIST_LAG;
use elderworks_protocol::gossip::MemberState;

/// Time limit for the fleet to reach an expected state.
const BOUND: Duration = Duration::from_secs(30);

fn joined(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed);
    let group: Vec<usize> = (0..count).collect();
    fleet.run_until(BOUND, |fleet| fleet.agree_on_alive(&group));
    fleet
}

#[test]
fn nodes_discover_each_other_through_seeds() {
    for count in [1, 2, 3, 8, 20, 60] {
        let mut fleet = joined(count, 1);
        fleet.run_until(BOUND, |fleet| {
            fleet.running().all(|node| node.is_join_complete(fleet.now))
        });
    }
}

#[test]
fn joins_are_repeated_until_a_seed_answers() {
    let mut fleet = Fleet::new(5, 2);
    fleet.disconnect([0, 1].into_iter());
    fleet.run(Duration::from_secs(10));
    fleet.heal();
    fleet.run_until(BOUND, |fleet| fleet.agree_on_alive(&[0, 1, 2, 3, 4]));
}

#[test]
fn every_member_learns_of_a_death() {
    for (count, loss_percent) in [(3, 0), (20, 0), (20, 5), (20, 10), (60, 0)] {
        let mut fleet = joined(count, 3);
        fleet.loss_percent = loss_percent;
        fleet.kill(2);
        fleet.run_until(BOUND, |fleet| {
            (0..count)
                .filter(|index| *index != 2)
                .all(|by| fleet.observed_state(by, 2) == Some(MemberState::Dead))
        });
        let dead = name_of(2);
        assert!(
            fleet
                .running()
                .all(|node| node.eligible_owners().all(|owner| *owner != dead))
        );
    }
}

#[test]
fn packet_loss_marks_no_member_dead() {
    for (seed, loss_percent) in [(4, 1), (5, 5), (6, 10), (7, 10), (8, 10)] {
        let mut fleet = joined(20, seed);
        let start = fleet.now;
        fleet.loss_percent = loss_percent;
        fleet.run(Duration::from_secs(120));
        let deaths = fleet.changes_to(MemberState::Dead, start);
        assert!(deaths.is_empty(), "{loss_percent} % loss: {deaths:?}");
    }
}

#[test]
fn a_suspect_refutes_the_suspicion() {
    let mut fleet = joined(8, 9);
    fleet.paused.insert(3);
    fleet.run_until(BOUND, |fleet| {
        fleet.observed_state(0, 3) == Some(MemberState::Suspect)
    });
    fleet.paused.clear();
    let resumed_at = fleet.now;
    fleet.run_until(BOUND, |fleet| {
        fleet.agree_on_alive(&[0, 1, 2, 3, 4, 5, 6, 7])
    });
    let about = fleet
        .node(0)
        .members()
        .find(|member| member.update.node == name_of(3));
    assert!(about.expect("known").update.refutation > 0);
    assert!(fleet.changes_to(MemberState::Dead, resumed_at).is_empty());
}

#[test]
fn a_resumed_node_does_not_suspect_its_peers() {
    for pause in [3, 20, 300] {
        let mut fleet = joined(10, 10);
        fleet.paused.insert(4);
        fleet.run(Duration::from_secs(pause));
        fleet.paused.clear();
        let resumed_at = fleet.now;
        let group: Vec<usize> = (0..10).collect();
        fleet.run_until(BOUND, |fleet| fleet.agree_on_alive(&group));
        for state in [MemberState::Suspect, MemberState::Dead] {
            let accusations = fleet.changes_to(state, resumed_at);
            let by_resumed = accusations.iter().filter(|reported| reported.by == 4);
            assert_eq!(by_resumed.count(), 0, "after {pause} s");
        }
    }
}

#[test]
fn two_halves_merge_after_a_network_partition() {
    for partition_seconds in [20, 3_700] {
        let mut fleet = joined(8, 11);
        fleet.disconnect(4..8);
        fleet.run(Duration::from_secs(partition_seconds));
        assert!(fleet.agree_on_alive(&[0, 1, 2, 3]) && fleet.agree_on_alive(&[4, 5, 6, 7]));
        fleet.heal();
        let group: Vec<usize> = (0..8).collect();
        fleet.run_until(Duration::from_secs(60), |fleet| {
            fleet.agree_on_alive(&group)
        });
    }
}

#[test]
fn a_restarted_node_replaces_its_previous_incarnation() {
    let mut fleet = joined(6, 12);
    fleet.kill(5);
    fleet.run(TICK);
    fleet.restart(5, "", 2);
    fleet.run_until(BOUND, |fleet| {
        (0..6).all(|by| {
            let mut members = fleet.node(by).members();
            members.any(|member| {
                member.update.node == name_of(5)
                    && member.update.incarnation.0 == 2
                    && member.update.state == MemberState::Alive
            })
        })
    });
}

#[test]
fn every_member_learns_that_a_node_drains_and_assigns_it_nothing() {
    let mut fleet = joined(6, 13);
    fleet.deliver(2, Event::Drain);
    fleet.run_until(BOUND, |fleet| {
        (0..6).all(|by| fleet.observed_state(by, 2) == Some(MemberState::Draining))
    });
    let draining = name_of(2);
    assert!(
        fleet
            .running()
            .all(|node| node.eligible_owners().all(|owner| *owner != draining))
    );
}

#[test]
fn absence_from_the_machine_list_marks_no_member_dead() {
    let mut fleet = joined(5, 14);
    let start = fleet.now;
    for index in 0..5 {
        let event = Event::MachineList {
            live: vec![name_of(0)],
            leaving: Vec::new(),
        };
        fleet.deliver(index, event);
    }
    fleet.run(Duration::from_secs(60));
    assert!(fleet.changes_to(MemberState::Dead, start).is_empty());
    assert!(fleet.agree_on_alive(&[0, 1, 2, 3, 4]));
}

#[test]
fn a_node_listed_as_leaving_drains_unless_it_has_just_started() {
    let leaving = || Event::MachineList {
        live: Vec::new(),
        leaving: vec![name_of(3)],
    };
    let mut fleet = joined(5, 15);
    fleet.deliver(0, leaving());
    assert_eq!(
        fleet.observed_state(0, 3),
        Some(MemberState::Alive),
        "just started"
    );
    fleet.run(MAX_MACHINE_LIST_LAG);
    fleet.deliver(0, leaving());
    fleet.run_until(BOUND, |fleet| {
        (0..5).all(|by| fleet.observed_state(by, 3) == Some(MemberState::Draining))
    });
}

#[test]
fn a_dead_member_is_removed_eventually() {
    let mut fleet = joined(3, 16);
    fleet.kill(2);
    fleet.run(Duration::from_secs(700));
    assert_eq!(fleet.observed_state(0, 2), None);
    assert_eq!(fleet.observed_state(1, 2), None);
}
