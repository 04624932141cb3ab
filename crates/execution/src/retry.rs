//! When an attempt may be repeated.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::{Attempt, CallId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ExecutionSettings;

/// Hundredths of a retry, so that a percentage of a first attempt is a whole number.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Most retries that can be saved up.
const MAX_SAVED_HUNDREDTHS: u64 = 20 * HUNDREDTHS_PER_RETRY;

/// Doublings after which the wait has long reached its limit.
const MAX_DOUBLINGS: u32 = 16;

/// First attempts within [`QUIET_PERIOD`] below which a partition is quiet.
const LOW_TRAFFIC_ATTEMPTS: usize = 10;

/// Time over which a partition is judged to be quiet or not.
const LOW_TRAFFIC_PERIOD: Duration = Duration::from_secs(60);

/// A quiet partition may make one retry in this time even if its first attempts earned none.
const LOW_TRAFFIC_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Bounds the retries of a partition to a share of its first attempts, so that an outage is not
/// answered by a storm. A partition with so few calls that they earn no retry gets a trickle.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved_hundredths: u64,
    earned_by_first_attempt: u64,
    /// Times of the last few first attempts.
    recent: VecDeque<Timestamp>,
    last_low_traffic_retry: Option<Timestamp>,
}

impl RetryBudget {
    /// A budget holding the permitted burst.
    pub fn new(settings: &ExecutionSettings) -> Self {
        Self {
            saved_hundredths: u64::from(settings.retry_burst) * HUNDREDTHS_PER_RETRY,
            earned_by_first_attempt: u64::from(settings.retry_percent),
            recent: VecDeque::with_capacity(LOW_TRAFFIC_ATTEMPTS),
            last_low_traffic_retry: None,
        }
    }

    /// Changes what first attempts earn from now on.
    pub fn configure(&mut self, settings: &ExecutionSettings) {
        self.earned_by_first_attempt = u64::from(settings.retry_percent);
    }

    /// A first attempt was dispatched.
    pub fn earn(&mut self, now: Timestamp) {
        self.saved_hundredths =
            (self.saved_hundredths + self.earned_by_first_attempt).min(MAX_SAVED_HUNDREDTHS);
        if self.recent.len() == LOW_TRAFFIC_ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, now: Timestamp) -> bool {
        if let Some(rest) = self.saved_hundredths.checked_sub(HUNDREDTHS_PER_RETRY) {
            self.saved_hundredths = rest;
            return true;
        }
        let waited = self
            .last_low_traffic_retry
            .is_none_or(|last| now.since(last) >= LOW_TRAFFIC_RETRY_INTERVAL);
        let permitted = waited && self.has_low_traffic(now);
        if permitted {
            self.last_low_traffic_retry = Some(now);
        }
        permitted
    }

    fn has_low_traffic(&self, now: Timestamp) -> bool {
        let oldest = self.recent.front();
        let few = self.recent.len() < LOW_TRAFFIC_ATTEMPTS;
        few || oldest.is_some_and(|oldest| now.since(*oldest) >= LOW_TRAFFIC_PERIOD)
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
