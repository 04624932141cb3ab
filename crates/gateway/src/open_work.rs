//! Counts what was accepted and must complete before the process exits.

use std::cell::Cell;
use std::rc::Rc;

/// Number of items of one kind that are in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkCounter(Rc<Cell<u32>>);

impl WorkCounter {
    /// Counts an item until the guard is dropped.
    pub(crate) fn begin(&self) -> WorkGuard {
        self.0.set(self.0.get() + 1);
        WorkGuard(self.0.clone())
    }

    /// Returns the number of items in progress.
    pub(crate) fn count(&self) -> u32 {
        self.0.get()
    }
}

/// An item in progress.
#[derive(Debug)]
pub(crate) struct WorkGuard(Rc<Cell<u32>>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
