//! The platform's model of the log, with failures that end at a given time.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_node_core::event::ReadRecords;
use elderworks_platform_model::{AppendOutcome, LogFaults, LogModel, ReadOutcome};
use elderworks_protocol::record::StreamName;
use elderworks_types::Offset;

use crate::kernel::{Instant, Random};

/// Maximum number of bytes in one answer; small, so that readers need several requests.
const MAX_BYTES_PER_READ: usize = 4 * 1024;

/// Maximum delay of a request while the log is slow, in milliseconds.
const MAX_SLOW_DELAY_MS: u64 = 2_500;

/// All answers, in per mille.
const ALL_PER_MILLE: u16 = 1_000;

/// Failure mode of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogFailure {
    /// The log neither answers requests nor appends.
    Down,
    /// Requests take effect late.
    Slow,
    /// Appends take effect, but their answers are lost.
    LosesAnswers,
}

/// Simulated log.
#[derive(Debug, Default)]
pub struct Log {
    model: LogModel,
    failures: BTreeMap<LogFailure, Instant>,
}

impl Log {
    /// Starts a failure that lasts until `until`, or until the end of an earlier one of the same kind if
    /// that is later.
    pub fn start_failure(&mut self, failure: LogFailure, until: Instant) {
        let present = self.failures.entry(failure).or_insert(until);
        *present = (*present).max(until);
    }

    /// Returns the maximum delay until a request sent at `now` takes effect.
    pub fn max_delay(&self, now: Instant) -> Duration {
        self.faults(now).delay()
    }

    /// Executes an append.
    pub fn append(
        &mut self,
        now: Instant,
        stream: StreamName,
        bytes: Vec<u8>,
        random: &mut Random,
    ) -> AppendOutcome {
        self.model.faults = self.faults(now);
        self.model
            .request_append(&stream.to_string(), bytes, random.generator())
    }

    /// Returns whether the log is down.
    pub fn is_down(&self, now: Instant) -> bool {
        self.faults(now).down
    }

    /// Returns whether a read from `from` would return at least one record.
    pub fn has_records(&self, stream: StreamName, from: Offset) -> bool {
        self.model.end(&stream.to_string()) > from
    }

    /// Returns a limited number of records starting at `from`, or `None` if the log does not answer.
    pub fn read(&mut self, now: Instant, stream: StreamName, from: Offset) -> Option<ReadRecords> {
        self.model.faults = self.faults(now);
        let outcome = self
            .model
            .request_read(&stream.to_string(), from, MAX_BYTES_PER_READ);
        let ReadOutcome::Records(response) = outcome else {
            return None;
        };
        let records = response.records.into_iter();
        Some(ReadRecords {
            records: records.map(|record| (record.offset, record.data)).collect(),
            end: response.end,
        })
    }

    /// Returns the model's settings for the failures active at `now`.
    fn faults(&self, now: Instant) -> LogFaults {
        let is_active = |failure| {
            self.failures
                .get(&failure)
                .is_some_and(|until| *until > now)
        };
        let mut faults = LogFaults {
            down: is_active(LogFailure::Down),
            ..LogFaults::default()
        };
        if is_active(LogFailure::Slow) {
            faults.delay_ms = MAX_SLOW_DELAY_MS;
        }
        if is_active(LogFailure::LosesAnswers) {
            faults.lose_answers_per_mille = ALL_PER_MILLE;
        }
        faults
    }
}
