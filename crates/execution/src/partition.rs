//! The state machine of one partition.

use elderworks_protocol::record::Writer;
use elderworks_types::{PartitionId, Timestamp};

use crate::{Effect, Event};

/// Limits and intervals of execution.
#[derive(Clone, Debug)]
pub struct ExecutionSettings {
    /// Attempts of a repeatable call, the first included.
    pub max_attempts: u32,
}

impl Default for ExecutionSettings {
    fn default() -> Self {
        Self { max_attempts: 4 }
    }
}

/// One partition, as one node sees it: follower or owner.
pub struct Partition {
    id: PartitionId,
}

impl Partition {
    /// A partition of which nothing is known yet, on the node incarnation that `writer` names. Its
    /// records must be stamped with the same writer.
    pub fn new(id: PartitionId, _writer: Writer, _settings: ExecutionSettings) -> Self {
        Self { id }
    }

    /// Which partition it is.
    pub fn id(&self) -> PartitionId {
        self.id
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        Vec::new()
    }
}
