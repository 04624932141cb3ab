//! Ejection of engines that fail, and probes that let them back.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Failures in a row that eject an engine.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection; each one that follows without a success between lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// Health of one engine as its answers show it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures_in_a_row: u32,
    ejections_in_a_row: u32,
    ejected_until: Option<Timestamp>,
}

impl Health {
    /// An attempt was answered.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// An attempt failed or was lost; true if that ejects the engine.
    pub(crate) fn failed(&mut self, now: Timestamp) -> bool {
        self.failures_in_a_row += 1;
        let is_probe = self.ejections_in_a_row > 0;
        if !is_probe && self.failures_in_a_row < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = self.ejections_in_a_row.min(16);
        let lasts = (FIRST_EJECTION * (1 << doublings)).min(LONGEST_EJECTION);
        self.ejected_until = Some(now + lasts);
        self.ejections_in_a_row += 1;
        true
    }

    /// Most attempts that the engine may have open now: none while ejected, one as a probe.
    pub(crate) fn open_limit(&self, now: Timestamp) -> usize {
        match self.ejected_until {
            Some(until) if now < until => 0,
            Some(_) => 1,
            None => usize::MAX,
        }
    }
}
