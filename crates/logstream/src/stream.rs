//! The state machine that combines appending and reading.

use std::time::Duration;

use elderworks_protocol::decode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::{Epoch, Offset, Sequence, Timestamp};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::appender::Appender;
use crate::reader::Reader;

/// Error of a request to the log that failed or got no reply. The request may still have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRecords {
    /// Offsets and bytes in offset order, starting with the requested offset.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// The stream's end at the time of the read: the smallest offset that the next append can get.
    pub end: Offset,
}

/// When a stream is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// Always keep a read open, which the log holds until there are new records.
    Follow,
    /// Read up to the end, then again after an interval, or earlier if an append returns an offset beyond
    /// the known end.
    Poll {
        /// Interval between reads at the end of the stream.
        interval: Duration,
    },
}

/// Settings of a [`LogStream`].
#[derive(Clone, Debug)]
pub struct StreamSettings {
    /// When to read.
    pub mode: ReadMode,
    /// Maximum time for which the log holds a read open in [`ReadMode::Follow`].
    pub follow_wait: Duration,
    /// Delay before the first retry of a failed append, doubled with each further failure; also the
    /// delay after a failed read.
    pub retry_backoff: Duration,
    /// Maximum size of the records in one append, in bytes. A larger record is appended alone.
    pub max_group_bytes: usize,
    /// The log is considered unreachable if an append remains unconfirmed, or a due read without reply,
    /// for longer than this.
    pub unreachable_after: Duration,
    /// Whether to emit [`Effect::Batch`] with each batch's bytes, to be relayed to other readers.
    pub emit_batches: bool,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            mode: ReadMode::Follow,
            follow_wait: Duration::from_secs(5),
            retry_backoff: Duration::from_millis(50),
            max_group_bytes: 256 * 1024,
            unreachable_after: Duration::from_secs(3),
            emit_batches: false,
        }
    }
}

/// An input of [`LogStream::handle`].
#[derive(Clone, Debug)]
pub enum Event<B> {
    /// Requests that a record be appended.
    Propose {
        /// The record's epoch.
        epoch: Epoch,
        /// The record's body.
        body: B,
    },
    /// An append completed or failed.
    Appended {
        /// Token from [`Effect::Append`].
        token: u64,
        /// The offset of the appended batch.
        result: Result<Offset, NoAnswer>,
    },
    /// A read completed or failed.
    Read {
        /// The requested offset.
        from: Offset,
        /// The result of the read.
        result: Result<ReadRecords, NoAnswer>,
    },
    /// Another reader of the same stream relayed batches that it obtained with [`Effect::Batch`]. Doesn't
    /// affect reachability, since it does not involve the log.
    Relayed {
        /// Offsets and bytes in offset order.
        records: Vec<(Offset, Vec<u8>)>,
    },
    /// Time has advanced.
    Tick,
}

/// An output of [`LogStream::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<B> {
    /// Append a batch to the log.
    Append {
        /// Correlation token for [`Event::Appended`].
        token: u64,
        /// The encoded batch.
        bytes: Vec<u8>,
    },
    /// Read from an offset on.
    Read {
        /// First requested offset.
        from: Offset,
        /// Maximum time for which the log holds the read while there are no new records.
        wait: Duration,
    },
    /// The bytes of the stream's next batch, followed by one [`Self::Deliver`] for each of its records.
    /// Emitted only with [`StreamSettings::emit_batches`].
    Batch {
        /// Offset of the batch.
        offset: Offset,
        /// Bytes as stored on the stream, which may not decode as a batch.
        bytes: Vec<u8>,
    },
    /// The next record of the stream.
    Deliver {
        /// Offset of the record's batch.
        offset: Offset,
        /// Index of the record within the batch, from 0.
        index: u32,
        /// The record.
        record: Record<B>,
    },
    /// The log became unreachable (`false`) or reachable again (`true`).
    Reachable(bool),
}

/// Client of one stream, for one writer.
pub struct LogStream<B> {
    settings: StreamSettings,
    appender: Appender<B>,
    reader: Reader,
    last_answer: Timestamp,
    /// Expected maximum time from the last reply of a healthy log to the next one.
    max_answer_gap: Duration,
    reachable: bool,
    /// End of the last pause of the process, unless a request has failed since. Replies that arrived
    /// during the pause may not have been handled yet, so it doesn't count as silence.
    resumed: Option<Timestamp>,
    suspicion: Suspicion,
}

