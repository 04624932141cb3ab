//! When to work out anew what follows from the nodes, while many of them come and go.
//!
//! Each change may cost work for every node that is known, and nodes that start together bring one
//! change each: taken one by one, that is the square of their number on every machine. A change
//! after a time of rest is acted on at once; those that follow are collected for a short time.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Shortest time between two recomputations: ten milliseconds of work on a small machine stay a
/// tenth of its time, and it is a small part of the time after which a silent node is given up.
pub const MIN_RECOMPUTE_INTERVAL: Duration = Duration::from_millis(100);

/// Changes that have not been acted on, and when the last ones were.
#[derive(Clone, Copy, Debug)]
pub struct RecomputeThrottle {
    pace: Duration,
    acted: Option<Timestamp>,
    is_waiting: bool,
}

impl RecomputeThrottle {
    /// Acts no more often than once per `pace`; without one, on each change.
    pub fn new(pace: Duration) -> Self {
        Self {
            pace,
            acted: None,
            is_waiting: false,
        }
    }

    /// Notes a change. Tells whether to act on it now, together with those that have waited.
    pub fn on_change(&mut self, now: Timestamp) -> bool {
        self.is_waiting = true;
        self.take_due(now)
    }

    /// Whether to act now on changes that have waited.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        let is_recent = |acted: Timestamp| now.since(acted) < self.pace;
        if !self.is_waiting || self.acted.is_some_and(is_recent) {
            return false;
        }
        self.mark_recomputed(now);
        true
    }

    /// Everything that has waited is acted on now.
    pub fn mark_recomputed(&mut self, now: Timestamp) {
        self.acted = Some(now);
        self.is_waiting = false;
    }
}
