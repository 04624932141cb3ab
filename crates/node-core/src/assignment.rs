//! Assignment of partitions to nodes and cells, derived from this node's view of the membership.

use elderworks_membership::{Membership, PartitionHome};
use elderworks_types::{CellId, NodeId, PartitionId};

/// The node or cell that should own a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Home {
    /// A node of this node's cell.
    Node(NodeId),
    /// Another cell.
    Cell(CellId),
}

/// The assigned home of each partition.
#[derive(Debug)]
pub(crate) struct Assignment {
    homes: Vec<Option<Home>>,
}

impl Assignment {
    /// Creates an assignment in which no partition has a home, as before the node has joined.
    pub(crate) fn unknown(partition_count: u32) -> Self {
        Self {
            homes: vec![None; partition_count as usize],
        }
    }

    /// Recomputes the home of every partition.
    pub(crate) fn recompute(&mut self, membership: &Membership) {
        for (partition, home) in (0..).zip(&mut self.homes) {
            let chosen = membership.home_of(PartitionId(partition));
            *home = chosen.map(|chosen| match chosen {
                PartitionHome::Node(node) => Home::Node(node),
                PartitionHome::Cell(digest) => Home::Cell(digest.cell),
            });
        }
    }

    /// Returns whether the partition has a home.
    pub(crate) fn is_known(&self, partition: PartitionId) -> bool {
        self.home(partition).is_some()
    }

    /// Returns the assigned owner if it is in this node's cell.
    pub(crate) fn owner(&self, partition: PartitionId) -> Option<&NodeId> {
        match self.home(partition)? {
            Home::Node(node) => Some(node),
            Home::Cell(_) => None,
        }
    }

    /// Returns the assigned cell if it is not the cell of this node.
    pub(crate) fn other_cell(&self, partition: PartitionId) -> Option<&CellId> {
        match self.home(partition)? {
            Home::Node(_) => None,
            Home::Cell(cell) => Some(cell),
        }
    }

    /// Returns the partitions assigned to a node, in ascending order.
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
