//! Scheduling of a reader's calls to an engine.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::log::{EngineLog, LogChange};
use crate::engines::{MemoryEvents, MemoryListing};

/// Long-polling time of a call for events. This is the maximum that engines allow; they count
/// shorter calls as probes.
pub const EVENT_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a response, so that the next call returns several events.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// Pause after the first refused or failed call; doubled for each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum pause after refused or failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Minimum time between two listings of one engine, since a listing interrupts its work.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which listings are read even without a gap, since engines may lose events.
const LISTING_INTERVAL: Duration = Duration::from_secs(60);

/// A pause is extended by a random jitter of up to its length divided by this number, so that
/// readers don't call at the same time.
const JITTER_DIVISOR: u64 = 4;

/// The next action of a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for this long.
    Pause(Duration),
    /// Request the events after a number.
    Events {
        /// Number of the last event that was read.
        since: u64,
    },
    /// Request a complete listing.
    Listing,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Events, or none within [`EVENT_WAIT`].
    Events(MemoryEvents),
    /// A complete listing.
    Listing(MemoryListing),
    /// The engine has too many concurrent calls, or doesn't support them.
    Refused,
    /// No response, or an invalid one.
    Failed,
}

/// State of reading one engine's memory.
#[derive(Clone, Debug)]
pub struct EngineReader {
    seed: u64,
    log: EngineLog,
    calls: u64,
    failures: u32,
    next_call: Timestamp,
    needs_listing: bool,
    started: Timestamp,
    /// When a listing was last read or requested without success.
    last_listing: Option<Timestamp>,
    observed_at: Option<Timestamp>,
}

impl EngineReader {
    /// Creates a reader that has read nothing yet. `seed` determines its jitter.
    pub fn new(seed: u64, now: Timestamp) -> Self {
        Self {
            seed,
            log: EngineLog::default(),
            calls: 0,
            failures: 0,
            next_call: now,
            needs_listing: false,
            started: now,
            last_listing: None,
            observed_at: None,
        }
    }

    /// Returns the next action.
    pub fn next(&self, now: Timestamp) -> Step {
        if now < self.next_call {
            return Step::Pause(self.next_call.since(now));
        }
        let may_request_listing = self
            .last_listing
            .is_none_or(|at| now.since(at) >= MIN_LISTING_INTERVAL);
        let is_listing_due =
            now.since(self.last_listing.unwrap_or(self.started)) >= LISTING_INTERVAL;
        match is_listing_due || self.needs_listing && may_request_listing {
            true => Step::Listing,
            false => Step::Events {
                since: self.log.next(),
            },
        }
    }

    /// Records the outcome of a call that was sent at `sent`.
    pub fn take(&mut self, sent: Timestamp, now: Timestamp, outcome: &ReadOutcome) -> LogChange {
        self.calls += 1;
        let change = match outcome {
            ReadOutcome::Events(answer) => self.log.apply_events(answer),
            ReadOutcome::Listing(listing) => {
                self.needs_listing = false;
                self.last_listing = Some(now);
                self.log.apply_listing(listing)
            }
            ReadOutcome::Refused | ReadOutcome::Failed => {
                if self.next(sent) == Step::Listing {
                    // Continue with events, which cover most changes.
                    self.last_listing = Some(now);
                }
                self.failures += 1;
                self.next_call = now + self.jittered(self.backoff());
                return LogChange::Applied;
            }
        };
        self.failures = 0;
        self.observed_at = Some(sent);
        self.needs_listing |= change == LogChange::Gap;
        let pause = match change {
            LogChange::Restarted => Duration::ZERO,
            LogChange::Applied | LogChange::Gap => READ_PAUSE,
        };
        self.next_call = now + self.jittered(pause);
        change
    }

    /// Returns the known state of the engine's memory.
    pub fn log(&self) -> &EngineLog {
        &self.log
    }

    /// Returns when the last successful call was sent, or `None` if there was none.
    pub fn observed_at(&self) -> Option<Timestamp> {
        self.observed_at
    }

    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        FIRST_BACKOFF
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF)
    }

    fn jittered(&self, pause: Duration) -> Duration {
        let max = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX) / JITTER_DIVISOR;
        let hash = xxh3_64_with_seed(&self.calls.to_le_bytes(), self.seed);
        pause + Duration::from_micros(hash % (max + 1))
    }
}
