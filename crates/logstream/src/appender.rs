//! Appending: numbers, groups and retries records.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_protocol::encode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::{Epoch, Sequence, Timestamp};
use serde::Serialize;

use crate::stream::StreamSettings;

/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of times that the delay is doubled; prevents an overflow of the factor.
const MAX_DOUBLINGS: u32 = 8;

/// Appends the records of one writer to one stream.
pub(crate) struct Appender<B> {
    writer: Writer,
    next_sequence: Sequence,
    next_token: u64,
    waiting: VecDeque<SizedRecord<B>>,
    in_flight: Option<InFlight>,
}

/// A record that waits to be appended, with its encoded size.
struct SizedRecord<B> {
    record: Record<B>,
    encoded_bytes: usize,
}

/// The append that is in flight or waits for a retry.
struct InFlight {
    /// Identifies the latest attempt; replies to earlier attempts are ignored.
    token: u64,
    last_sequence: Sequence,
    bytes: Vec<u8>,
    failures: u32,
    first_sent: Timestamp,
    /// Time of the next attempt; `None` while a reply is pending.
    retry_at: Option<Timestamp>,
}

impl<B: Serialize> Appender<B> {
    pub(crate) fn new(writer: Writer, first_sequence: Sequence) -> Self {
        Self {
            writer,
            next_sequence: first_sequence,
            next_token: 1,
            waiting: VecDeque::new(),
            in_flight: None,
        }
    }

    pub(crate) fn next_sequence(&self) -> Sequence {
        self.next_sequence
    }

    /// Returns the number of waiting records, plus one if an append is in flight.
    pub(crate) fn outstanding(&self) -> usize {
        self.waiting.len() + usize::from(self.in_flight.is_some())
    }

    /// Returns the time at which the append in flight was first sent.
    pub(crate) fn in_flight_since(&self) -> Option<Timestamp> {
        self.in_flight
            .as_ref()
            .map(|in_flight| in_flight.first_sent)
    }

    /// Queues a record for appending.
    pub(crate) fn push(&mut self, epoch: Epoch, body: B) {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.next();
        let record = Record {
            writer: self.writer.clone(),
            sequence,
            epoch,
            body,
        };
        let encoded_bytes = encode(&record).len();
        self.waiting.push_back(SizedRecord {
            record,
            encoded_bytes,
        });
    }

    /// Returns the token and bytes of the next append, if one is due.
    pub(crate) fn next_append(
        &mut self,
        now: Timestamp,
        settings: &StreamSettings,
    ) -> Option<(u64, Vec<u8>)> {
        if self.in_flight.is_some() {
            return self.retry(now);
        }
        let records = self.take_group(settings.max_group_bytes);
        let last_sequence = records.last()?.sequence;
        let token = self.take_token();
        let bytes = encode(&RecordBatch { records });
        self.in_flight = Some(InFlight {
            token,
            last_sequence,
            bytes: bytes.clone(),
            failures: 0,
            first_sent: now,
            retry_at: None,
        });
        Some((token, bytes))
    }

    /// Removes waiting records up to `max_group_bytes`, but at least one.
    fn take_group(&mut self, max_group_bytes: usize) -> Vec<Record<B>> {
        let mut records = Vec::new();
        let mut group_bytes = 0;
        while let Some(next) = self.waiting.front() {
            let full = group_bytes + next.encoded_bytes > max_group_bytes;
            if full && !records.is_empty() {
                break;
            }
            group_bytes += next.encoded_bytes;
            records.extend(self.waiting.pop_front().map(|taken| taken.record));
        }
        records
    }

    fn retry(&mut self, now: Timestamp) -> Option<(u64, Vec<u8>)> {
        let due = self.in_flight.as_ref()?.retry_at? <= now;
        if !due {
            return None;
        }
        let token = self.take_token();
        let in_flight = self.in_flight.as_mut()?;
        in_flight.token = token;
        in_flight.retry_at = None;
        Some((token, in_flight.bytes.clone()))
    }

    fn take_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    /// Returns the bytes in flight under `token`, unless they have been read back or sent again.
    pub(crate) fn in_flight_bytes(&self, token: u64) -> Option<&[u8]> {
        let in_flight = self.in_flight.as_ref()?;
        (in_flight.token == token).then_some(in_flight.bytes.as_slice())
    }

    /// Schedules a retry of a failed append.
    pub(crate) fn append_failed(&mut self, token: u64, now: Timestamp, settings: &StreamSettings) {
        let Some(in_flight) = self.in_flight.as_mut() else {
            return;
        };
        if in_flight.token != token {
            return;
        }
        let factor = 1 << in_flight.failures.min(MAX_DOUBLINGS);
        let backoff = settings.retry_backoff.saturating_mul(factor);
        in_flight.failures += 1;
        in_flight.retry_at = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Handles a record that was read from the stream. The append in flight is complete when its last
    /// record has been read back.
    pub(crate) fn on_record_read(&mut self, writer: &Writer, sequence: Sequence) {
        let confirmed = *writer == self.writer
            && self
                .in_flight
                .as_ref()
                .is_some_and(|in_flight| in_flight.last_sequence <= sequence);
        if confirmed {
            self.in_flight = None;
        }
    }
}
