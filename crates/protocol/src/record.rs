//! What every record on the log carries, whatever its body.

use elderworks_types::{Epoch, Incarnation, NodeId, PartitionId, Sequence};
use serde::{Deserialize, Serialize};

/// The process incarnation that wrote a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// The node.
    pub node: NodeId,
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// One record. A repeated append after a lost answer repeats `(writer, sequence)` and is dropped by
/// every reader; a record whose epoch is not the stream's current one is void for every reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<B> {
    /// Who wrote it.
    pub writer: Writer,
    /// Its number among that writer's records on this stream, from 1 without gaps.
    pub sequence: Sequence,
    /// The ownership epoch under which it was written; 0 on the control stream.
    pub epoch: Epoch,
    /// What it says.
    pub body: B,
}

/// What one append carries: the records that one writer had ready, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch<B> {
    /// At least one record.
    pub records: Vec<Record<B>>,
}

/// A stream of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum StreamName {
    /// Resources and node incarnations.
    Control,
    /// The journal of one partition.
    Partition(PartitionId),
}

impl std::fmt::Display for StreamName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StreamName::Control => formatter.write_str("control"),
            StreamName::Partition(partition) => write!(formatter, "partition-{partition}"),
        }
    }
}
