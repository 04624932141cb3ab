//! Which node should own each partition, by this node's view of the members.

use elderworks_membership::{Membership, owner_of};
use elderworks_types::{NodeId, PartitionId};

/// The wanted owner of every partition.
#[derive(Debug)]
pub(crate) struct Assignment {
    owners: Vec<Option<NodeId>>,
}

impl Assignment {
    /// Nobody owns anything: what a node believes before it has joined.
    pub(crate) fn unknown(partition_count: u32) -> Self {
        Self {
            owners: vec![None; partition_count as usize],
        }
    }

    /// Assigns every partition anew over the members that may own; a leaving node leaves itself out.
    pub(crate) fn recompute(&mut self, membership: &Membership, leaving: Option<&NodeId>) {
        let eligible: Vec<&NodeId> = membership
            .eligible_owners()
            .filter(|node| Some(*node) != leaving)
            .collect();
        for (partition, owner) in (0..).zip(&mut self.owners) {
            let chosen = owner_of(PartitionId(partition), eligible.iter().copied());
            *owner = chosen.cloned();
        }
    }

    pub(crate) fn owner(&self, partition: PartitionId) -> Option<&NodeId> {
        self.owners.get(partition.0 as usize)?.as_ref()
    }

    pub(crate) fn assigned_to<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = PartitionId> + 'a {
        (0..)
            .zip(&self.owners)
            .filter(move |(_, owner)| owner.as_ref() == Some(node))
            .map(|(partition, _)| PartitionId(partition))
    }
}
