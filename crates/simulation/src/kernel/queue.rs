//! Events in order of time; those of one instant in order of scheduling.

use std::collections::BTreeMap;

use super::Instant;

/// The pending events.
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
    /// Adds an event to happen at `at`.
    pub fn schedule(&mut self, at: Instant, event: E) {
        self.scheduled += 1;
        self.pending.insert((at, self.scheduled), event);
    }

    /// Takes the next event and the time at which it happens.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.pending.pop_first()?;
        Some((at, event))
    }
}
