//! Ejection of failing engines, and their return after a successful probe.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Number of consecutive failures that eject an engine.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection. It doubles with each further ejection without a success in between.
const INITIAL_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Health of one engine, derived from the results of its attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Timestamp>,
}

impl Health {
    /// Records an answered attempt, which ends an ejection.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed or lost attempt and returns whether the engine is ejected for it. A failed probe
    /// ejects at once.
    pub(crate) fn record_failure(&mut self, now: Timestamp) -> bool {
        self.consecutive_failures += 1;
        let is_probe = self.consecutive_ejections > 0;
        if !is_probe && self.consecutive_failures < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = self.consecutive_ejections.min(16);
        let duration = (INITIAL_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(now + duration);
        self.consecutive_ejections += 1;
        true
    }

    /// Returns the maximum number of open attempts: none while ejected, one as a probe afterwards.
    pub(crate) fn max_open_attempts(&self, now: Timestamp) -> usize {
        match self.ejected_until {
            Some(until) if now < until => 0,
            Some(_) => 1,
            None => usize::MAX,
        }
    }
}
