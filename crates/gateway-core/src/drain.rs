//! How a node leaves: until when it takes new connections, and when it ends.

use std::time::Duration;

/// A draining node takes connections for this long: callers hold on to the addresses that they
/// were told for up to five seconds ([`crate::policy::Policy::addresses_ttl_ms`]), and a refused
/// connection costs them a try.
const LONGEST_OPEN: Duration = Duration::from_millis(4_500);

/// Share of the grace time after which no connection is taken any more: what is taken until then
/// must have time to end.
const OPEN_SHARE: f64 = 0.5625;

/// Kept back from the time until the process is killed, for its own end.
const END_RESERVE: Duration = Duration::from_millis(200);

/// What a draining node does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStep {
    /// It takes requests, and says in answers that their connections end.
    TakeRequests,
    /// It finishes what is under way and takes nothing new.
    Finish,
    /// It ends.
    End,
}

/// The times of a drain, from the moment at which the node was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    open_for: Duration,
    ends_after: Duration,
}

impl DrainPlan {
    /// For a process that is killed `grace` after it was told to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            open_for: LONGEST_OPEN.min(grace.mul_f64(OPEN_SHARE)),
            ends_after: grace.saturating_sub(END_RESERVE),
        }
    }

    /// What to do `elapsed` after the node was told to stop, with so many requests under way.
    pub fn step(&self, elapsed: Duration, in_flight: u32) -> DrainStep {
        if elapsed < self.open_for {
            DrainStep::TakeRequests
        } else if in_flight > 0 && elapsed < self.ends_after {
            DrainStep::Finish
        } else {
            DrainStep::End
        }
    }
}
