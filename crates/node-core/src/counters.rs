//! Counters of one node, read by the driver for `/metrics`.

/// What a node has done since it started. Every bound that sheds load has its own counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received from sidecars.
    pub sidecar_requests: u64,
    /// Requests answered with a pointer to another node.
    pub not_owner: u64,
    /// Requests held back because a takeover was under way.
    pub requests_held: u64,
    /// Requests refused because too many were held back already.
    pub held_overflow: u64,
    /// Requests refused because too many attempts were in progress.
    pub attempts_overflow: u64,
    /// Attempts handed to placement or to a tool.
    pub attempts_started: u64,
    /// Attempts that ran to their end.
    pub attempts_completed: u64,
    /// Attempts that ended without an answer.
    pub attempts_failed: u64,
    /// Chunks, ends and failures of attempts that nobody waits for any more.
    pub stale_attempt_events: u64,
    /// Partitions that this node began to own.
    pub partitions_gained: u64,
    /// Partitions that this node ceased to own.
    pub partitions_lost: u64,
    /// Claims made without waiting for a release.
    pub forced_claims: u64,
    /// Control records received from peers instead of from the log.
    pub relayed_records: u64,
    /// Control records asked for by peers and no longer kept here.
    pub relay_misses: u64,
    /// Releases asked of engines for runs that a takeover found ended.
    pub leftover_releases: u64,
    /// Watches refused because too many were open.
    pub watch_overflow: u64,
    /// Allotment messages that could not be delivered for want of a known owner.
    pub allotments_undeliverable: u64,
    /// Messages from connections that had not introduced themselves as what they claim to be.
    pub unintroduced_messages: u64,
}