/// Whether another stream's silence suggests that the log is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Suspicion {
    None,
    /// Until the next reply or failed request.
    Unconfirmed,
    /// A request of this stream has failed as well.
    Confirmed,
}

impl<B: Clone + Serialize + DeserializeOwned> LogStream<B> {
    /// Creates a client that reads from offset `start` on.
    ///
    /// `first_sequence` must be above every sequence that the same writer incarnation has used on
    /// this stream, since readers drop lower ones as duplicates.
    pub fn new(
        writer: Writer,
        first_sequence: Sequence,
        start: Offset,
        now: Timestamp,
        settings: StreamSettings,
    ) -> Self {
        Self {
            appender: Appender::new(writer, first_sequence),
            reader: Reader::new(start),
            last_answer: now,
            max_answer_gap: max_answer_gap(&settings),
            settings,
            reachable: true,
            resumed: None,
            suspicion: Suspicion::None,
        }
    }

    /// Returns the sequence of the next proposed record.
    pub fn next_sequence(&self) -> Sequence {
        self.appender.next_sequence()
    }

    /// Returns the next offset to be delivered.
    pub fn next_offset(&self) -> Offset {
        self.reader.next()
    }

    /// Returns whether all records up to the known end of the stream have been delivered.
    pub fn caught_up(&self) -> bool {
        self.reader.caught_up()
    }

    /// Returns the number of waiting records, plus one if an append is in flight. Callers use it to limit
    /// what they propose.
    pub fn outstanding(&self) -> usize {
        self.appender.outstanding()
    }

    /// Marks the known end of the stream as stale. [`Self::caught_up`] returns false until a read that
    /// starts from now on completes.
    pub fn mark_end_stale(&mut self, now: Timestamp) {
        self.reader.mark_end_stale(now);
    }

    /// Records that the process resumes after a pause, which doesn't count as silence of the log.
    pub fn note_pause(&mut self, now: Timestamp) {
        if self.reachable {
            self.resumed = Some(now);
        }
    }

    /// Records that the log doesn't answer another stream. This stream is read immediately; if the
    /// read fails, the log is considered unreachable without waiting for a longer silence.
    pub fn suspect_outage(&mut self, now: Timestamp) {
        if self.reachable && self.suspicion == Suspicion::None {
            self.suspicion = Suspicion::Unconfirmed;
            self.reader.read_immediately(now);
        }
    }

    /// Returns whether the log may be unreachable because it doesn't answer another stream, and this
    /// stream has got neither a reply nor an error since.
    pub fn is_outage_suspected(&self) -> bool {
        self.suspicion == Suspicion::Unconfirmed
    }

    /// Changes the poll interval. A shorter interval also makes the next read due earlier. Has no effect
    /// in [`ReadMode::Follow`].
    pub fn set_poll_interval(&mut self, now: Timestamp, interval: Duration) {
        if let ReadMode::Poll { interval: current } = &mut self.settings.mode {
            *current = interval;
            self.reader.read_no_later_than(now + interval);
        }
    }

    /// Returns whether the log is considered reachable.
    pub fn reachable(&self) -> bool {
        self.reachable
    }

    /// Handles an event and returns the resulting effects, which the caller carries out in order.
    pub fn handle(&mut self, now: Timestamp, event: Event<B>) -> Vec<Effect<B>> {
        let mut effects = Vec::new();
        match event {
            Event::Propose { epoch, body } => self.appender.push(epoch, body),
            Event::Appended { token, result } => self.on_appended(now, token, result, &mut effects),
            Event::Read { from, result } => self.on_read(now, from, result, &mut effects),
            Event::Relayed { records } => self.deliver_contiguous(records, &mut effects),
            Event::Tick => {}
        }
        self.update_reachability(now, &mut effects);
        self.start_due_requests(now, &mut effects);
        effects
    }

