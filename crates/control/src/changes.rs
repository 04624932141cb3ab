//! Bounded memory of recent changes, from which a broken watch resumes.

use std::collections::VecDeque;

use elderworks_types::Offset;

use crate::Change;

/// How many changes are remembered.
pub const MAX_RETAINED_CHANGES: usize = 2_048;

/// The latest changes, in order of revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    /// Highest revision whose change may be missing here.
    forgotten: Offset,
}

impl ChangeLog {
    /// Remembers nothing at or before `forgotten`.
    pub(crate) fn starting_after(forgotten: Offset) -> Self {
        Self {
            changes: VecDeque::new(),
            forgotten,
        }
    }

    /// Adds the latest change, dropping the oldest one if there are too many.
    pub(crate) fn push(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() <= MAX_RETAINED_CHANGES {
            return;
        }
        if let Some(oldest) = self.changes.pop_front() {
            self.forgotten = oldest.revision;
        }
    }

    /// Changes after `revision`, or `None` if some of them may be forgotten.
    pub(crate) fn since(&self, revision: Offset) -> Option<Vec<Change>> {
        if revision < self.forgotten {
            return None;
        }
        let first = self
            .changes
            .partition_point(|change| change.revision <= revision);
        Some(self.changes.range(first..).cloned().collect())
    }
}
