//! Model of the append-only log service.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_platform_api::log::{LogRecord, ReadResponse};
use elderworks_types::Offset;
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};

/// Default capacity for records, in bytes.
pub const DEFAULT_CAPACITY_BYTES: u64 = 1 << 30;

/// Denominator of `lose_answers_per_mille`.
const PER_MILLE: u16 = 1_000;

/// Faults of the log. By default there are none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Requests get no answer and have no effect.
    pub down: bool,
    /// Additional latency of every request, in milliseconds.
    pub delay_ms: u64,
    /// Number of following appends that take effect but get no answer.
    pub lose_next_answers: u32,
    /// Probability, per mille, that an append takes effect but gets no answer.
    pub lose_answers_per_mille: u16,
}

impl LogFaults {
    /// Returns the additional latency of a request.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended, and the client receives the answer.
    Appended(Offset),
    /// The record was appended, but the client receives no answer.
    AnswerLost(Offset),
    /// The append had no effect, and the client receives no answer.
    Down,
    /// The append was refused because it exceeds the capacity.
    Full,
}

/// The outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The requested records.
    Records(ReadResponse),
    /// The client receives no answer.
    Down,
}

/// Streams of records; the offsets of a stream are consecutive and start at 0.
#[derive(Clone, Debug)]
pub struct LogModel {
    /// The active faults.
    pub faults: LogFaults,
    streams: BTreeMap<String, Vec<Vec<u8>>>,
    used_bytes: u64,
    capacity_bytes: u64,
}

impl Default for LogModel {
    fn default() -> Self {
        Self::with_capacity(DEFAULT_CAPACITY_BYTES)
    }
}

impl LogModel {
    /// Creates an empty log that refuses appends once the records of all streams would exceed
    /// `capacity_bytes`.
    pub fn with_capacity(capacity_bytes: u64) -> Self {
        Self {
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            used_bytes: 0,
            capacity_bytes,
        }
    }

    /// Appends a record, ignoring faults and capacity.
    pub fn append(&mut self, stream: &str, data: Vec<u8>) -> Offset {
        self.used_bytes += data.len() as u64;
        let records = self.streams.entry(stream.to_owned()).or_default();
        records.push(data);
        Offset(records.len() as u64 - 1)
    }

    /// Reads records from offset `from` on, ignoring faults. Returns records of at most `max_bytes` in
    /// total, but at least one if there is one. An unknown stream is empty.
    pub fn read(&self, stream: &str, from: Offset, max_bytes: usize) -> ReadResponse {
        let records = self.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let end = Offset(records.len() as u64);
        let first = usize::try_from(from.0.min(end.0)).unwrap_or(records.len());
        let mut remaining_bytes = max_bytes;
        let mut selected = Vec::new();
        for (data, offset) in records[first..].iter().zip(from.0..) {
            if data.len() > remaining_bytes && !selected.is_empty() {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(data.len());
            selected.push(LogRecord {
                offset: Offset(offset),
                data: data.clone(),
            });
        }
        ReadResponse {
            records: selected,
            end,
        }
    }

    /// Appends a record subject to the active faults and the capacity. `rng` decides faults that have a
    /// probability.
    pub fn request_append(
        &mut self,
        stream: &str,
        data: Vec<u8>,
        rng: &mut dyn RngCore,
    ) -> AppendOutcome {
        if self.faults.down {
            return AppendOutcome::Down;
        }
        if self.used_bytes.saturating_add(data.len() as u64) > self.capacity_bytes {
            return AppendOutcome::Full;
        }
        let offset = self.append(stream, data);
        if self.loses_answer(rng) {
            return AppendOutcome::AnswerLost(offset);
        }
        AppendOutcome::Appended(offset)
    }

    /// Reads records subject to the active faults.
    pub fn request_read(&self, stream: &str, from: Offset, max_bytes: usize) -> ReadOutcome {
        if self.faults.down {
            return ReadOutcome::Down;
        }
        ReadOutcome::Records(self.read(stream, from, max_bytes))
    }

    /// Returns the offset of the next record of a stream.
    pub fn end(&self, stream: &str) -> Offset {
        Offset(self.streams.get(stream).map_or(0, Vec::len) as u64)
    }

    /// Returns the names of all non-empty streams, in order.
    pub fn streams(&self) -> impl Iterator<Item = &str> {
        self.streams.keys().map(String::as_str)
    }

    /// Returns the total size of all records, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    fn loses_answer(&mut self, rng: &mut dyn RngCore) -> bool {
        if self.faults.lose_next_answers > 0 {
            self.faults.lose_next_answers -= 1;
            return true;
        }
        let per_mille = self.faults.lose_answers_per_mille;
        per_mille > 0 && rng.random_range(0..PER_MILLE) < per_mille
    }
}
