//! Assignment of engines to the nodes that read their events.

use elderworks_types::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::peer_loads::WorkerKey;

/// Returns the node that reads an engine, in the engine's zone if there is one.
///
/// Uses rendezvous hashing: when a node leaves, only the engines that it read get another reader.
pub fn reader_of<'a>(
    engine: WorkerKey,
    zone: &str,
    nodes: impl Iterator<Item = (&'a NodeId, &'a str)>,
) -> Option<&'a NodeId> {
    let rank = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(engine.0));
    nodes
        .max_by_key(|(node, node_zone)| (*node_zone == zone, rank(node)))
        .map(|(node, _)| node)
}
