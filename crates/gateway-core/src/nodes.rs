//! The nodes' own entries in the shared directory, and the answer to callers who ask for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elderworks_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

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
    /// Whether it is leaving in order.
    pub draining: bool,
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

/// Every node that has written an entry.
#[derive(Debug, Default)]
pub struct NodeDirectory {
    nodes: BTreeMap<NodeId, KnownNode>,
}

impl NodeDirectory {
    /// Takes an entry unless a later one is known; tells whether it did.
    pub fn upsert(&mut self, node: NodeId, incarnation: Incarnation, record: NodeRecord) -> bool {
        if let Some(known) = self.nodes.get(&node)
            && known.incarnation >= incarnation
        {
            return false;
        }
        self.nodes.insert(
            node,
            KnownNode {
                record,
                incarnation,
            },
        );
        true
    }

    /// Forgets a node whose entry was dropped.
    pub fn remove(&mut self, node: &NodeId) -> bool {
        self.nodes.remove(node).is_some()
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

    /// Addresses for a caller in `zone`: those of its own zone if there are enough, else all; of
    /// nodes that `is_serving` only, and never of one that is leaving.
    pub fn addresses_for(
        &self,
        zone: Option<&str>,
        is_serving: impl Fn(&NodeId) -> bool,
    ) -> Vec<SocketAddr> {
        let serving: Vec<&NodeRecord> = self
            .nodes
            .iter()
            .filter(|(node, known)| !known.record.draining && is_serving(node))
            .map(|(_, known)| &known.record)
            .collect();
        let nearby: Vec<&NodeRecord> = serving
            .iter()
            .copied()
            .filter(|record| Some(record.zone.as_str()) == zone)
            .collect();
        let offered = if nearby.len() >= FEWEST_IN_ZONE {
            nearby
        } else {
            serving
        };
        offered
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(|record| record.callers_address)
            .collect()
    }
}
