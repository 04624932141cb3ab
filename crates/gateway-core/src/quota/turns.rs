//! Whose turn it is to be told, where there are more nodes than are told at a time.

use super::TOLD_AT_ONCE;

/// Whose turn is next.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportTurns {
    next: usize,
}

impl ReportTurns {
    /// Those of `all`, which should be in the same order each time, that are told now.
    pub fn take<T>(&mut self, mut all: Vec<T>) -> Vec<T> {
        let most = usize::try_from(TOLD_AT_ONCE).unwrap_or(usize::MAX);
        if all.len() > most {
            let start = self.next % all.len();
            all.rotate_left(start);
            all.truncate(most);
            self.next = start + most;
        }
        all
    }
}
