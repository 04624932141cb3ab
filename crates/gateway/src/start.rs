//! Tells requests and operators how far the start of this node has come.

use std::cell::Cell;
use std::time::Duration;

use elderworks_gateway_core::start::{Milestone, StartProgress};
use elderworks_types::Timestamp;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::metrics::StepLabel;

/// How far the start has come.
#[derive(Debug)]
pub(crate) struct Start {
    progress: Cell<StartProgress>,
    is_complete: watch::Sender<bool>,
}

impl Default for Start {
    fn default() -> Self {
        Self {
            progress: Cell::default(),
            is_complete: watch::Sender::new(false),
        }
    }
}

impl Start {
    /// Whether nothing is missing.
    pub(crate) fn is_complete(&self) -> bool {
        *self.is_complete.borrow()
    }

    /// Whether a step is done.
    pub(crate) fn has_reached(&self, milestone: Milestone) -> bool {
        self.progress.get().has_reached(milestone)
    }

    /// Waits until nothing is missing, `longest` at most.
    pub(crate) async fn wait(&self, longest: Duration) {
        let mut news = self.is_complete.subscribe();
        let complete = news.wait_for(|is_complete| *is_complete);
        // What is missing then is told by whoever needs it.
        let _ = actix_rt::time::timeout(longest, complete).await;
    }
}

impl Gateway {
    /// Notes that a step of the start is done.
    pub(crate) fn reach_milestone(&self, milestone: Milestone) {
        let mut progress = self.start.progress.get();
        if progress.has_reached(milestone) {
            return;
        }
        let now = self.now();
        let is_last = progress.reach(milestone, now);
        self.start.progress.set(progress);
        self.note_step(milestone.name(), now);
        if is_last {
            self.note_ready(&progress, now);
        }
    }

    fn note_step(&self, step: &'static str, now: Timestamp) {
        let label = StepLabel { step };
        let gauge = self.metrics.start_ms.get_or_create(&label);
        gauge.set(millis(now));
    }

    fn note_ready(&self, progress: &StartProgress, now: Timestamp) {
        let after = |milestone| progress.at(milestone).map_or(-1, millis);
        log::info!(
            after_ms = millis(now), configuration_ms = after(Milestone::Configuration),
            workers_ms = after(Milestone::Workers), joined_ms = after(Milestone::Joined);
            "ready"
        );
        self.note_step("ready", now);
        self.start.is_complete.send_replace(true);
        self.update_serving_nodes();
    }
}

fn millis(at: Timestamp) -> i64 {
    i64::try_from(at.0 / 1_000).unwrap_or(i64::MAX)
}
