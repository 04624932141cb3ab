//! Appends of one partition a few milliseconds apart, so that each carries what came meanwhile.
//!
//! An append is one call to the log however many records it holds. After a time of rest one goes at
//! once; while others follow it, the next collects requests until the pace is over.

use std::time::Duration;

use elderworks_types::Timestamp;

/// When a partition's last append began.
#[derive(Clone, Copy, Debug)]
pub struct AppendPace {
    pace: Duration,
    began: Option<Timestamp>,
}

impl AppendPace {
    /// At least this time from the begin of one append to that of the next.
    pub fn new(pace: Duration) -> Self {
        Self { pace, began: None }
    }

    /// An append begins.
    pub fn note(&mut self, now: Timestamp) {
        self.began = Some(now);
    }

    /// How long what has come still waits for more; `None` if it does not.
    pub fn wait(&self, now: Timestamp) -> Option<Duration> {
        let began = self.began?;
        let left = self.pace.saturating_sub(now.since(began));
        (!left.is_zero()).then_some(left)
    }
}
