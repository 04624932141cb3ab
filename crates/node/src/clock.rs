//! The process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderworks_types::Timestamp;

/// A clock that reads the wall clock once and then adds the elapsed monotonic time, so that its
/// readings never decrease.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall: Duration,
}

impl Clock {
    /// Creates a clock that starts at the current wall clock time.
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            wall,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp(0) + (self.wall + self.started.elapsed())
    }
}
