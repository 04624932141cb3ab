//! Determines when a node serves a partition in place of the candidates ranked before it.
//!
//! Serving a partition starts with reading it completely, and all reads share the bandwidth of the
//! log. A node that takes over too early slows down the preferred candidate, so that other nodes
//! skip it as well. After a simultaneous start of all nodes, every node would then read every
//! partition.

use std::time::Duration;

/// Time after its own start for which a node assumes that an unreachable candidate is still
/// starting. Long enough for processes on slow machines that start simultaneously, and short enough
/// for waiting callers if only this node has started.
pub const PEER_START_GRACE: Duration = Duration::from_millis(300);

/// Time after its own start for which a node assumes that a candidate which replies "unavailable"
/// is still reading the partition. A multiple of the time that reading takes on a slow machine.
pub const PEER_READ_GRACE: Duration = Duration::from_millis(1_500);

/// Why a candidate did not carry out a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It replied that it is unavailable.
    Unavailable,
    /// It is unreachable or shows no sign of life.
    Absent,
}

/// Restrains failover while nodes are starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupGrace {
    /// Time since the start of this node.
    pub age: Duration,
}

impl StartupGrace {
    /// Returns whether to skip a candidate, that is, to ask the next one or to serve the partition
    /// in its place. If not, the request is retried after a delay while its caller has time left.
    pub fn may_skip(&self, reason: SkipReason) -> bool {
        match reason {
            // It is reading the partition, as any other node would have to.
            SkipReason::Unavailable => self.age >= PEER_READ_GRACE,
            SkipReason::Absent => self.age >= PEER_START_GRACE,
        }
    }

    /// Returns whether to serve a partition for which no other candidate is known. Before joining,
    /// a node may not know the others yet.
    pub fn may_serve_alone(&self, has_joined: bool) -> bool {
        has_joined || self.age >= PEER_START_GRACE
    }
}
