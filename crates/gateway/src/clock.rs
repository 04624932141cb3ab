//! The process's clock.

use std::time::{Duration, Instant};

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

/// Milliseconds for a log line or a figure; -1 if there is no such time.
pub(crate) fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}
