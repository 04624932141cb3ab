//! Witnesses and candidates are spread over zones.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_gateway_core::zone_spread::{NodeInZone, spread_candidates, spread_witnesses};
use elderworks_types::NodeId;
use proptest::prelude::*;

const MOST_WITNESSES: usize = 5;
const ASKED: usize = 3;
const CANDIDATES: usize = 4;

/// One node for each letter, which is its zone, in the order of the text.
fn fleet(zones: &str) -> Vec<(NodeId, String)> {
    let letters = zones.chars().enumerate();
    letters
        .map(|(number, zone)| (NodeId::new(format!("{zone}{number}")), zone.to_string()))
        .collect()
}

fn placed(fleet: &[(NodeId, String)]) -> Vec<NodeInZone<'_>> {
    fleet
        .iter()
        .map(|(node, zone)| (node, zone.as_str()))
        .collect()
}

fn zone_of(node: &NodeId) -> String {
    node.as_str().chars().take(1).collect()
}

fn most_in_one_zone(nodes: &[&NodeId]) -> usize {
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
fn witnesses_keep_to_the_order_as_far_as_zones_allow() {
    for (order, own_zone, expected) in [
        // No zone has more than two of five.
        ("aaaabbccdd", "a", "a0 a1 b4 b5 c6"),
        ("abcdabcd", "a", "a0 b1 c2 d3 a4"),
        // Five do not go, so three.
        ("aaaaaabc", "a", "a0 b6 c7"),
        // Two zones: the majority outlives the owner's.
        ("aaaaabbbbb", "a", "a0 a1 b5 b6 b7"),
        ("aaaaabbbbb", "b", "a0 a1 a2 b5 b6"),
        ("aaaaab", "a", "a0 a1 b5 a2 a3"),
        // One zone: as they come.
        ("aaaaaaa", "a", "a0 a1 a2 a3 a4"),
        ("bbbbbbb", "a", "b0 b1 b2 b3 b4"),
        ("a", "a", "a0"),
        ("", "a", ""),
    ] {
        let fleet = fleet(order);
        let chosen = spread_witnesses(&placed(&fleet), own_zone, MOST_WITNESSES);
        let names: Vec<&str> = chosen.iter().map(|node| node.as_str()).collect();
        assert_eq!(names.join(" "), expected, "{order}, owner in {own_zone}");
    }
}

#[test]
fn the_last_candidate_that_is_asked_is_of_another_zone_if_the_others_are_of_one() {
    for (order, expected) in [
        ("abcd", "a0 b1 c2 d3"),
        ("aabb", "a0 a1 b2 b3"),
        ("aaabb", "a0 a1 b3 a2"),
        ("aaaaaac", "a0 a1 c6 a2"),
        ("aaaa", "a0 a1 a2 a3"),
        ("aaaaaa", "a0 a1 a2 a3"),
        ("ab", "a0 b1"),
        ("", ""),
    ] {
        let fleet = fleet(order);
        let chosen = spread_candidates(placed(&fleet).into_iter(), ASKED, CANDIDATES);
        let names: Vec<&str> = chosen.iter().map(|node| node.as_str()).collect();
        assert_eq!(names.join(" "), expected, "{order}");
    }
}

proptest! {
    #[test]
    fn the_loss_of_any_zone_leaves_a_majority_of_witnesses(
        order in "[a-e]{0,40}",
        own_zone in "[a-e]",
    ) {
        let fleet = fleet(&order);
        let zones: BTreeSet<char> = order.chars().collect();
        let chosen = spread_witnesses(&placed(&fleet), &own_zone, MOST_WITNESSES);
        let distinct: BTreeSet<&NodeId> = chosen.iter().copied().collect();
        prop_assert_eq!(distinct.len(), chosen.len());
        if zones.len() >= 3 {
            let left = chosen.len() - most_in_one_zone(&chosen);
            prop_assert!(left >= majority(chosen.len()), "{:?}", chosen);
        } else {
            prop_assert_eq!(chosen.len(), fleet.len().min(MOST_WITNESSES));
        }
    }

    #[test]
    fn with_two_zones_the_loss_of_the_owners_leaves_a_majority(
        order in "[ab]{0,20}",
        own_zone in "[ab]",
    ) {
        let fleet = fleet(&order);
        let elsewhere = fleet.iter().filter(|(_, zone)| *zone != own_zone).count();
        prop_assume!(elsewhere >= majority(MOST_WITNESSES));
        let chosen = spread_witnesses(&placed(&fleet), &own_zone, MOST_WITNESSES);
        let left = chosen.iter().filter(|node| zone_of(node) != own_zone).count();
        prop_assert!(left >= majority(chosen.len()), "{:?}", chosen);
    }

    #[test]
    fn the_loss_of_any_zone_leaves_a_candidate_and_the_foremost_stays(order in "[a-d]{1,40}") {
        let fleet = fleet(&order);
        let zones: BTreeSet<char> = order.chars().collect();
        let chosen = spread_candidates(placed(&fleet).into_iter(), ASKED, CANDIDATES);
        prop_assert_eq!(chosen.len(), fleet.len().min(CANDIDATES));
        prop_assert_eq!(chosen[0], &fleet[0].0);
        let asked = &chosen[..chosen.len().min(ASKED)];
        if zones.len() >= 2 && fleet.len() >= 2 {
            prop_assert!(asked.len() > most_in_one_zone(asked), "{:?}", chosen);
        }
    }
}
