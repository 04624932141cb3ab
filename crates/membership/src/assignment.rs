//! Rendezvous hashing of partitions onto nodes.

use elderworks_types::{NodeId, PartitionId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The node that should own `partition`, out of those offered; `None` if none is.
///
/// When a node comes or goes, only the partitions that it wins or held change owner.
pub fn owner_of<'a>(
    partition: PartitionId,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    nodes.max_by_key(|node| (weight(partition, node), *node))
}

fn weight(partition: PartitionId, node: &NodeId) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(partition.0))
}
