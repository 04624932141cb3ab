//! Whether the log answers this node, as its own calls show.

/// Calls in a row that must fail before the log is taken to be out of reach.
const FAILURES_BEFORE_LOST: u32 = 2;

/// What the node's last calls to the log have shown, whichever stream they were for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogReachability {
    failures_in_a_row: u32,
}

impl LogReachability {
    /// Notes that the log has answered a call.
    pub fn note_answer(&mut self) {
        self.failures_in_a_row = 0;
    }

    /// Notes that a call was refused or not answered in time.
    pub fn note_failure(&mut self) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
    }

    /// Whether the log is out of this node's reach.
    pub fn is_lost(&self) -> bool {
        self.failures_in_a_row >= FAILURES_BEFORE_LOST
    }

    /// Whether the node should act for a partition after the candidates before it have failed.
    /// One that the log does not answer can do nothing for others, and once the log is back it
    /// would only get in the candidates' way.
    pub fn may_serve(&self, is_candidate: bool) -> bool {
        is_candidate || !self.is_lost()
    }
}
