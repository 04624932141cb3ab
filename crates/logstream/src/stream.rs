//! The state machine that joins both sides.

use std::time::Duration;

use elderworks_protocol::decode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::{Epoch, Offset, Sequence, Timestamp};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::appender::Appender;
use crate::reader::Reader;

/// The log did not answer; what was asked may have happened all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

/// Records from one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRecords {
    /// `(offset, bytes)` in offset order, starting with the offset asked for.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// The stream's end when it was read: the offset that the next append will get, or later.
    pub end: Offset,
}

/// How eagerly a stream is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// A read is always open, held by the log while there is nothing new.
    Follow,
    /// Read up to the end, then again after an interval or when an append shows that others wrote.
    Poll {
        /// Time between reads at the end of the stream.
        interval: Duration,
    },
}

/// Intervals and sizes of one stream client.
#[derive(Clone, Debug)]
pub struct StreamSettings {
    /// How eagerly to read.
    pub mode: ReadMode,
    /// Longest time for which the log may hold a read open in [`ReadMode::Follow`].
    pub follow_wait: Duration,
    /// First pause after no answer; doubles with each further one.
    pub retry_backoff: Duration,
    /// Bytes of records that one append may carry. A single larger record goes alone.
    pub max_group_bytes: usize,
    /// With an append unconfirmed, or a due read unanswered, for this long, the log counts as
    /// unreachable.
    pub unreachable_after: Duration,
    /// Whether to give each batch's bytes beside its records, to be relayed to other readers.
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
    /// Append a record.
    Propose {
        /// Its epoch.
        epoch: Epoch,
        /// Its body.
        body: B,
    },
    /// An append was answered, or was not.
    Appended {
        /// Which, as in [`Effect::Append`].
        token: u64,
        /// Its offset.
        result: Result<Offset, NoAnswer>,
    },
    /// A read was answered, or was not.
    Read {
        /// The offset asked for.
        from: Offset,
        /// What was read.
        result: Result<ReadRecords, NoAnswer>,
    },
    /// Another reader of the same stream passes on what it has read, as [`Effect::Batch`] gave it
    /// there. Says nothing about whether the log answers.
    Relayed {
        /// `(offset, bytes)` in offset order.
        records: Vec<(Offset, Vec<u8>)>,
    },
    /// Time passed.
    Tick,
}

/// An output of [`LogStream::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<B> {
    /// Append these bytes.
    Append {
        /// Matches the answer.
        token: u64,
        /// One encoded batch.
        bytes: Vec<u8>,
    },
    /// Read from an offset on.
    Read {
        /// First offset wanted.
        from: Offset,
        /// How long the log may hold the read while there is nothing new.
        wait: Duration,
    },
    /// The next batch of the stream as its bytes stand there; its records follow. Only with
    /// [`StreamSettings::give_batches`].
    Batch {
        /// Its offset.
        offset: Offset,
        /// Its bytes, which need not be a batch.
        bytes: Vec<u8>,
    },
    /// The next record of the stream.
    Deliver {
        /// Its offset.
        offset: Offset,
        /// Its position within the batch at that offset, from 0.
        index: u32,
        /// The record.
        record: Record<B>,
    },
    /// The log stopped answering (`false`), or answers again (`true`).
    Reachable(bool),
}

/// Client of one stream, for one writer.
pub struct LogStream<B> {
    settings: StreamSettings,
    appender: Appender<B>,
    reader: Reader,
    last_answer: Timestamp,
    /// Longest pause that may follow the last answer of a healthy log.
    longest_pause: Duration,
    reachable: bool,
}

