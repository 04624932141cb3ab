//! Graceful shutdown of a node: until when it accepts connections, and when it exits.

use std::time::Duration;

/// Maximum time for which a draining node accepts connections. Callers use a node's address for up
/// to [`addresses_ttl_ms`](crate::policy::Policy::addresses_ttl_ms) after it is withdrawn, and a
/// refused connection costs them an attempt.
const MAX_OPEN: Duration = Duration::from_millis(4_500);

/// Fraction of the grace period after which no connection is accepted, so that the requests
/// accepted before have time to complete.
const OPEN_FRACTION: f64 = 0.5625;

/// Time before the process is killed that is reserved for its exit.
const EXIT_RESERVE: Duration = Duration::from_millis(200);

/// The current step of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStep {
    /// The node accepts requests and closes each connection after the response.
    TakeRequests,
    /// The node completes requests in flight and accepts no new ones.
    Finish,
    /// The node exits.
    End,
}

/// Durations of the steps of a drain, from the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    open_for: Duration,
    exit_after: Duration,
}

impl DrainPlan {
    /// Creates the plan for a process that is killed `grace` after the request to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            open_for: MAX_OPEN.min(grace.mul_f64(OPEN_FRACTION)),
            exit_after: grace.saturating_sub(EXIT_RESERVE),
        }
    }

    /// Returns the step at `elapsed` after the request to stop, with `in_flight` requests.
    pub fn step(&self, elapsed: Duration, in_flight: u32) -> DrainStep {
        if elapsed < self.open_for {
            DrainStep::TakeRequests
        } else if in_flight > 0 && elapsed < self.exit_after {
            DrainStep::Finish
        } else {
            DrainStep::End
        }
    }
}
