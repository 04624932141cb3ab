//! Round-robin selection of the nodes that receive a quota report, for fleets that are too large to
//! report to every node at once.

use super::MAX_REPORT_TARGETS;

/// Position of the round robin over the other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportTurns {
    next: usize,
}

impl ReportTurns {
    /// Returns the entries of `all` that receive the next report. `all` should be in the same order
    /// each time.
    pub fn take<T>(&mut self, mut all: Vec<T>) -> Vec<T> {
        let max = usize::try_from(MAX_REPORT_TARGETS).unwrap_or(usize::MAX);
        if all.len() > max {
            let start = self.next % all.len();
            all.rotate_left(start);
            all.truncate(max);
            self.next = start + max;
        }
        all
    }
}
