//! The nodes' own entries in the shared directory, and the answer to callers who ask for them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elderworks_types::{Incarnation, NodeId, Offset};
use serde::{Deserialize, Serialize};

use crate::policy::Policy;

/// A node's own entry, written at its start and when it begins to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where other nodes connect (TCP) and gossip (UDP).
    pub peer_address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its processor capacity in thousandths of a core.
    pub millicores: u32,
    /// Whether it is leaving in order.
    pub draining: bool,
    /// Names this start of the node, by chance: what it remembered before is gone.
    pub boot: u64,
}

/// A record together with its position in the directory, which orders the starts of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownNode {
    /// The latest record.
    pub record: NodeRecord,
    /// Position of that record; later records have larger ones.
    pub incarnation: Incarnation,
}

/// Most addresses in one answer.
pub const MAX_ADDRESSES: usize = 64;

/// Fewest nodes of the caller's own zone that are offered alone; with fewer, all zones are.
const FEWEST_IN_ZONE: usize = 2;

/// Fewest large nodes that are offered without the small ones beside them.
const FEWEST_LARGE: usize = 3;

/// Dropped entries that are remembered for nodes that hear of them from this one.
const MOST_DROPPED: usize = 1_024;

/// Every node that has written an entry.
#[derive(Debug)]
pub struct NodeDirectory {
    nodes: BTreeMap<NodeId, KnownNode>,
    /// Where the entries of nodes that are gone for good were dropped, the latest ones.
    dropped: BTreeMap<NodeId, Offset>,
    /// Whether large nodes are offered alone if there are enough.
    prefers_large: bool,
}

impl Default for NodeDirectory {
    fn default() -> Self {
        Self::new(&Policy::default())
    }
}

impl NodeDirectory {
    /// Knows no node yet.
    pub fn new(policy: &Policy) -> Self {
        Self {
            nodes: BTreeMap::new(),
            dropped: BTreeMap::new(),
            prefers_large: policy.large_nodes,
        }
    }

    /// Takes an entry unless a later one is known; tells whether it did.
    pub fn upsert(&mut self, node: NodeId, incarnation: Incarnation, record: NodeRecord) -> bool {
        if let Some(known) = self.nodes.get(&node)
            && known.incarnation >= incarnation
        {
            return false;
        }
        self.dropped.remove(&node);
        self.nodes.insert(
            node,
            KnownNode {
                record,
                incarnation,
            },
        );
        true
    }

    /// Forgets a node whose entry was dropped by the record at `offset`; tells whether it was known.
    pub fn remove(&mut self, node: &NodeId, offset: Offset) -> bool {
        let known = self.nodes.get(node).map(|known| known.incarnation.0);
        if known.is_some_and(|known| known > offset.0) {
            return false;
        }
        self.dropped.insert(node.clone(), offset);
        while self.dropped.len() > MOST_DROPPED {
            let oldest = self.dropped.iter().min_by_key(|(_, offset)| **offset);
            let Some(oldest) = oldest.map(|(node, _)| node.clone()) else {
                break;
            };
            self.dropped.remove(&oldest);
        }
        self.nodes.remove(node).is_some()
    }

    /// Nodes whose entries were dropped from an offset on, with where.
    pub fn dropped_since(&self, since: Offset) -> impl Iterator<Item = (&NodeId, Offset)> {
        let dropped = self.dropped.iter().map(|(node, offset)| (node, *offset));
        dropped.filter(move |(_, offset)| *offset >= since)
    }

    /// The entry of a node.
    pub fn get(&self, node: &NodeId) -> Option<&KnownNode> {
        self.nodes.get(node)
    }

    /// How many nodes have an entry.
    pub fn count(&self) -> u32 {
        u32::try_from(self.nodes.len()).unwrap_or(u32::MAX)
    }

    /// Every node with its entry, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &KnownNode)> {
        self.nodes.iter()
    }

    /// Addresses for a caller in `zone`: those of [`Self::offered`].
    pub fn addresses_for(
        &self,
        zone: Option<&str>,
        is_serving: impl Fn(&NodeId) -> bool,
    ) -> Vec<SocketAddr> {
        self.offered(zone, is_serving)
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(|(_, record)| record.callers_address)
            .collect()
    }

    /// The nodes that callers in `zone` are sent to: those of that zone if there are enough, else
    /// of all zones; of these the large ones if there are enough, since fewer nodes need fewer
    /// connections to workers, and a large one is the last to be slowed by a burst. Only nodes
    /// that are `is_serving`, and never one that is leaving.
    pub fn offered(
        &self,
        zone: Option<&str>,
        is_serving: impl Fn(&NodeId) -> bool,
    ) -> Vec<(&NodeId, &NodeRecord)> {
        let serving: Vec<(&NodeId, &NodeRecord)> = self
            .nodes
            .iter()
            .filter(|(node, known)| !known.record.draining && is_serving(node))
            .map(|(node, known)| (node, &known.record))
            .collect();
        let nearby: Vec<(&NodeId, &NodeRecord)> = serving
            .iter()
            .copied()
            .filter(|(_, record)| Some(record.zone.as_str()) == zone)
            .collect();
        if nearby.len() >= FEWEST_IN_ZONE {
            self.preferred(nearby)
        } else {
            self.preferred(serving)
        }
    }

    /// The nodes that callers of any zone are sent to: those of [`Self::offered`] for all zones that
    /// have nodes, in one pass over the nodes.
    pub fn offered_in_any_zone(&self, is_serving: impl Fn(&NodeId) -> bool) -> BTreeSet<&NodeId> {
        let mut zones: BTreeMap<&str, Vec<(&NodeId, &NodeRecord)>> = BTreeMap::new();
        let mut serving = Vec::new();
        for (node, known) in &self.nodes {
            let nearby = zones.entry(&known.record.zone).or_default();
            if !known.record.draining && is_serving(node) {
                nearby.push((node, &known.record));
                serving.push((node, &known.record));
            }
        }
        let has_few = zones.values().any(|nearby| nearby.len() < FEWEST_IN_ZONE);
        let mut offered: BTreeSet<&NodeId> = zones
            .into_values()
            .filter(|nearby| nearby.len() >= FEWEST_IN_ZONE)
            .flat_map(|nearby| self.preferred(nearby))
            .map(|(node, _)| node)
            .collect();
        if has_few {
            let everywhere = self.preferred(serving);
            offered.extend(everywhere.into_iter().map(|(node, _)| node));
        }
        offered
    }

    fn preferred<'a>(
        &self,
        nodes: Vec<(&'a NodeId, &'a NodeRecord)>,
    ) -> Vec<(&'a NodeId, &'a NodeRecord)> {
        match self.prefers_large {
            true => large_if_enough(nodes),
            false => nodes,
        }
    }
}

/// Those with at least half of the largest one's capacity, unless they are too few.
fn large_if_enough<'a>(
    nodes: Vec<(&'a NodeId, &'a NodeRecord)>,
) -> Vec<(&'a NodeId, &'a NodeRecord)> {
    let largest = nodes.iter().map(|(_, record)| record.millicores).max();
    let is_large = |record: &NodeRecord| record.millicores >= largest.unwrap_or(0) / 2;
    let large: Vec<(&NodeId, &NodeRecord)> = nodes
        .iter()
        .copied()
        .filter(|(_, record)| is_large(record))
        .collect();
    if large.len() >= FEWEST_LARGE {
        large
    } else {
        nodes
    }
}
