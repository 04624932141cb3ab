//! The streams of records in the platform's log that the gateway reads and writes.

use elderworks_types::PartitionId;
use serde::{Deserialize, Serialize};

/// A stream of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// Configuration published by the operator, compacted to the newest record per key.
    Configuration,
    /// Entries of workers, compacted to the newest record per key.
    Workers,
    /// Entries of nodes, compacted to the newest record per key.
    Nodes,
    /// Budgets and stored turns of the programs of one partition.
    Ledger(PartitionId),
    /// Recorded use of tenants' quotas, compacted to the newest record per group of tenants.
    QuotaUse,
    /// Recorded software versions of workers, compacted to one record per service and version.
    Versions,
    /// Requests under which workers ended, compacted to one record per node that noted them.
    RequestEnds,
}