impl<B: Clone + Serialize + DeserializeOwned> LogStream<B> {
    /// A client that reads from `start` on.
    ///
    /// `first_sequence` must be above every sequence that the same writer incarnation has used on
    /// this stream: readers drop lower ones as repeats.
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
            longest_pause: longest_pause(&settings),
            settings,
            reachable: true,
        }
    }

    /// Sequence that the next proposed record will carry.
    pub fn next_sequence(&self) -> Sequence {
        self.appender.next_sequence()
    }

    /// The next offset to be delivered.
    pub fn next_offset(&self) -> Offset {
        self.reader.next()
    }

    /// Whether everything up to the end heard of last has been delivered.
    pub fn caught_up(&self) -> bool {
        self.reader.caught_up()
    }

    /// Appends not yet read back, in flight or waiting; callers bound what they propose by it.
    pub fn outstanding(&self) -> usize {
        self.appender.outstanding()
    }

    /// Calls in question what is known of the stream's end, as after a pause of the process:
    /// [`Self::caught_up`] is false until a read that is opened from now on is answered.
    pub fn mark_end_stale(&mut self, now: Timestamp) {
        self.reader.doubt(now);
    }

    /// Polls at another interval from now on; a shorter one also brings the next read forward.
    /// Without effect in [`ReadMode::Follow`].
    pub fn set_poll_interval(&mut self, now: Timestamp, interval: Duration) {
        if let ReadMode::Poll { interval: present } = &mut self.settings.mode {
            *present = interval;
            self.reader.read_before(now + interval);
        }
    }

    /// Whether the log answers.
    pub fn reachable(&self) -> bool {
        self.reachable
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event<B>) -> Vec<Effect<B>> {
        let mut effects = Vec::new();
        match event {
            Event::Propose { epoch, body } => self.appender.push(epoch, body),
            Event::Appended { token, result } => self.on_appended(now, token, result, &mut effects),
            Event::Read { from, result } => self.on_read(now, from, result, &mut effects),
            Event::Relayed { records } => self.deliver_contiguous(records, &mut effects),
            Event::Tick => {}
        }
        self.judge_reachability(now, &mut effects);
        self.start_work(now, &mut effects);
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
            self.appender.no_answer(token, now, &self.settings);
            self.reader.read_soon(now);
            return;
        };
        self.answered(now);
        self.reader.learn_end(offset.next());
        let Some(bytes) = self.appender.in_flight_bytes(token) else {
            return;
        };
        // Everything below `offset` has been delivered, so these bytes are the next on the stream.
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
            self.reader.read_unanswered(now, &self.settings);
            return;
        };
        self.answered(now);
        self.reader.read_answered(end, now, &self.settings);
        if from > self.reader.next() {
            return;
        }
        self.deliver_contiguous(records, effects);
    }

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

    /// Delivers the batch at the reader's next offset. Bytes that are not a batch are void for
    /// every reader alike and only move the position.
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
            self.appender.read_back(&record.writer, record.sequence);
            let index = u32::try_from(index).expect("a batch is bounded by its size");
            effects.push(Effect::Deliver {
                offset,
                index,
                record,
            });
        }
    }

    /// While an append is in flight the log counts as reachable only as long as that append is
    /// young: a log that answers reads but takes no appends is of no use to a writer.
    fn judge_reachability(&mut self, now: Timestamp, effects: &mut Vec<Effect<B>>) {
        let silent_for = match self.appender.in_flight_since() {
            Some(first_sent) => now.since(first_sent),
            None => now
                .since(self.last_answer)
                .saturating_sub(self.longest_pause),
        };
        let reachable = silent_for <= self.settings.unreachable_after;
        if reachable != self.reachable {
            self.reachable = reachable;
            effects.push(Effect::Reachable(reachable));
        }
    }

    /// The log answered. What pause is allowed until its next answer is decided now: the interval
    /// may become shorter before the next read.
    fn answered(&mut self, now: Timestamp) {
        self.last_answer = now;
        self.longest_pause = longest_pause(&self.settings);
    }

    fn start_work(&mut self, now: Timestamp, effects: &mut Vec<Effect<B>>) {
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

/// Longest time between answers of a healthy log with nothing to append.
fn longest_pause(settings: &StreamSettings) -> Duration {
    match settings.mode {
        ReadMode::Follow => settings.follow_wait,
        ReadMode::Poll { interval } => interval,
    }
}
