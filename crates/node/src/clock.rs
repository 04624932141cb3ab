//! The process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderworks_types::Timestamp;

/// Reads the wall clock once and the monotonic clock from then on, so that time never runs back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall: Duration,
}

impl Clock {
    /// Starts from the wall clock's present reading.
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            wall,
        }
    }

    /// The present reading.
    pub fn now(&self) -> Timestamp {
        Timestamp(0) + (self.wall + self.started.elapsed())
    }
}
