//! Distribution of a partition's witnesses and candidate owners over zones, since a zone may fail
//! as a whole.
//!
//! Both selections follow the ranking that all nodes share (see [`crate::ownership`]) as far as the
//! zones allow. The first candidate never depends on zones, so that nodes of different versions
//! agree on it; witnesses are recorded in the log by the owner that chose them.

use elderworks_types::NodeId;

/// Minimum number of witnesses of which a majority remains after the loss of one.
const MIN_SAFE: usize = 3;

/// A node with its zone.
pub type NodeInZone<'a> = (&'a NodeId, &'a str);

/// Selects up to `max` witnesses for an owner in `own_zone` from the other nodes in `ranked` order.
///
/// If the other nodes are in at least three zones, an odd number of witnesses is selected of which
/// no zone has more than a minority, so that a majority survives the loss of any zone. With fewer
/// zones, a majority survives the loss of the owner's zone if the other zones have enough nodes: in
/// that case the owner is lost too, and the witnesses are needed to fence its overdraft.
pub fn spread_witnesses<'a>(
    ranked: &[NodeInZone<'a>],
    own_zone: &str,
    max: usize,
) -> Vec<&'a NodeId> {
    let odd_counts = (MIN_SAFE..=max).rev().filter(|count| count % 2 == 1);
    for count in odd_counts {
        let minority = (count - 1) / 2;
        let chosen = first_within_caps(ranked, count, |_| minority);
        if chosen.len() == count {
            return names(&chosen);
        }
    }
    witnesses_from_few_zones(ranked, own_zone, max)
}

fn witnesses_from_few_zones<'a>(
    ranked: &[NodeInZone<'a>],
    own_zone: &str,
    max: usize,
) -> Vec<&'a NodeId> {
    let majority = max / 2 + 1;
    let mut chosen = first_within_caps(ranked, max, |zone| match zone == own_zone {
        true => max - majority,
        false => majority,
    });
    for placed in ranked {
        if chosen.len() == max {
            break;
        }
        if !chosen.contains(placed) {
            chosen.push(*placed);
        }
    }
    names(&chosen)
}

/// Returns the first `max` nodes of the ranking with no more than `cap` nodes from each zone.
fn first_within_caps<'a>(
    ranked: &[NodeInZone<'a>],
    max: usize,
    cap: impl Fn(&str) -> usize,
) -> Vec<NodeInZone<'a>> {
    let mut chosen: Vec<NodeInZone<'a>> = Vec::with_capacity(max);
    for placed in ranked {
        if chosen.len() == max {
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

/// Returns the first `max` of the `ranked` nodes such that the first `contacted` ones aren't all in
/// the same zone, if there is another zone: the last of these is replaced by the next node of
/// another zone.
///
/// The ones before it stay: all nodes consider the first one the owner, and the next one becomes
/// the owner if only the first is lost.
pub fn spread_candidates<'a>(
    ranked: impl Iterator<Item = NodeInZone<'a>>,
    contacted: usize,
    max: usize,
) -> Vec<&'a NodeId> {
    let mut chosen: Vec<NodeInZone<'a>> = Vec::with_capacity(max);
    let mut next_in_other_zone = None;
    for placed in ranked {
        let is_in_other_zone = chosen.first().is_some_and(|first| first.1 != placed.1);
        if chosen.len() < max {
            chosen.push(placed);
        }
        if is_in_other_zone {
            next_in_other_zone.get_or_insert(placed);
        }
        if next_in_other_zone.is_some() && chosen.len() == max {
            break;
        }
    }
    let Some(in_other_zone) = next_in_other_zone.filter(|_| contacted > 1) else {
        return names(&chosen);
    };
    let is_spread = chosen
        .iter()
        .take(contacted)
        .any(|placed| placed.1 != chosen[0].1);
    if !is_spread {
        chosen.retain(|placed| *placed != in_other_zone);
        chosen.insert(contacted - 1, in_other_zone);
        chosen.truncate(max);
    }
    names(&chosen)
}
