//! Failure detection between cells, partition homes and control sources.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::support::{Fleet, name_of};
use elderworks_membership::{ControlSource, Effect, Event, Membership, PartitionHome};
use elderworks_protocol::gossip::CellState;
use elderworks_types::{CellId, Offset, PartitionId};

const CELLS: usize = 4;
const PER_CELL: usize = 5;
const NODES: usize = CELLS * PER_CELL;
/// Time limit for the fleet to reach an expected state.
const BOUND: Duration = Duration::from_secs(120);

fn cell_name(index: usize) -> String {
    format!("zone-a/{}", index / PER_CELL)
}

fn indices(cell: usize) -> Vec<usize> {
    (cell * PER_CELL..(cell + 1) * PER_CELL).collect()
}

fn cell_state(node: &Membership, cell: usize) -> Option<CellState> {
    let name = CellId::new(format!("zone-a/{cell}"));
    let mut cells = node.cells();
    let known = cells.find(|known| known.digest.cell == name)?;
    Some(known.digest.state)
}

fn all_cells_joined(fleet: &Fleet) -> bool {
    let members_agree = (0..CELLS).all(|cell| fleet.agree_on_alive(&indices(cell)));
    let digests_agree = fleet.running().all(|node| {
        (0..CELLS).all(|cell| cell_state(node, cell) == Some(CellState::Alive))
            && node
                .cells()
                .all(|known| usize::from(known.digest.nodes) == PER_CELL)
    });
    members_agree && digests_agree
}

fn joined(seed: u64) -> Fleet {
    let mut fleet = Fleet::with_cells(NODES, seed, cell_name);
    fleet.run_until(BOUND, all_cells_joined);
    fleet
}

#[test]
fn cells_form_through_seeds_of_another_cell() {
    for seed in 1..5 {
        joined(seed);
    }
}

#[test]
fn a_node_knows_only_its_own_cell_in_detail() {
    let fleet = joined(5);
    for node in fleet.running() {
        assert_eq!(node.members().count(), PER_CELL);
        assert_eq!(node.cells().count(), CELLS);
    }
}

#[test]
fn every_node_learns_that_a_cell_is_lost_and_returns() {
    let mut fleet = joined(6);
    for index in indices(2) {
        fleet.kill(index);
    }
    fleet.run_until(BOUND, |fleet| {
        fleet
            .running()
            .all(|node| cell_state(node, 2) == Some(CellState::Dead))
    });
    for index in indices(2) {
        fleet.restart(index, &cell_name(index), 2);
    }
    fleet.run_until(BOUND, all_cells_joined);
}

#[test]
fn cells_reconnect_after_a_network_partition() {
    let mut fleet = joined(7);
    fleet.disconnect(indices(3).into_iter());
    fleet.run_until(BOUND, |fleet| {
        let lost_here = cell_state(fleet.node(0), 3) == Some(CellState::Dead);
        let lost_there = cell_state(fleet.node(3 * PER_CELL), 0) == Some(CellState::Dead);
        lost_here && lost_there
    });
    fleet.run(Duration::from_secs(3_600));
    fleet.heal();
    fleet.run_until(BOUND, all_cells_joined);
}

#[test]
fn packet_loss_marks_no_cell_dead() {
    let mut fleet = joined(8);
    let start = fleet.now;
    fleet.loss_percent = 10;
    fleet.run(Duration::from_secs(300));
    let dead = fleet.reported.iter().filter(|reported| {
        let cell_died = matches!(
            reported.effect,
            Effect::CellChanged {
                state: CellState::Dead,
                ..
            }
        );
        reported.at >= start && cell_died
    });
    assert_eq!(dead.count(), 0);
}

#[test]
fn every_node_finds_the_same_home_for_a_partition() {
    let fleet = joined(9);
    let mut cells_used = BTreeSet::new();
    for partition in (0..64).map(PartitionId) {
        let mut homes = BTreeSet::new();
        let mut owners = BTreeSet::new();
        for index in 0..NODES {
            match fleet.node(index).home_of(partition) {
                Some(PartitionHome::Node(node)) => {
                    homes.insert(CellId::new(cell_name(index)));
                    owners.insert(node);
                }
                Some(PartitionHome::Cell(digest)) => {
                    homes.insert(digest.cell);
                }
                None => panic!("no home for {partition}"),
            }
        }
        assert_eq!((homes.len(), owners.len()), (1, 1), "partition {partition}");
        cells_used.extend(homes);
    }
    assert_eq!(cells_used.len(), CELLS);
}

#[test]
fn one_member_per_cell_reads_the_log_and_notifies_the_others() {
    let mut fleet = joined(10);
    for cell in 0..CELLS {
        let readers: Vec<usize> = indices(cell)
            .into_iter()
            .filter(|index| fleet.node(*index).control_source(fleet.now) == ControlSource::Log)
            .collect();
        assert_eq!(readers.len(), 1, "cell {cell}");
        fleet.deliver(readers[0], Event::ControlApplied { next: Offset(7) });
    }
    fleet.run_until(BOUND, |fleet| {
        fleet
            .running()
            .all(|node| node.highest_control_next() == Offset(7))
    });
    let notified: BTreeSet<usize> = fleet
        .reported
        .iter()
        .filter(|reported| matches!(reported.effect, Effect::ControlBehind { .. }))
        .map(|reported| reported.by)
        .collect();
    assert_eq!(notified.len(), NODES - CELLS);
}

#[test]
fn a_node_whose_peers_deliver_nothing_reads_the_log() {
    let mut fleet = joined(11);
    let reader = (0..PER_CELL)
        .find(|index| fleet.node(*index).control_source(fleet.now) == ControlSource::Log)
        .expect("a cell has a reader");
    let other = (reader + 1) % PER_CELL;
    fleet.deliver(reader, Event::ControlApplied { next: Offset(3) });
    fleet.run_until(BOUND, |fleet| {
        fleet.node(other).control_source(fleet.now) == ControlSource::Log
    });
    fleet.deliver(other, Event::ControlApplied { next: Offset(3) });
    assert_eq!(
        fleet.node(other).control_source(fleet.now),
        ControlSource::Peers
    );
}

#[test]
fn a_cell_without_the_log_receives_changes_from_another() {
    let mut fleet = joined(12);
    fleet.deliver(0, Event::ControlApplied { next: Offset(5) });
    fleet.run_until(BOUND, |fleet| {
        fleet
            .running()
            .skip(PER_CELL)
            .any(|node| node.highest_control_next() == Offset(5))
    });
    assert!(fleet.reported.iter().any(|reported| {
        let from_first_cell = (0..PER_CELL).map(name_of).collect::<Vec<_>>();
        matches!(&reported.effect, Effect::ControlBehind { peer, .. }
            if reported.by >= PER_CELL && from_first_cell.contains(peer))
    }));
}
