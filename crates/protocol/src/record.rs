//! Records of the platform's log, independent of the type of their body.

use elderworks_types::{Epoch, Incarnation, NodeId, PartitionId, Sequence};
use serde::{Deserialize, Serialize};

/// The process incarnation that wrote a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// The node.
    pub node: NodeId,
    /// The node's process start.
    pub incarnation: Incarnation,
}

/// One record of a stream.
///
/// An append that is retried after a lost reply may store a record twice; readers drop the duplicate by
/// its `(writer, sequence)`. Readers ignore a record whose epoch is not the current epoch of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<B> {
    /// The writer.
    pub writer: Writer,
    /// Number of the record among the writer's records on this stream, from 1 without gaps.
    pub sequence: Sequence,
    /// Ownership epoch of the writer; 0 on the control stream.
    pub epoch: Epoch,
    /// The content.
    pub body: B,
}

/// The content of one append: consecutive records of one writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch<B> {
    /// The records, in sequence order; at least one.
    pub records: Vec<Record<B>>,
}

/// A stream of the platform's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum StreamName {
    /// The control stream with resources and node incarnations.
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