    fn on_appended(
        &mut self,
        now: Timestamp,
        token: u64,
        result: Result<Offset, NoAnswer>,
        effects: &mut Vec<Effect<B>>,
    ) {
        let Ok(offset) = result else {
            self.record_failure();
            self.appender.append_failed(token, now, &self.settings);
            self.reader.read_immediately(now);
            return;
        };
        self.record_answer(now);
        self.reader.update_known_end(offset.next());
        let Some(bytes) = self.appender.in_flight_bytes(token) else {
            return;
        };
        // All records below `offset` have been delivered, so this batch is the next one.
        if offset == self.reader.next() {
            let bytes = bytes.to_vec();
            self.deliver(offset, &bytes, effects);
        }
    }

    fn on_read(
        &mut self,
        now: Timestamp,
        from: Offset,
        result: Result<ReadRecords, NoAnswer>,
        effects: &mut Vec<Effect<B>>,
    ) {
        let Ok(ReadRecords { records, end }) = result else {
            self.record_failure();
            self.reader.read_failed(now, &self.settings);
            return;
        };
        self.record_answer(now);
        self.reader.read_completed(end, now, &self.settings);
        if from > self.reader.next() {
            return;
        }
        self.deliver_contiguous(records, effects);
    }

    /// Delivers the batches that continue the stream at the reader's position and skips all others.
    fn deliver_contiguous(
        &mut self,
        records: Vec<(Offset, Vec<u8>)>,
        effects: &mut Vec<Effect<B>>,
    ) {
        for (offset, bytes) in records {
            if offset == self.reader.next() {
                self.deliver(offset, &bytes, effects);
            }
        }
    }

    /// Delivers the batch at the reader's next offset. All readers ignore bytes that don't decode as a
    /// batch and only advance their position.
    fn deliver(&mut self, offset: Offset, bytes: &[u8], effects: &mut Vec<Effect<B>>) {
        self.reader.advance();
        if self.settings.emit_batches {
            let bytes = bytes.to_vec();
            effects.push(Effect::Batch { offset, bytes });
        }
        let Ok(batch) = decode::<RecordBatch<B>>(bytes) else {
            return;
        };
        for (index, record) in batch.records.into_iter().enumerate() {
            self.appender
                .on_record_read(&record.writer, record.sequence);
            let index = u32::try_from(index).expect("a batch is bounded by its size");
            effects.push(Effect::Deliver {
                offset,
                index,
                record,
            });
        }
    }

    /// Updates the reachability of the log. While an append is in flight, only the age of that append
    /// counts: a log that serves reads but accepts no appends is of no use to a writer.
    fn update_reachability(&mut self, now: Timestamp, effects: &mut Vec<Effect<B>>) {
        let silent_since = match self.appender.in_flight_since() {
            Some(first_sent) => first_sent,
            None => self.last_answer + self.max_answer_gap,
        };
        let silent_since = self.resumed.map_or(silent_since, |at| at.max(silent_since));
        let is_silent = now.since(silent_since) > self.settings.unreachable_after;
        let reachable = !is_silent && self.suspicion != Suspicion::Confirmed;
        if reachable != self.reachable {
            self.reachable = reachable;
            effects.push(Effect::Reachable(reachable));
        }
    }

    /// Records a reply of the log. The permitted gap until the next reply is fixed here, because the poll
    /// interval may be shortened before the next read.
    fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = now;
        self.max_answer_gap = max_answer_gap(&self.settings);
        self.suspicion = Suspicion::None;
    }

    /// Records that a request failed or got no reply in time.
    fn record_failure(&mut self) {
        self.resumed = None;
        if self.suspicion == Suspicion::Unconfirmed {
            self.suspicion = Suspicion::Confirmed;
        }
    }

    /// Starts the appends and reads that are due.
    fn start_due_requests(&mut self, now: Timestamp, effects: &mut Vec<Effect<B>>) {
        if let Some((token, bytes)) = self.appender.next_append(now, &self.settings) {
            effects.push(Effect::Append { token, bytes });
        }
        if let Some(from) = self.reader.open_read(now) {
            let wait = match self.settings.mode {
                ReadMode::Follow => self.settings.follow_wait,
                ReadMode::Poll { .. } => Duration::ZERO,
            };
            effects.push(Effect::Read { from, wait });
        }
    }
}

/// Returns the maximum time between replies of a healthy log while there is nothing to append.
fn max_answer_gap(settings: &StreamSettings) -> Duration {
    match settings.mode {
        ReadMode::Follow => settings.follow_wait,
        ReadMode::Poll { interval } => interval,
    }
}
