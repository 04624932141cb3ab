//! The process's clock.

use std::time::Instant;

use elderworks_types::Timestamp;

/// Reads the monotonic clock only: the time of day may jump and decides nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts at a time well after zero, which stands for "never".
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The present reading.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(1) + self.started.elapsed()
    }
}
