//! When a reader calls an engine, and for what.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::log::{EngineLog, LogChange};
use crate::engines::{MemoryEvents, MemoryListing};

/// How long an engine holds a call until there is something to tell: the longest that engines allow,
/// since short calls count as probes.
pub const EVENT_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after an answer, in which further events gather for one call.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// First pause after a call that was refused or failed; each further one is twice as long.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest such pause.
const LONGEST_BACKOFF: Duration = Duration::from_secs(8);

/// Shortest time between two lists of one engine: a list holds up its work.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// A list is read again after this long, since some events never come.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);

/// Part of a pause by which it is made longer by chance, so that readers do not call together.
const JITTER_PARTS: u64 = 4;

/// What a reader does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Waits.
    Pause(Duration),
    /// Calls for the events behind the one of that number.
    Events {
        /// The number.
        since: u64,
    },
    /// Calls for the list of everything.
    Listing,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// With events, or with none in the time of the wait.
    Events(MemoryEvents),
    /// With a list.
    Listing(MemoryListing),
    /// The engine holds enough calls already, or does not know them.
    Refused,
    /// No answer, or one that cannot be read.
    Failed,
}

/// The reading of one engine.
#[derive(Clone, Debug)]
pub struct EngineReader {
    seed: u64,
    log: EngineLog,
    calls: u64,
    failures: u32,
    next_call: Timestamp,
    wants_list: bool,
    started: Timestamp,
    /// When a list was last read or asked for in vain.
    listed: Option<Timestamp>,
    heard: Option<Timestamp>,
}

impl EngineReader {
    /// Has read nothing yet. `seed` spreads the calls of different readers.
    pub fn new(seed: u64, now: Timestamp) -> Self {
        Self {
            seed,
            log: EngineLog::default(),
            calls: 0,
            failures: 0,
            next_call: now,
            wants_list: false,
            started: now,
            listed: None,
            heard: None,
        }
    }

    /// What to do now.
    pub fn next(&self, now: Timestamp) -> Step {
        if now < self.next_call {
            return Step::Pause(self.next_call.since(now));
        }
        let may_list = self.listed.is_none_or(|at| now.since(at) >= LIST_INTERVAL);
        let is_old = now.since(self.listed.unwrap_or(self.started)) >= RELIST_INTERVAL;
        match is_old || self.wants_list && may_list {
            true => Step::Listing,
            false => Step::Events {
                since: self.log.next(),
            },
        }
    }

    /// Takes the outcome of a call that was sent at `sent`.
    pub fn take(&mut self, sent: Timestamp, now: Timestamp, outcome: &ReadOutcome) -> LogChange {
        self.calls += 1;
        let change = match outcome {
            ReadOutcome::Events(answer) => self.log.take_events(answer),
            ReadOutcome::Listing(listing) => {
                self.wants_list = false;
                self.listed = Some(now);
                self.log.take_listing(listing)
            }
            ReadOutcome::Refused | ReadOutcome::Failed => {
                if self.next(sent) == Step::Listing {
                    // Events tell most of it as well.
                    self.listed = Some(now);
                }
                self.failures += 1;
                self.next_call = now + self.jittered(self.backoff());
                return LogChange::Applied;
            }
        };
        self.failures = 0;
        self.heard = Some(sent);
        self.wants_list |= change == LogChange::Gap;
        let pause = match change {
            LogChange::Restarted => Duration::ZERO,
            LogChange::Applied | LogChange::Gap => READ_PAUSE,
        };
        self.next_call = now + self.jittered(pause);
        change
    }

    /// What is known of the engine.
    pub fn log(&self) -> &EngineLog {
        &self.log
    }

    /// When the last call that was answered was sent; `None` if none was.
    pub fn observed_at(&self) -> Option<Timestamp> {
        self.heard
    }

    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        FIRST_BACKOFF
            .saturating_mul(1 << doublings)
            .min(LONGEST_BACKOFF)
    }

    fn jittered(&self, pause: Duration) -> Duration {
        let most = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX) / JITTER_PARTS;
        let chance = xxh3_64_with_seed(&self.calls.to_le_bytes(), self.seed);
        pause + Duration::from_micros(chance % (most + 1))
    }
}
