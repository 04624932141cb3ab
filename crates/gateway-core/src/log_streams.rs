//! Streams of records on the platform that this system reads and writes.

use elderworks_types::PartitionId;
use serde::{Deserialize, Serialize};

/// One stream of records, in the product's terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// What the operator publishes; newest per key.
    Configuration,
    /// Entries of the workers; newest per key.
    Workers,
    /// Entries of the nodes; newest per key.
    Nodes,
    /// Budgets and kept turns of the programs of one partition.
    Ledger(PartitionId),
}
