//! The append-only log: streams of records at dense offsets from 0, and its troubles.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_node_core::event::ReadRecords;
use elderworks_protocol::record::StreamName;
use elderworks_types::Offset;

use crate::kernel::Instant;

/// Most records in one answer; small, so that readers have to come again.
const MAX_RECORDS_PER_READ: usize = 16;

/// What can be wrong with the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogTrouble {
    /// It answers nothing and appends nothing.
    Down,
    /// Requests take effect late.
    Slow,
    /// Appends take effect, and no answer is given.
    LosesAnswers,
}

/// The log.
#[derive(Debug, Default)]
pub struct Log {
    streams: BTreeMap<StreamName, Vec<Vec<u8>>>,
    troubles: BTreeMap<LogTrouble, Instant>,
}

/// How much later requests take effect while the log is slow.
pub const SLOW_DELAY: Duration = Duration::from_millis(2_500);

impl Log {
    /// Begins a trouble that lasts until `until`.
    pub fn trouble(&mut self, trouble: LogTrouble, until: Instant) {
        let present = self.troubles.entry(trouble).or_insert(until);
        *present = (*present).max(until);
    }

    /// Whether a trouble lasts.
    pub fn has(&self, trouble: LogTrouble, now: Instant) -> bool {
        self.troubles
            .get(&trouble)
            .is_some_and(|until| *until > now)
    }

    /// Appends a record.
    pub fn append(&mut self, stream: StreamName, bytes: Vec<u8>) -> Offset {
        let records = self.streams.entry(stream).or_default();
        records.push(bytes);
        Offset(records.len() as u64 - 1)
    }

    /// Whether a read from `from` would return at least one record.
    pub fn has_records(&self, stream: StreamName, from: Offset) -> bool {
        self.records(stream).len() as u64 > from.0
    }

    /// Records from `from` on, bounded.
    pub fn read(&self, stream: StreamName, from: Offset) -> ReadRecords {
        let all = self.records(stream);
        let records = all
            .iter()
            .enumerate()
            .skip(usize::try_from(from.0).unwrap_or(usize::MAX))
            .take(MAX_RECORDS_PER_READ)
            .map(|(offset, bytes)| (Offset(offset as u64), bytes.clone()))
            .collect();
        ReadRecords {
            records,
            end: Offset(all.len() as u64),
        }
    }

    /// Every record of a stream.
    pub fn records(&self, stream: StreamName) -> &[Vec<u8>] {
        self.streams.get(&stream).map_or(&[], Vec::as_slice)
    }
}
