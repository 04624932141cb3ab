//! Distribution of witnesses and candidates over zones.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_gateway_core::zone_spread::{NodeInZone, spread_candidates, spread_witnesses};
use elderworks_types::NodeId;
use proptest::prelude::*;

const MAX_WITNESSES: usize = 5;
const CONTACTED: usize = 3;
const CANDIDATES: usize = 4;

/// Returns one node for each letter of `zones`, in the zone named by the letter.
fn nodes(zones: &str) -> Vec<(NodeId, String)> {
    let letters = zones.chars().enumerate();
    letters
        .map(|(number, zone)| (NodeId::new(format!("{zone}{number}")), zone.to_string()))
        .collect()
}

fn with_zones(nodes: &[(NodeId, String)]) -> Vec<NodeInZone<'_>> {
    nodes
        .iter()
        .map(|(node, zone)| (node, zone.as_str()))
        .collect()
}

fn zone_of(node: &NodeId) -> String {
    node.as_str().chars().take(1).collect()
}

fn max_in_one_zone(nodes: &[&NodeId]) -> usize {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for node in nodes {
        *counts.entry(zone_of(node)).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}

#[test]
fn witnesses_follow_the_ranking_as_far_as_zones_allow() {
    for (ranking, own_zone, expected) in [
        // At most two of five witnesses are in one zone.
        ("aaaabbccdd", "a", "a0 a1 b4 b5 c6"),
        ("abcdabcd", "a", "a0 b1 c2 d3 a4"),
        // Five witnesses would exceed that, so three are selected.
        ("aaaaaabc", "a", "a0 b6 c7"),
        // Two zones: a majority survives the loss of the owner's zone.
        ("aaaaabbbbb", "a", "a0 a1 b5 b6 b7"),
        ("aaaaabbbbb", "b", "a0 a1 a2 b5 b6"),
        ("aaaaab", "a", "a0 a1 b5 a2 a3"),
        // One zone: in the order of the ranking.
        ("aaaaaaa", "a", "a0 a1 a2 a3 a4"),
        ("bbbbbbb", "a", "b0 b1 b2 b3 b4"),
        ("a", "a", "a0"),
        ("", "a", ""),
    ] {
        let nodes = nodes(ranking);
        let chosen = spread_witnesses(&with_zones(&nodes), own_zone, MAX_WITNESSES);
        let names: Vec<&str> = chosen.iter().map(|node| node.as_str()).collect();
        assert_eq!(names.join(" "), expected, "{ranking}, owner in {own_zone}");
    }
}

#[test]
fn one_contacted_candidate_is_in_another_zone() {
    for (ranking, expected) in [
        ("abcd", "a0 b1 c2 d3"),
        ("aabb", "a0 a1 b2 b3"),
        ("aaabb", "a0 a1 b3 a2"),
        ("aaaaaac", "a0 a1 c6 a2"),
        ("aaaa", "a0 a1 a2 a3"),
        ("aaaaaa", "a0 a1 a2 a3"),
        ("ab", "a0 b1"),
        ("", ""),
    ] {
        let nodes = nodes(ranking);
        let chosen = spread_candidates(with_zones(&nodes).into_iter(), CONTACTED, CANDIDATES);
        let names: Vec<&str> = chosen.iter().map(|node| node.as_str()).collect();
        assert_eq!(names.join(" "), expected, "{ranking}");
    }
}

proptest! {
    #[test]
    fn the_loss_of_any_zone_leaves_a_majority_of_witnesses(
        ranking in "[a-e]{0,40}",
        own_zone in "[a-e]",
    ) {
        let nodes = nodes(&ranking);
        let zones: BTreeSet<char> = ranking.chars().collect();
        let chosen = spread_witnesses(&with_zones(&nodes), &own_zone, MAX_WITNESSES);
        let distinct: BTreeSet<&NodeId> = chosen.iter().copied().collect();
        prop_assert_eq!(distinct.len(), chosen.len());
        if zones.len() >= 3 {
            let left = chosen.len() - max_in_one_zone(&chosen);
            prop_assert!(left >= majority(chosen.len()), "{:?}", chosen);
        } else {
            prop_assert_eq!(chosen.len(), nodes.len().min(MAX_WITNESSES));
        }
    }

    #[test]
    fn with_two_zones_the_loss_of_the_owners_zone_leaves_a_majority(
        ranking in "[ab]{0,20}",
        own_zone in "[ab]",
    ) {
        let nodes = nodes(&ranking);
        let in_other_zones = nodes.iter().filter(|(_, zone)| *zone != own_zone).count();
        prop_assume!(in_other_zones >= majority(MAX_WITNESSES));
        let chosen = spread_witnesses(&with_zones(&nodes), &own_zone, MAX_WITNESSES);
        let left = chosen.iter().filter(|node| zone_of(node) != own_zone).count();
        prop_assert!(left >= majority(chosen.len()), "{:?}", chosen);
    }

    #[test]
    fn the_loss_of_any_zone_leaves_a_candidate_and_the_first_stays(ranking in "[a-d]{1,40}") {
        let nodes = nodes(&ranking);
        let zones: BTreeSet<char> = ranking.chars().collect();
        let chosen = spread_candidates(with_zones(&nodes).into_iter(), CONTACTED, CANDIDATES);
        prop_assert_eq!(chosen.len(), nodes.len().min(CANDIDATES));
        prop_assert_eq!(chosen[0], &nodes[0].0);
        let contacted = &chosen[..chosen.len().min(CONTACTED)];
        if zones.len() >= 2 && nodes.len() >= 2 {
            prop_assert!(contacted.len() > max_in_one_zone(contacted), "{:?}", chosen);
        }
    }
}
