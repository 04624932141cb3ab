//! Counters of a node, exported by the driver at `/metrics`.

/// Totals since the node started. Each limit that rejects work has its own counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received from sidecars.
    pub sidecar_requests: u64,
    /// Requests redirected to another node.
    pub not_owner: u64,
    /// Requests held back during a takeover or while the stream was read to its end.
    pub requests_held: u64,
    /// Requests redirected because too many were already held back; also counted in `not_owner`.
    pub held_overflow: u64,
    /// Requests refused because they would have been held until the log answers again.
    pub refused_during_outage: u64,
    /// Held requests redirected because their partition could not serve them in time; also counted
    /// in `not_owner`.
    pub held_expired: u64,
    /// Pauses of the process that were long enough for other nodes to claim partitions.
    pub pauses: u64,
    /// Attempts refused because too many were in progress.
    pub attempts_overflow: u64,
    /// Attempts handed to placement or to a tool.
    pub attempts_started: u64,
    /// Attempts that completed with an answer.
    pub attempts_completed: u64,
    /// Attempts that ended without an answer.
    pub attempts_failed: u64,
    /// Chunks, completions and failures of attempts that are no longer tracked.
    pub stale_attempt_events: u64,
    /// Times that this node became the owner of a partition.
    pub partitions_gained: u64,
    /// Times that this node stopped being the owner of a partition.
    pub partitions_lost: u64,
    /// Claims made without a release by the previous owner.
    pub forced_claims: u64,
    /// Control records received from peers instead of from the log.
    pub relayed_records: u64,
    /// Requests by peers for control records that are no longer kept.
    pub relay_misses: u64,
    /// Releases requested from engines that still held memory of ended runs.
    pub leftover_releases: u64,
    /// Watches refused because too many were open.
    pub watch_overflow: u64,
    /// Allotment messages dropped because the owner of their partition was unknown.
    pub allotments_undeliverable: u64,
    /// Messages without a preceding hello, or of another kind than the hello announced.
    pub unintroduced_messages: u64,
}
