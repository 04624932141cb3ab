//! Calls to the log for one partition some milliseconds apart, so that each carries what came
//! meanwhile.
//!
//! An append is one call however many records it holds. After a time of rest one goes at once; while
//! others follow it, the next collects requests until the pace is over. A turn that waits for leave
//! has its whole work before it, so it waits less than one whose end waits to be kept: its caller
//! has everything but the last word already.

use std::time::Duration;

use elderworks_types::Timestamp;

/// What waits for the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendUrgency {
    /// Somebody waits for leave, or for an answer that needs a read.
    Permit,
    /// Ends of turns at most.
    Completions,
}

/// Shortest times between the begins of two calls, by what waits for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendIntervals {
    /// If somebody waits for leave.
    pub permits: Duration,
    /// If only ends wait.
    pub completions: Duration,
}

/// When a partition's last call began.
#[derive(Clone, Copy, Debug)]
pub struct AppendPacer {
    paces: AppendIntervals,
    began: Option<Timestamp>,
}

impl AppendPacer {
    /// At least these times from the begin of one call to that of the next.
    pub fn new(paces: AppendIntervals) -> Self {
        Self { paces, began: None }
    }

    /// A call begins.
    pub fn call_started(&mut self, now: Timestamp) {
        self.began = Some(now);
    }

    /// How long what has come still waits for more; `None` if it does not.
    pub fn wait(&self, now: Timestamp, urgency: AppendUrgency) -> Option<Duration> {
        let began = self.began?;
        let pace = match urgency {
            AppendUrgency::Permit => self.paces.permits,
            AppendUrgency::Completions => self.paces.completions,
        };
        let left = pace.saturating_sub(now.since(began));
        (!left.is_zero()).then_some(left)
    }
}
