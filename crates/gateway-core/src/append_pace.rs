//! Spaces calls to the log for one partition, so that each call carries several requests.
//!
//! An append is one call regardless of its number of records. After an idle period the first
//! request leads to a call immediately; the following ones are collected until the minimum interval
//! has passed. The interval is shorter if a turn waits for its permit than if only completions
//! wait: the caller of a completing turn has received all of its output but the end marker.

use std::time::Duration;

use elderworks_types::Timestamp;

/// The most urgent kind of request that waits for the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendUrgency {
    /// A permit, or an answer that needs a read.
    Permit,
    /// Completions of turns only, or nothing.
    Completions,
}

/// Minimum time between the starts of two calls, by what waits for the second one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendIntervals {
    /// If a turn waits for its permit.
    pub permits: Duration,
    /// If only completions wait.
    pub completions: Duration,
}

/// Limits the rate of calls for one partition.
#[derive(Clone, Copy, Debug)]
pub struct AppendPacer {
    paces: AppendIntervals,
    last_start: Option<Timestamp>,
}

impl AppendPacer {
    /// Creates a pacer with the given minimum intervals.
    pub fn new(paces: AppendIntervals) -> Self {
        Self {
            paces,
            last_start: None,
        }
    }

    /// Records the start of a call.
    pub fn call_started(&mut self, now: Timestamp) {
        self.last_start = Some(now);
    }

    /// Records the start of a read. A read that catches up does not delay the append that depends on
    /// it: until that append, another node can append first.
    pub fn read_started(&mut self, now: Timestamp, catches_up: bool) {
        if !catches_up {
            self.call_started(now);
        }
    }

    /// Returns how long to wait before the next call; `None` if it may start now.
    pub fn wait(&self, now: Timestamp, urgency: AppendUrgency) -> Option<Duration> {
        let last_start = self.last_start?;
        let pace = match urgency {
            AppendUrgency::Permit => self.paces.permits,
            AppendUrgency::Completions => self.paces.completions,
        };
        let left = pace.saturating_sub(now.since(last_start));
        (!left.is_zero()).then_some(left)
    }
}
