//! The process's clock.

use std::time::{Duration, Instant};

use elderworks_types::Timestamp;

/// A monotonic clock. The wall clock isn't used because it may jump.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the start plus one microsecond, so that no reading is zero, which
    /// means "never".
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(1) + self.started.elapsed()
    }
}

/// Returns a duration in milliseconds for a log line or a metric; -1 if it is `None`.
pub(crate) fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}
