//! Tests the ranking of nodes that serve a partition.

use std::collections::BTreeMap;

use elderworks_gateway_core::ownership::{preferred_owner, rank_owners};
use elderworks_types::{NodeId, PartitionId};

const PARTITIONS: u32 = 4_000;

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|number| NodeId::new(format!("n{number}")))
        .collect()
}

fn first_by_partition(nodes: &[(NodeId, u32)]) -> Vec<String> {
    (0..PARTITIONS)
        .map(|partition| {
            let candidates = nodes.iter().map(|(node, capacity)| (node, *capacity));
            let ranked = rank_owners(PartitionId(partition), candidates);
            ranked[0].as_str().to_owned()
        })
        .collect()
}

#[test]
fn the_ranking_does_not_depend_on_the_order_of_the_nodes() {
    let nodes = nodes(7);
    let forwards = nodes.iter().map(|node| (node, 5));
    let backwards = nodes.iter().rev().map(|node| (node, 5));
    assert_eq!(
        rank_owners(PartitionId(3), forwards),
        rank_owners(PartitionId(3), backwards)
    );
}

#[test]
fn partitions_are_distributed_by_capacity() {
    let weighted: Vec<(NodeId, u32)> = nodes(6)
        .into_iter()
        .enumerate()
        .map(|(number, node)| (node, if number < 2 { 500 } else { 125 }))
        .collect();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for owner in first_by_partition(&weighted) {
        *counts.entry(owner).or_default() += 1;
    }
    for (number, (node, capacity)) in weighted.iter().enumerate() {
        let fair = PARTITIONS * capacity / 1_500;
        let count = counts[node.as_str()];
        assert!(
            count.abs_diff(fair) < fair / 4,
            "node {number}: {count}, fair {fair}"
        );
    }
}

#[test]
fn a_node_that_leaves_moves_only_its_own_partitions() {
    let all: Vec<(NodeId, u32)> = nodes(6).into_iter().map(|node| (node, 10)).collect();
    let before = first_by_partition(&all);
    let after = first_by_partition(&all[1..]);
    let gone = all[0].0.as_str();
    for (before, after) in before.iter().zip(&after) {
        assert!(before == gone || before == after);
    }
}

#[test]
fn a_node_without_capacity_is_still_ranked() {
    let nodes = nodes(2);
    let candidates = nodes.iter().map(|node| (node, 0));
    assert_eq!(rank_owners(PartitionId(0), candidates).len(), 2);
}

#[test]
fn the_preferred_owner_is_first_in_the_ranking() {
    for count in [0, 1, 7, 984] {
        let nodes = nodes(count);
        for partition in (0..24).map(PartitionId) {
            let all = || nodes.iter().zip([500, 120].into_iter().cycle());
            let ranked = rank_owners(partition, all());
            assert_eq!(preferred_owner(partition, all()), ranked.first().copied());
        }
    }
}
