//! The append-only log service.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_platform_api::log::{LogRecord, ReadResponse};
use elderworks_types::Offset;
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};

/// Bytes of records that a model holds unless told otherwise.
pub const DEFAULT_CAPACITY_BYTES: u64 = 1 << 30;

const PER_MILLE: u16 = 1_000;

/// Faults of the log. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Nothing is answered, and nothing takes effect.
    pub down: bool,
    /// Added to the time of every request, in milliseconds.
    pub delay_ms: u64,
    /// The next so many appends take effect, but are not answered.
    pub lose_next_answers: u32,
    /// Of a thousand appends, so many (at random) take effect, but are not answered.
    pub lose_answers_per_mille: u16,
}

impl LogFaults {
    /// What the faults add to the time of a request.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It took effect, and the client learns so.
    Appended(Offset),
    /// It took effect, but the client does not learn so.
    AnswerLost(Offset),
    /// It had no effect, and the client gets no answer.
    Down,
    /// It had no effect: the model's capacity is used up.
    Full,
}

/// What becomes of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records asked for.
    Records(ReadResponse),
    /// The client gets no answer.
    Down,
}

/// Streams of records, each record at a dense offset from 0.
#[derive(Clone, Debug)]
pub struct LogModel {
    /// Faults in force.
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
    /// An empty log that refuses appends beyond `capacity_bytes` of records in all streams.
    pub fn with_capacity(capacity_bytes: u64) -> Self {
        Self {
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            used_bytes: 0,
            capacity_bytes,
        }
    }

    /// Appends regardless of faults and capacity.
    pub fn append(&mut self, stream: &str, data: Vec<u8>) -> Offset {
        self.used_bytes += data.len() as u64;
        let records = self.streams.entry(stream.to_owned()).or_default();
        records.push(data);
        Offset(records.len() as u64 - 1)
    }

    /// Reads regardless of faults: records from `from` on, as many as `max_bytes` allows but at
    /// least one where there is one. A stream that was never written is empty.
    pub fn read(&self, stream: &str, from: Offset, max_bytes: usize) -> ReadResponse {
        let records = self.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let end = Offset(records.len() as u64);
        let first = usize::try_from(from.0.min(end.0)).unwrap_or(records.len());
        let mut room = max_bytes;
        let mut given = Vec::new();
        for (data, offset) in records[first..].iter().zip(from.0..) {
            if data.len() > room && !given.is_empty() {
                break;
            }
            room = room.saturating_sub(data.len());
            given.push(LogRecord {
                offset: Offset(offset),
                data: data.clone(),
            });
        }
        ReadResponse {
            records: given,
            end,
        }
    }

    /// Appends as the faults in force allow. `rng` decides where a fault is a probability.
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

    /// Reads as the faults in force allow.
    pub fn request_read(&self, stream: &str, from: Offset, max_bytes: usize) -> ReadOutcome {
        if self.faults.down {
            return ReadOutcome::Down;
        }
        ReadOutcome::Records(self.read(stream, from, max_bytes))
    }

    /// The offset that the stream's next record will have.
    pub fn end(&self, stream: &str) -> Offset {
        Offset(self.streams.get(stream).map_or(0, Vec::len) as u64)
    }

    /// Names of the streams written so far, in order.
    pub fn streams(&self) -> impl Iterator<Item = &str> {
        self.streams.keys().map(String::as_str)
    }

    /// Bytes of records held.
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
