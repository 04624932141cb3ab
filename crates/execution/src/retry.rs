//! Limits on retries, and the delay before a retry.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::{Attempt, CallId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ExecutionSettings;

/// The retry budget is counted in hundredths of a retry, so that a percentage of an attempt is an
/// integer.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Maximum balance of the retry budget, in hundredths of a retry.
const MAX_SAVED_HUNDREDTHS: u64 = 20 * HUNDREDTHS_PER_RETRY;

/// Maximum number of doublings of the delay; prevents an overflow.
const MAX_DOUBLINGS: u32 = 16;

/// A partition has low traffic if it makes fewer first attempts than this per
/// [`LOW_TRAFFIC_PERIOD`].
const LOW_TRAFFIC_ATTEMPTS: usize = 10;

/// Period over which first attempts are counted to detect low traffic.
const LOW_TRAFFIC_PERIOD: Duration = Duration::from_secs(60);

/// Interval at which a partition with low traffic may retry even if its retry budget is empty.
const LOW_TRAFFIC_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Limits the retries of a partition to a percentage of its first attempts, so that an outage
/// doesn't cause a retry storm. A partition with low traffic may always retry at a low rate.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved_hundredths: u64,
    earned_by_first_attempt: u64,
    /// Times of the last [`LOW_TRAFFIC_ATTEMPTS`] first attempts.
    recent: VecDeque<Timestamp>,
    last_low_traffic_retry: Option<Timestamp>,
}

impl RetryBudget {
    /// Creates a budget with the initial number of retries.
    pub fn new(settings: &ExecutionSettings) -> Self {
        Self {
            saved_hundredths: u64::from(settings.retry_burst) * HUNDREDTHS_PER_RETRY,
            earned_by_first_attempt: u64::from(settings.retry_percent),
            recent: VecDeque::with_capacity(LOW_TRAFFIC_ATTEMPTS),
            last_low_traffic_retry: None,
        }
    }

    /// Applies new settings to future first attempts.
    pub fn configure(&mut self, settings: &ExecutionSettings) {
        self.earned_by_first_attempt = u64::from(settings.retry_percent);
    }

    /// Records the dispatch of a first attempt, which adds to the budget.
    pub fn earn(&mut self, now: Timestamp) {
        self.saved_hundredths =
            (self.saved_hundredths + self.earned_by_first_attempt).min(MAX_SAVED_HUNDREDTHS);
        if self.recent.len() == LOW_TRAFFIC_ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Takes one retry from the budget; returns whether a retry is permitted.
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

/// Returns the delay before the attempt after `failed`: exponential backoff with a jitter of up to
/// half the delay. The jitter is derived from a hash, so that the result is deterministic but
/// differs between calls that failed at the same time.
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

/// Returns a fraction of `span` selected by `hash`.
fn jitter(span: Duration, hash: u64) -> Duration {
    const PARTS: u32 = 1024;
    span * (hash as u32 % PARTS) / PARTS
}
