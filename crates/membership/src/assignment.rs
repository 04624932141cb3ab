//! Rendezvous hashing: partitions onto cells and nodes, duties onto members of a cell.

use elderworks_types::{CellId, NodeId, PartitionId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A duty that a few members of a cell carry for the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Probes other cells and exchanges digests with them.
    Relay,
    /// Reads the control stream from the log; the others fetch from peers.
    ControlReader,
}

/// The node that should own `partition`, out of those offered; `None` if none is.
///
/// When a node comes or goes, only the partitions that it wins or held change owner.
pub fn owner_of<'a>(
    partition: PartitionId,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    nodes.max_by_key(|node| (weight(node.as_str(), u64::from(partition.0)), *node))
}

/// The cell in which `partition` should be owned, out of those offered; `None` if none is.
pub fn cell_of<'a>(
    partition: PartitionId,
    cells: impl Iterator<Item = &'a CellId>,
) -> Option<&'a CellId> {
    cells.max_by_key(|cell| (weight(cell.as_str(), u64::from(partition.0)), *cell))
}

/// The `count` nodes that carry a duty, out of those offered, the foremost first.
pub fn bearers_of<'a>(
    duty: Duty,
    count: usize,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Vec<&'a NodeId> {
    let seed = duty_seed(duty);
    let mut ranked: Vec<&NodeId> = nodes.collect();
    ranked.sort_by_key(|node| std::cmp::Reverse((weight(node.as_str(), seed), *node)));
    ranked.truncate(count);
    ranked
}

/// Seeds above the range of partition numbers, so that duties fall independently of ownership.
fn duty_seed(duty: Duty) -> u64 {
    match duty {
        Duty::Relay => 1 << 32,
        Duty::ControlReader => 2 << 32,
    }
}

fn weight(name: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
