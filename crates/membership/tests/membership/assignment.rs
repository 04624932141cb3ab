//! Stability and evenness of rendezvous hashing.

use std::collections::BTreeMap;

use elderworks_membership::{Duty, cell_of, duty_holders, owner_of};
use elderworks_types::{CellId, NodeId, PartitionId};

const PARTITIONS: u32 = 1_024;

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|index| NodeId::new(format!("node-{index}")))
        .collect()
}

fn owners(nodes: &[NodeId]) -> BTreeMap<PartitionId, NodeId> {
    (0..PARTITIONS)
        .map(PartitionId)
        .filter_map(|partition| Some((partition, owner_of(partition, nodes.iter())?.clone())))
        .collect()
}

#[test]
fn no_candidates_means_no_owner() {
    assert_eq!(owner_of(PartitionId(1), [].iter()), None);
    assert_eq!(cell_of(PartitionId(1), [].iter()), None);
}

#[test]
fn only_the_partitions_of_a_lost_node_move() {
    for count in [2, 5, 20] {
        let all = nodes(count);
        let before = owners(&all);
        let lost = &all[count / 2];
        let rest: Vec<NodeId> = all.iter().filter(|node| *node != lost).cloned().collect();
        let after = owners(&rest);
        for (partition, owner) in &before {
            if owner != lost {
                assert_eq!(after.get(partition), Some(owner));
            }
        }
    }
}

#[test]
fn only_the_partitions_assigned_to_a_new_node_move() {
    let all = nodes(21);
    let before = owners(&all[..20]);
    let after = owners(&all);
    let moved: Vec<_> = before
        .iter()
        .filter(|(partition, owner)| after.get(partition) != Some(owner))
        .collect();
    assert!(
        moved
            .iter()
            .all(|(partition, _)| after[partition] == all[20])
    );
    assert!(
        moved.len() < 2 * PARTITIONS as usize / 21,
        "{} moved",
        moved.len()
    );
}

#[test]
fn owners_do_not_depend_on_the_order_of_nodes() {
    let all = nodes(20);
    let mut reversed = all.clone();
    reversed.reverse();
    assert_eq!(owners(&all), owners(&reversed));
}

#[test]
fn partitions_are_spread_evenly_over_cells() {
    let cells: Vec<CellId> = (0..10)
        .map(|index| CellId::new(format!("zone-a/{index}")))
        .collect();
    let mut counts: BTreeMap<&CellId, u32> = BTreeMap::new();
    for partition in (0..PARTITIONS).map(PartitionId) {
        let cell = cell_of(partition, cells.iter()).expect("cells are offered");
        *counts.entry(cell).or_default() += 1;
    }
    let even_share = PARTITIONS / 10;
    assert!(
        counts
            .values()
            .all(|count| *count > even_share / 2 && *count < even_share * 2),
        "{counts:?}"
    );
}

#[test]
fn a_lost_duty_holder_is_replaced_by_the_next_in_rank() {
    let all = nodes(20);
    let holders = duty_holders(Duty::Relay, 3, all.iter());
    let rest = all.iter().filter(|node| *node != holders[0]);
    assert_eq!(duty_holders(Duty::Relay, 2, rest), holders[1..]);
}
