//! Tracks the progress of this node's start for requests, metrics and logs.

use std::cell::Cell;
use std::time::Duration;

use elderworks_gateway_core::start::{Milestone, StartProgress};
use elderworks_types::Timestamp;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::metrics::StepLabel;

/// Progress of the start.
#[derive(Debug)]
pub(crate) struct StartTracker {
    progress: Cell<StartProgress>,
    is_complete: watch::Sender<bool>,
}

impl Default for StartTracker {
    fn default() -> Self {
        Self {
            progress: Cell::default(),
            is_complete: watch::Sender::new(false),
        }
    }
}

impl StartTracker {
    /// Returns whether all milestones are reached.
    pub(crate) fn is_complete(&self) -> bool {
        *self.is_complete.borrow()
    }

    /// Returns whether a milestone is reached.
    pub(crate) fn has_reached(&self, milestone: Milestone) -> bool {
        self.progress.get().has_reached(milestone)
    }

    /// Waits until the start is complete, for at most `max_wait`.
    pub(crate) async fn wait(&self, max_wait: Duration) {
        let mut changes = self.is_complete.subscribe();
        let complete = changes.wait_for(|is_complete| *is_complete);
        // Callers check for what they need, so a timeout isn't an error here.
        let _ = actix_rt::time::timeout(max_wait, complete).await;
    }
}

impl Gateway {
    /// Records that a milestone is reached.
    pub(crate) fn reach_milestone(&self, milestone: Milestone) {
        let mut progress = self.start.progress.get();
        if progress.has_reached(milestone) {
            return;
        }
        let now = self.now();
        let is_last = progress.reach(milestone, now);
        self.start.progress.set(progress);
        self.record_step(milestone.name(), now);
        if is_last {
            self.note_ready(&progress, now);
        }
    }

    fn record_step(&self, step: &'static str, now: Timestamp) {
        let label = StepLabel { step };
        let gauge = self.metrics.start_ms.get_or_create(&label);
        gauge.set(timestamp_millis(now));
    }

    fn note_ready(&self, progress: &StartProgress, now: Timestamp) {
        let after = |milestone| progress.at(milestone).map_or(-1, timestamp_millis);
        log::info!(
            after_ms = timestamp_millis(now), configuration_ms = after(Milestone::Configuration),
            workers_ms = after(Milestone::Workers), joined_ms = after(Milestone::Joined);
            "ready"
        );
        self.record_step("ready", now);
        self.start.is_complete.send_replace(true);
        self.update_serving_nodes();
    }
}

fn timestamp_millis(at: Timestamp) -> i64 {
    i64::try_from(at.0 / 1_000).unwrap_or(i64::MAX)
}
