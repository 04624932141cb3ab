//! Counters shared by the driver's tasks, which all run on one thread.

use std::cell::Cell;
use std::rc::Rc;

use crate::metrics::DriverCounters;

/// A handle to the shared counters; clones refer to the same values.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedCounters(Rc<Cell<DriverCounters>>);

impl SharedCounters {
    /// Increments a counter.
    pub(crate) fn add(&self, counter: impl FnOnce(&mut DriverCounters) -> &mut u64) {
        let mut counters = self.0.get();
        *counter(&mut counters) += 1;
        self.0.set(counters);
    }

    pub(crate) fn get(&self) -> DriverCounters {
        self.0.get()
    }
}
