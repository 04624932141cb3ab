//! Bounded history of recent changes, from which an interrupted watch resumes.

use std::collections::VecDeque;

use elderworks_types::Offset;

use crate::Change;

/// Maximum number of changes retained.
pub const MAX_RETAINED_CHANGES: usize = 2_048;

/// Recent changes in order of revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    /// Highest revision whose change may have been dropped.
    truncated_at: Offset,
}

impl ChangeLog {
    /// Creates a history that lacks all changes up to and including `truncated_at`.
    pub(crate) fn starting_after(truncated_at: Offset) -> Self {
        Self {
            changes: VecDeque::new(),
            truncated_at,
        }
    }

    /// Appends a change, dropping the oldest if there are too many.
    pub(crate) fn push(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() <= MAX_RETAINED_CHANGES {
            return;
        }
        if let Some(oldest) = self.changes.pop_front() {
            self.truncated_at = oldest.revision;
        }
    }

    /// Returns the changes after `revision`, or `None` if some of them may have been dropped.
    pub(crate) fn since(&self, revision: Offset) -> Option<Vec<Change>> {
        if revision < self.truncated_at {
            return None;
        }
        let first = self
            .changes
            .partition_point(|change| change.revision <= revision);
        Some(self.changes.range(first..).cloned().collect())
    }
}
