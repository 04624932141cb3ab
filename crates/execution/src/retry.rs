//! When an attempt may be repeated.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::{Attempt, CallId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ExecutionSettings;

/// Hundredths of a retry, so that a percentage of a first attempt is a whole number.
const ONE_RETRY: u64 = 100;

/// Most retries that can be saved up.
const MAX_SAVED: u64 = 20 * ONE_RETRY;

/// Doublings after which the wait has long reached its limit.
const MAX_DOUBLINGS: u32 = 16;

/// First attempts within [`QUIET_PERIOD`] below which a partition is quiet.
const QUIET_ATTEMPTS: usize = 10;

/// Time over which a partition is judged to be quiet or not.
const QUIET_PERIOD: Duration = Duration::from_secs(60);

/// A quiet partition may make one retry in this time even if its first attempts earned none.
const QUIET_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Bounds the retries of a partition to a share of its first attempts, so that an outage is not
/// answered by a storm. A partition with so few calls that they earn no retry gets a trickle.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved: u64,
    earned_by_first_attempt: u64,
    /// Times of the last few first attempts.
    recent: VecDeque<Timestamp>,
    last_trickle: Option<Timestamp>,
}

impl RetryBudget {
    /// A budget holding the permitted burst.
    pub fn new(settings: &ExecutionSettings) -> Self {
        Self {
            saved: u64::from(settings.retry_burst) * ONE_RETRY,
            earned_by_first_attempt: u64::from(settings.retry_percent),
            recent: VecDeque::with_capacity(QUIET_ATTEMPTS),
            last_trickle: None,
        }
    }

    /// Changes what first attempts earn from now on.
    pub fn configure(&mut self, settings: &ExecutionSettings) {
        self.earned_by_first_attempt = u64::from(settings.retry_percent);
    }

    /// A first attempt was dispatched.
    pub fn earn(&mut self, now: Timestamp) {
        self.saved = (self.saved + self.earned_by_first_attempt).min(MAX_SAVED);
        if self.recent.len() == QUIET_ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, now: Timestamp) -> bool {
        if let Some(rest) = self.saved.checked_sub(ONE_RETRY) {
            self.saved = rest;
            return true;
        }
        let waited = self
            .last_trickle
            .is_none_or(|last| now.since(last) >= QUIET_RETRY_INTERVAL);
        let permitted = waited && self.is_quiet(now);
        if permitted {
            self.last_trickle = Some(now);
        }
        permitted
    }

    fn is_quiet(&self, now: Timestamp) -> bool {
        let oldest = self.recent.front();
        let few = self.recent.len() < QUIET_ATTEMPTS;
        few || oldest.is_some_and(|oldest| now.since(*oldest) >= QUIET_PERIOD)
    }
}

/// Wait before the attempt after `failed`: exponential, between half and all of each step, spread
/// by a hash so that calls that failed together do not return together.
pub(crate) fn backoff(settings: &ExecutionSettings, call: CallId, failed: Attempt) -> Duration {
    let doublings = failed.0.saturating_sub(1).min(MAX_DOUBLINGS);
    let step = settings
        .retry_backoff
        .saturating_mul(1 << doublings)
        .min(settings.retry_backoff_limit);
    let seed = u64::from(failed.0) ^ (u64::from(call.number.0) << 32);
    let hash = xxh3_64_with_seed(&call.run.root.to_le_bytes(), seed ^ call.run.child);
    step / 2 + jitter(step / 2, hash)
}

/// A part of `span` chosen by `hash`.
fn jitter(span: Duration, hash: u64) -> Duration {
    const PARTS: u32 = 1024;
    span * (hash as u32 % PARTS) / PARTS
}
