//! Event queue ordered by time, and by scheduling order among events of the same instant.

use std::collections::BTreeMap;

use super::Instant;

/// Queue of pending events.
#[derive(Debug)]
pub struct EventQueue<E> {
    pending: BTreeMap<(Instant, u64), E>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            scheduled: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at `at`.
    pub fn schedule(&mut self, at: Instant, event: E) {
        self.scheduled += 1;
        self.pending.insert((at, self.scheduled), event);
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.pending.pop_first()?;
        Some((at, event))
    }
}
