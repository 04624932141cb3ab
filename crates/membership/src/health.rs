//! Local health of a node, estimated to avoid blaming peers for the node's own pauses and delays.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Maximum of the health score. Probe timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 3;

/// Gap between ticks, in probe intervals, above which the process counts as paused.
const PAUSE_INTERVALS: u32 = 4;

/// Health of this node, derived from the timing of its ticks and the answers to its probes.
#[derive(Debug, Default)]
pub struct LocalHealth {
    /// Number of recent unanswered probes less answered ones, from 0 (healthy) to [`MAX_SCORE`].
    score: u32,
    last_tick: Option<Timestamp>,
    /// Whether the process was paused and no probe has been answered since.
    reports_suspended: bool,
}

impl LocalHealth {
    /// Records a tick and returns whether the process was paused before it.
    pub fn record_tick(&mut self, now: Timestamp, probe_interval: Duration) -> bool {
        let paused = self
            .last_tick
            .is_some_and(|last| now.since(last) > probe_interval * PAUSE_INTERVALS);
        self.last_tick = Some(now);
        self.reports_suspended |= paused;
        paused
    }

    /// Records an answer to a probe that was sent after the last pause.
    pub fn record_answer(&mut self) {
        self.reports_suspended = false;
        self.score = self.score.saturating_sub(1);
    }

    /// Records a probe that was not answered in time.
    pub fn record_timeout(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns whether this node may report others as suspect or dead. It may not from a pause until
    /// the next answer to a probe.
    pub fn may_report_failures(&self) -> bool {
        !self.reports_suspended
    }

    /// Returns a probe timeout scaled up by the number of recent failures.
    pub fn scale_timeout(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.score)
    }
}
