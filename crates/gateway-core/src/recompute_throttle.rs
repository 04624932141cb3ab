//! Limits how often state derived from the set of nodes is recomputed.
//!
//! A recomputation may take time proportional to the number of nodes, and nodes that start together
//! cause one change each, so recomputing after every change would take quadratic time. A change
//! after an idle period is handled immediately; changes that follow soon are batched.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Minimum time between two recomputations. If one takes ten milliseconds on a slow machine, this
/// uses a tenth of its time; the delay is small compared with the time after which a silent node is
/// dropped.
pub const MIN_RECOMPUTE_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks pending changes and the latest recomputation.
#[derive(Clone, Copy, Debug)]
pub struct RecomputeThrottle {
    min_interval: Duration,
    last_run: Option<Timestamp>,
    is_pending: bool,
}

impl RecomputeThrottle {
    /// Allows one recomputation per `min_interval`, or one per change if that is zero.
    pub fn new(min_interval: Duration) -> Self {
        Self {
            min_interval,
            last_run: None,
            is_pending: false,
        }
    }

    /// Records a change. Returns whether to recompute now, which covers all pending changes.
    pub fn on_change(&mut self, now: Timestamp) -> bool {
        self.is_pending = true;
        self.take_due(now)
    }

    /// Returns whether to recompute now because of pending changes.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        let is_recent = |last_run: Timestamp| now.since(last_run) < self.min_interval;
        if !self.is_pending || self.last_run.is_some_and(is_recent) {
            return false;
        }
        self.mark_recomputed(now);
        true
    }

    /// Records a recomputation, which covers all pending changes.
    pub fn mark_recomputed(&mut self, now: Timestamp) {
        self.last_run = Some(now);
        self.is_pending = false;
    }
}
