//! Where the hollow nodes stand: regions, zones, cells, addresses and delays.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::{CellId, NodeId, ZoneId};

/// Nodes of a full cell.
pub const NODES_PER_CELL: usize = 20;

/// Zones of the target fleet; a small fleet uses fewer.
pub const ZONES: usize = 28;

/// Regions of the target fleet.
pub const REGIONS: usize = 9;

/// Nodes that every node is given as seeds.
const SEEDS: usize = 10;

const GOSSIP_PORT: u16 = 7_000;
const SAME_ZONE_DELAY: Duration = Duration::from_micros(300);
const SAME_REGION_DELAY: Duration = Duration::from_micros(1_500);
const OTHER_REGION_DELAY: Duration = Duration::from_millis(40);

/// Places of `nodes` hollow nodes.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// How many nodes.
    pub nodes: usize,
}

impl Layout {
    /// Number of cells.
    pub fn cells(self) -> usize {
        self.nodes.div_ceil(NODES_PER_CELL)
    }

    /// Number of the node's cell.
    pub fn cell(self, node: usize) -> usize {
        node / NODES_PER_CELL
    }

    /// Number of the node's zone: cells are dealt to zones in turn.
    pub fn zone(self, node: usize) -> usize {
        self.cell(node) % ZONES
    }

    /// Number of the node's region.
    pub fn region(self, node: usize) -> usize {
        self.zone(node) % REGIONS
    }

    /// Name of the node.
    pub fn name(self, node: usize) -> NodeId {
        NodeId::new(format!("node-{node:04}"))
    }

    /// Name of the node's zone.
    pub fn zone_name(self, node: usize) -> ZoneId {
        ZoneId::new(format!("zone-{:02}", self.zone(node)))
    }

    /// Name of the node's cell.
    pub fn cell_name(self, node: usize) -> CellId {
        let number = self.cell(node) / ZONES;
        CellId::new(format!("zone-{:02}/{number}", self.zone(node)))
    }

    /// Address of the node.
    pub fn address(self, node: usize) -> SocketAddr {
        let [_, _, high, low] = (node as u32).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], GOSSIP_PORT))
    }

    /// The node at an address.
    pub fn node_at(self, address: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        let [_, _, high, low] = address.ip().octets();
        let node = usize::from(high) << 8 | usize::from(low);
        (node < self.nodes).then_some(node)
    }

    /// Addresses of the seeds, spread over the fleet.
    pub fn seeds(self) -> Vec<SocketAddr> {
        let step = self.nodes.div_ceil(SEEDS).max(1);
        (0..self.nodes)
            .step_by(step)
            .map(|node| self.address(node))
            .collect()
    }

    /// One-way delay between two nodes.
    pub fn delay(self, from: usize, to: usize) -> Duration {
        if self.zone(from) == self.zone(to) {
            SAME_ZONE_DELAY
        } else if self.region(from) == self.region(to) {
            SAME_REGION_DELAY
        } else {
            OTHER_REGION_DELAY
        }
    }
}

#[cfg(test)]
mod tests;
