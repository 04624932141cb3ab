//! Clients of the log's streams, and the tokens that identify their appends.

use std::collections::BTreeMap;

use elderworks_control::ControlBody;
use elderworks_logstream::{self as logstream, LogStream, StreamSettings};
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, StreamName, Writer};
use elderworks_types::{Offset, PartitionId, Sequence, Timestamp};

use crate::effect::Effect;
use crate::event::AppendToken;
use crate::step::Agenda;

/// A delivery of a stream client: a record in stream order, an encoded batch, or the state of the log.
#[derive(Debug)]
pub(crate) enum Delivery<B> {
    Record {
        offset: Offset,
        index: u32,
        record: Record<B>,
    },
    Batch {
        offset: Offset,
        bytes: Vec<u8>,
    },
    Reachable(bool),
}

/// Creates the client of the control stream.
pub(crate) fn control_stream(
    writer: Writer,
    start: Offset,
    now: Timestamp,
) -> LogStream<ControlBody> {
    let settings = StreamSettings {
        emit_batches: true,
        ..StreamSettings::default()
    };
    LogStream::new(writer, Sequence(1), start, now, settings)
}

/// Clients of all streams that this node follows.
pub(crate) struct Streams {
    pub(crate) control: LogStream<ControlBody>,
    pub(crate) partitions: BTreeMap<PartitionId, LogStream<JournalBody>>,
    appends: AppendTokens,
}

impl Streams {
    pub(crate) fn new(control: LogStream<ControlBody>) -> Self {
        Self {
            control,
            partitions: BTreeMap::new(),
            appends: AppendTokens::default(),
        }
    }

    /// Returns whether the log answers requests that concern a partition: according to the partition's
    /// stream, or to the control stream if the partition's stream is not followed.
    pub(crate) fn is_log_reachable(&self, partition: PartitionId) -> bool {
        match self.partitions.get(&partition) {
            Some(stream) => stream.reachable(),
            None => self.control.reachable(),
        }
    }

    /// Makes all partition streams check whether the log answers, after it did not answer another stream.
    pub(crate) fn suspect_outage(&mut self, now: Timestamp) {
        for stream in self.partitions.values_mut() {
            stream.suspect_outage(now);
        }
    }

    /// Removes an append and returns its stream and the token used by the client of that stream.
    pub(crate) fn append_ended(&mut self, token: AppendToken) -> Option<(StreamName, u64)> {
        self.appends.open.remove(&token)
    }

    /// Passes an input to the client of the control stream and returns its deliveries.
    pub(crate) fn handle_control(
        &mut self,
        now: Timestamp,
        input: logstream::Event<ControlBody>,
        agenda: &mut Agenda,
    ) -> Vec<Delivery<ControlBody>> {
        let effects = self.control.handle(now, input);
        self.appends.execute(StreamName::Control, effects, agenda)
    }

    /// Passes an input to the client of a partition's stream and returns its deliveries.
    pub(crate) fn handle_partition(
        &mut self,
        now: Timestamp,
        partition: PartitionId,
        input: logstream::Event<JournalBody>,
        agenda: &mut Agenda,
    ) -> Vec<Delivery<JournalBody>> {
        let Some(stream) = self.partitions.get_mut(&partition) else {
            return Vec::new();
        };
        let effects = stream.handle(now, input);
        let name = StreamName::Partition(partition);
        self.appends.execute(name, effects, agenda)
    }
}

/// Appends in flight, identified by tokens that are unique across streams.
#[derive(Default)]
struct AppendTokens {
    next: AppendToken,
    open: BTreeMap<AppendToken, (StreamName, u64)>,
}

impl AppendTokens {
    /// Executes the effects of a stream client and returns its deliveries.
    fn execute<B>(
        &mut self,
        stream: StreamName,
        effects: Vec<logstream::Effect<B>>,
        agenda: &mut Agenda,
    ) -> Vec<Delivery<B>> {
        let mut deliveries = Vec::new();
        for effect in effects {
            match effect {
                logstream::Effect::Append { token, bytes } => {
                    let token = self.open(stream, token);
                    agenda.effect(Effect::Append {
                        stream,
                        token,
                        bytes,
                    });
                }
                logstream::Effect::Read { from, wait } => {
                    agenda.effect(Effect::Read { stream, from, wait });
                }
                logstream::Effect::Deliver {
                    offset,
                    index,
                    record,
                } => {
                    deliveries.push(Delivery::Record {
                        offset,
                        index,
                        record,
                    });
                }
                logstream::Effect::Batch { offset, bytes } => {
                    deliveries.push(Delivery::Batch { offset, bytes });
                }
                logstream::Effect::Reachable(reachable) => {
                    deliveries.push(Delivery::Reachable(reachable));
                }
            }
        }
        deliveries
    }

    fn open(&mut self, stream: StreamName, token_on_stream: u64) -> AppendToken {
        let token = self.next;
        self.next += 1;
        self.open.insert(token, (stream, token_on_stream));
        token
    }
}
