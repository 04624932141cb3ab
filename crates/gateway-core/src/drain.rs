//! Graceful shutdown of a node: until when it accepts connections, which requests it still accepts,
//! and when it exits.

use std::time::Duration;

/// Maximum time for which a draining node accepts connections. Callers use a node's address for up
/// to [`addresses_ttl_ms`](crate::policy::Policy::addresses_ttl_ms) after it is withdrawn, and a
/// refused connection costs them an attempt.
const MAX_OPEN: Duration = Duration::from_millis(4_500);

/// Fraction of the grace period after which no connection is accepted, so that the requests
/// accepted before have time to complete.
const OPEN_FRACTION: f64 = 0.5625;

/// Minimum time between closing the connections and the exit, in which requests that have reached
/// the machine are read.
const CLOSING_TIME: Duration = Duration::from_millis(200);

/// Time before the process is killed at which the requests in progress are ended.
const ABORT_RESERVE: Duration = Duration::from_millis(200);

/// Time before the process is killed that is reserved for its exit.
const EXIT_RESERVE: Duration = Duration::from_millis(100);

/// The current step of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStep {
    /// The node accepts requests and closes each connection after the response.
    TakeRequests,
    /// The node completes requests in flight, accepts no connection and closes idle ones.
    Finish,
    /// The node ends the requests in flight, with an answer where none has begun.
    Abort,
    /// The node exits.
    End,
}

/// Durations of the steps of a drain, from the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    open_for: Duration,
    abort_after: Duration,
    exit_after: Duration,
}

impl DrainPlan {
    /// Creates the plan for a process that is killed `grace` after the request to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            open_for: MAX_OPEN.min(grace.mul_f64(OPEN_FRACTION)),
            abort_after: grace.saturating_sub(ABORT_RESERVE),
            exit_after: grace.saturating_sub(EXIT_RESERVE),
        }
    }

    /// Returns the step at `elapsed` after the request to stop. `has_work` tells whether anything
    /// that was accepted is in progress, for callers or for other nodes.
    pub fn step(&self, elapsed: Duration, has_work: bool) -> DrainStep {
        let is_closing = elapsed < self.open_for + CLOSING_TIME;
        if elapsed < self.open_for {
            DrainStep::TakeRequests
        } else if elapsed < self.abort_after && (has_work || is_closing) {
            DrainStep::Finish
        } else if elapsed < self.exit_after && has_work {
            DrainStep::Abort
        } else {
            DrainStep::End
        }
    }

    /// Returns how long after the request to stop the requests in progress are ended.
    pub fn abort_after(&self) -> Duration {
        self.abort_after
    }
}
