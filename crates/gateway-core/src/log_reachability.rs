//! Tracks whether this node can reach the log.

/// Number of consecutive failed calls after which the log is considered unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 2;

/// Results of this node's latest calls to the log, for all streams together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogReachability {
    consecutive_failures: u32,
}

impl LogReachability {
    /// Records an answered call.
    pub fn note_answer(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a call that was refused or timed out.
    pub fn note_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Returns whether the log is unreachable from this node.
    pub fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_AFTER_FAILURES
    }

    /// Returns whether this node should serve a partition after the candidates before it have
    /// failed. A node that cannot reach the log is of no use to other nodes' partitions, and would
    /// compete with the candidates once the log is reachable again.
    pub fn may_serve(&self, is_candidate: bool) -> bool {
        is_candidate || !self.is_unreachable()
    }
}
