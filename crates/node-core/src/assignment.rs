//! Where each partition should be owned, by this node's view of members and cells.

use elderworks_membership::{Membership, PartitionHome};
use elderworks_types::{CellId, NodeId, PartitionId};

/// Where a partition should be owned.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Home {
    /// By this node of the cell.
    Node(NodeId),
    /// In another cell.
    Cell(CellId),
}

/// The wanted home of every partition.
#[derive(Debug)]
pub(crate) struct Assignment {
    homes: Vec<Option<Home>>,
}

impl Assignment {
    /// Nobody owns anything: what a node believes before it has joined.
    pub(crate) fn unknown(partition_count: u32) -> Self {
        Self {
            homes: vec![None; partition_count as usize],
        }
    }

    /// Assigns every partition anew.
    pub(crate) fn recompute(&mut self, membership: &Membership) {
        for (partition, home) in (0..).zip(&mut self.homes) {
            let chosen = membership.home_of(PartitionId(partition));
            *home = chosen.map(|chosen| match chosen {
                PartitionHome::Node(node) => Home::Node(node),
                PartitionHome::Cell(digest) => Home::Cell(digest.cell),
            });
        }
    }

    /// Whether anything is known of the partition.
    pub(crate) fn is_known(&self, partition: PartitionId) -> bool {
        self.home(partition).is_some()
    }

    /// The wanted owner, if it is in this node's cell.
    pub(crate) fn owner(&self, partition: PartitionId) -> Option<&NodeId> {
        match self.home(partition)? {
            Home::Node(node) => Some(node),
            Home::Cell(_) => None,
        }
    }

    /// The other cell in which the partition should be owned, if it is one.
    pub(crate) fn other_cell(&self, partition: PartitionId) -> Option<&CellId> {
        match self.home(partition)? {
            Home::Node(_) => None,
            Home::Cell(cell) => Some(cell),
        }
    }

    pub(crate) fn assigned_to<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = PartitionId> + 'a {
        (0..self.homes.len())
            .map(|partition| PartitionId(partition as u32))
            .filter(move |partition| self.owner(*partition) == Some(node))
    }

    fn home(&self, partition: PartitionId) -> Option<&Home> {
        self.homes.get(partition.0 as usize)?.as_ref()
    }
}
