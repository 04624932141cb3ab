//! Spreads over zones the nodes that remember something for a partition, and those that are asked to
//! act for it: a zone may be lost as a whole.
//!
//! Both begin with an order that all nodes share (see [`crate::ownership`]) and keep to it as far as
//! zones allow. Nodes that spread in different ways, as during an upgrade, agree on the foremost
//! owner; witnesses are named in the log by the owner that chose them.

use elderworks_types::NodeId;

/// Fewest witnesses of which the loss of one leaves a majority.
const FEWEST_SAFE: usize = 3;

/// A node with its zone.
pub type NodeInZone<'a> = (&'a NodeId, &'a str);

/// Up to `most` witnesses for an owner in `own_zone`, of the others in their `ranked` order.
///
/// The loss of any one zone leaves a majority of them, if the others are in three zones or more: of
/// an odd number, no zone has more than a minority. With fewer zones, the loss of the owner's zone
/// leaves a majority, if the others have enough nodes: that loss takes the owner too, and its
/// overdraft has to be fenced.
pub fn spread_witnesses<'a>(
    ranked: &[NodeInZone<'a>],
    own_zone: &str,
    most: usize,
) -> Vec<&'a NodeId> {
    let odd_counts = (FEWEST_SAFE..=most).rev().filter(|count| count % 2 == 1);
    for count in odd_counts {
        let minority = (count - 1) / 2;
        let chosen = capped(ranked, count, |_| minority);
        if chosen.len() == count {
            return names(&chosen);
        }
    }
    witnesses_of_few_zones(ranked, own_zone, most)
}

fn witnesses_of_few_zones<'a>(
    ranked: &[NodeInZone<'a>],
    own_zone: &str,
    most: usize,
) -> Vec<&'a NodeId> {
    let majority = most / 2 + 1;
    let mut chosen = capped(ranked, most, |zone| match zone == own_zone {
        true => most - majority,
        false => majority,
    });
    for placed in ranked {
        if chosen.len() == most {
            break;
        }
        if !chosen.contains(placed) {
            chosen.push(*placed);
        }
    }
    names(&chosen)
}

/// The first `most` of the order, of each zone no more than its cap.
fn capped<'a>(
    ranked: &[NodeInZone<'a>],
    most: usize,
    cap: impl Fn(&str) -> usize,
) -> Vec<NodeInZone<'a>> {
    let mut chosen: Vec<NodeInZone<'a>> = Vec::with_capacity(most);
    for placed in ranked {
        if chosen.len() == most {
            break;
        }
        let of_zone = chosen.iter().filter(|(_, zone)| *zone == placed.1).count();
        if of_zone < cap(placed.1) {
            chosen.push(*placed);
        }
    }
    chosen
}

fn names<'a>(placed: &[NodeInZone<'a>]) -> Vec<&'a NodeId> {
    placed.iter().map(|(node, _)| *node).collect()
}

/// The first `most` of the `ranked` nodes, of which the first `asked` are not all of one zone if there
/// is another one: the last of these places goes to the next node of another zone.
///
/// The places before it stay: the foremost is the owner in the eyes of all nodes, and the next one
/// becomes the owner when it is lost alone.
pub fn spread_candidates<'a>(
    ranked: impl Iterator<Item = NodeInZone<'a>>,
    asked: usize,
    most: usize,
) -> Vec<&'a NodeId> {
    let mut chosen: Vec<NodeInZone<'a>> = Vec::with_capacity(most);
    let mut next_elsewhere = None;
    for placed in ranked {
        let is_elsewhere = chosen.first().is_some_and(|first| first.1 != placed.1);
        if chosen.len() < most {
            chosen.push(placed);
        }
        if is_elsewhere {
            next_elsewhere.get_or_insert(placed);
        }
        if next_elsewhere.is_some() && chosen.len() == most {
            break;
        }
    }
    let Some(elsewhere) = next_elsewhere.filter(|_| asked > 1) else {
        return names(&chosen);
    };
    let is_spread = chosen
        .iter()
        .take(asked)
        .any(|placed| placed.1 != chosen[0].1);
    if !is_spread {
        chosen.retain(|placed| *placed != elsewhere);
        chosen.insert(asked - 1, elsewhere);
        chosen.truncate(most);
    }
    names(&chosen)
}
