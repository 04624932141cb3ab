//! Workers that ended while they ran a request.
//!
//! A request may be the cause of an end, so that it must not be sent from worker to worker for ever, in
//! whichever of its caller's tries and at whichever node. This module recognizes a request over its
//! tries ([`identity`]), counts exchanges whose worker may have ended ([`exchanges`]), finds out whether a
//! worker ended or only a connection ([`investigation`]), keeps what is known of requests at this and at other nodes ([`table`]), and keeps requests apart that
//! may be the cause ([`suspects`], [`placement`]). Whether a request may be sent is decided by
//! [`AttemptHistory`](crate::attempt::AttemptHistory).

mod entry;
pub mod exchanges;
pub mod identity;
pub mod investigation;
pub mod placement;
pub mod suspects;
pub mod table;

/// Number of workers that may end under one request. Then it is sent to no other.
pub const MAX_ENDED_WORKERS: usize = 3;

/// What is known of the workers at which a request broke off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCount {
    /// Workers that ended.
    pub ended: usize,
    /// Workers that may have ended.
    pub unsettled: usize,
    /// Workers at which this node's other tries of the request are in progress.
    pub in_progress: usize,
}

impl EndCount {
    /// Nothing is known of any end.
    pub const NONE: Self = Self {
        ended: 0,
        unsettled: 0,
        in_progress: 0,
    };

    /// Returns whether the request may be the cause of an end.
    pub fn is_suspect(self) -> bool {
        self.ended > 0
    }

    /// Returns the number of workers that ended or may have ended.
    pub fn possible(self) -> usize {
        self.ended + self.unsettled
    }

    /// Returns whether one more end is the last that may happen.
    pub fn is_at_last(self) -> bool {
        self.ended + 1 == MAX_ENDED_WORKERS
    }
}
