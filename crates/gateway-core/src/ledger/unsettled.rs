//! An append without an answer, which the log may have carried out or may still carry out.
//!
//! What it reserves counts against budgets at all owners. Only its owner can return the tokens, so
//! the owner reads the log until it knows, even if no request waits for that.

use std::time::Duration;

use elderworks_types::{Offset, Timestamp};

/// Delay before the log is first read for such an append. Each further delay is twice as long, up
/// to [`MAX_CHECK_DELAY`].
const FIRST_CHECK_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay between two such reads.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(4);

/// Time after which the log is no longer expected to carry out a call that it has not answered.
const MAX_LATENESS: Duration = Duration::from_secs(30);

/// The latest append whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnsettledAppend {
    /// The end of the log that the append requires.
    at: Offset,
    given_up: Timestamp,
    delay: Duration,
    next_check: Timestamp,
}

impl UnsettledAppend {
    /// Creates the state of an append that is given up now.
    pub(super) fn new(now: Timestamp, at: Offset) -> Self {
        Self {
            at,
            given_up: now,
            delay: FIRST_CHECK_DELAY,
            next_check: now + FIRST_CHECK_DELAY,
        }
    }

    /// Returns whether the append has been carried out or never will be, if the log was read up to
    /// `end`: other records follow the required end, or too much time has passed.
    pub(super) fn is_settled(&self, now: Timestamp, end: Offset) -> bool {
        end > self.at || now.since(self.given_up) >= MAX_LATENESS
    }

    /// Returns when to read the log next.
    pub(super) fn next_check(&self) -> Timestamp {
        self.next_check
    }

    /// Records that the log is read now.
    pub(super) fn note_check(&mut self, now: Timestamp) {
        self.delay = (self.delay * 2).min(MAX_CHECK_DELAY);
        self.next_check = now + self.delay;
    }
}
