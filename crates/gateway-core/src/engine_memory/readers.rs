//! Which node reads an engine's events.

use elderworks_types::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::peer_loads::WorkerKey;

/// The node that reads an engine: one of the engine's zone, or of any if that zone has none. When it
/// goes, the next one follows from the same order, and no other engine changes its reader.
pub fn reader_of<'a>(
    engine: WorkerKey,
    zone: &str,
    nodes: impl Iterator<Item = (&'a NodeId, &'a str)>,
) -> Option<&'a NodeId> {
    let rank = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(engine.0));
    nodes
        .max_by_key(|(node, of)| (*of == zone, rank(node)))
        .map(|(node, _)| node)
}
