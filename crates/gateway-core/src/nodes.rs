//! Directory of nodes, and selection of the node addresses given to callers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elderworks_types::{Incarnation, NodeId, Offset};
use serde::{Deserialize, Serialize};

use crate::policy::Policy;

/// A node's entry in the directory, written at its start and when it begins to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for other nodes: TCP connections and UDP gossip.
    pub peer_address: SocketAddr,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// CPU capacity in thousandths of a core.
    pub millicores: u32,
    /// Whether the node is draining before a planned stop.
    pub draining: bool,
    /// Random ID of the node's process. A change means that its in-memory state was lost.
    pub boot: u64,
}

/// A record and its position in the directory's stream, which orders the starts of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownNode {
    /// Latest record.
    pub record: NodeRecord,
    /// Position of the record, which is larger for later records.
    pub incarnation: Incarnation,
}

/// Maximum number of addresses in one response.
pub const MAX_ADDRESSES: usize = 64;

/// Minimum number of serving nodes in the caller's zone for offering only these.
const MIN_IN_ZONE: usize = 2;

/// Minimum number of large nodes for offering only these.
const MIN_LARGE: usize = 3;

/// Maximum number of removed entries that are kept for nodes that receive updates from this one.
const MAX_REMOVED: usize = 1_024;

/// Directory of all nodes that have an entry.
#[derive(Debug)]
pub struct NodeDirectory {
    nodes: BTreeMap<NodeId, KnownNode>,
    /// Offsets at which entries were removed, limited to the latest ones.
    removed: BTreeMap<NodeId, Offset>,
    /// Whether only large nodes are offered if there are enough of them.
    prefers_large: bool,
}

impl Default for NodeDirectory {
    fn default() -> Self {
        Self::new(&Policy::default())
    }
}

impl NodeDirectory {
    /// Creates an empty directory.
    pub fn new(policy: &Policy) -> Self {
        Self {
            nodes: BTreeMap::new(),
            removed: BTreeMap::new(),
            prefers_large: policy.large_nodes,
        }
    }

    /// Inserts an entry unless a later one is known. Returns whether it was inserted.
    pub fn upsert(&mut self, node: NodeId, incarnation: Incarnation, record: NodeRecord) -> bool {
        if let Some(known) = self.nodes.get(&node)
            && known.incarnation >= incarnation
        {
            return false;
        }
        self.removed.remove(&node);
        self.nodes.insert(
            node,
            KnownNode {
                record,
                incarnation,
            },
        );
        true
    }

    /// Removes a node whose entry was removed by the record at `offset`, unless a later entry is
    /// known. Returns whether a node was removed.
    pub fn remove(&mut self, node: &NodeId, offset: Offset) -> bool {
        let known = self.nodes.get(node).map(|known| known.incarnation.0);
        if known.is_some_and(|known| known > offset.0) {
            return false;
        }
        self.removed.insert(node.clone(), offset);
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, offset)| **offset);
            let Some(oldest) = oldest.map(|(node, _)| node.clone()) else {
                break;
            };
            self.removed.remove(&oldest);
        }
        self.nodes.remove(node).is_some()
    }

    /// Returns the nodes whose entries were removed at or after an offset, with the offsets.
    pub fn dropped_since(&self, since: Offset) -> impl Iterator<Item = (&NodeId, Offset)> {
        let dropped = self.removed.iter().map(|(node, offset)| (node, *offset));
        dropped.filter(move |(_, offset)| *offset >= since)
    }

    /// Returns the entry of a node.
    pub fn get(&self, node: &NodeId) -> Option<&KnownNode> {
        self.nodes.get(node)
    }

    /// Returns the number of nodes.
    pub fn count(&self) -> u32 {
        u32::try_from(self.nodes.len()).unwrap_or(u32::MAX)
    }

    /// Returns all nodes with their entries, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &KnownNode)> {
        self.nodes.iter()
    }

    /// Returns the addresses for a caller in `zone`, which are those of [`Self::offered`].
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

    /// Returns the nodes offered to callers in `zone`: those of the zone if there are enough,
    /// otherwise those of all zones. Of these, only the large ones are offered if there are enough,
    /// since fewer nodes need fewer connections to workers and large nodes handle bursts better.
    /// Excludes draining nodes and those for which `is_serving` does not hold.
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
        if nearby.len() >= MIN_IN_ZONE {
            self.preferred(nearby)
        } else {
            self.preferred(serving)
        }
    }

    /// Returns the union of [`Self::offered`] over all zones that have nodes, computed in one pass
    /// over the nodes.
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
        let has_few = zones.values().any(|nearby| nearby.len() < MIN_IN_ZONE);
        let mut offered: BTreeSet<&NodeId> = zones
            .into_values()
            .filter(|nearby| nearby.len() >= MIN_IN_ZONE)
            .flat_map(|nearby| self.preferred(nearby))
            .map(|(node, _)| node)
            .collect();
        if has_few {
            let everywhere = self.preferred(serving);
            offered.extend(everywhere.into_iter().map(|(node, _)| node));
        }
        offered
    }

    /// Applies the preference for large nodes.
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

/// Returns the nodes with at least half of the largest capacity, or all nodes if these are too few.
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
    if large.len() >= MIN_LARGE {
        large
    } else {
        nodes
    }
}
