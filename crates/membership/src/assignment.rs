//! Rendezvous hashing of partitions to cells and nodes, and of duties to members of a cell.

use elderworks_types::{CellId, NodeId, PartitionId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A task that a few members of a cell perform on behalf of the whole cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Probes other cells and exchanges digests with them.
    Relay,
    /// Reads the control stream from the log, so that the other members can fetch it from a peer.
    ControlReader,
}

/// Returns the node that should own `partition`, or `None` if `nodes` is empty.
///
/// Adding or removing a node only reassigns partitions to or from that node.
pub fn owner_of<'a>(
    partition: PartitionId,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    nodes.max_by_key(|node| (weight(node.as_str(), u64::from(partition.0)), *node))
}

/// Returns the cell whose nodes should own `partition`, or `None` if `cells` is empty.
pub fn cell_of<'a>(
    partition: PartitionId,
    cells: impl Iterator<Item = &'a CellId>,
) -> Option<&'a CellId> {
    cells.max_by_key(|cell| (weight(cell.as_str(), u64::from(partition.0)), *cell))
}

/// Returns up to `count` of `nodes` that perform `duty`, in descending order of preference.
pub fn duty_holders<'a>(
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

/// Returns a hash seed above the range of partition numbers, so that duties are assigned
/// independently of partition ownership.
fn duty_seed(duty: Duty) -> u64 {
    match duty {
        Duty::Relay => 1 << 32,
        Duty::ControlReader => 2 << 32,
    }
}

/// Returns the rendezvous weight of a node or cell.
fn weight(name: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
