//! Start of replay of the control stream and of partition streams, from the latest snapshot if any.

use std::time::Duration;

use elderworks_control::{Bootstrap, BootstrapStep, ControlBody};
use elderworks_execution::Partition;
use elderworks_logstream::{self as logstream, LogStream, ReadMode, StreamSettings};
use elderworks_protocol::record::{StreamName, Writer};
use elderworks_types::{Epoch, Incarnation, Offset, PartitionId, Sequence, Timestamp};

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::event::{NoAnswer, ReadRecords};
use crate::pace::BUSY_PARTITION_INTERVAL;
use crate::snapshot_search::{SearchStep, SnapshotSearch};
use crate::streams::control_stream;

/// Delay before a read that got no answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Loading of the control state from its latest snapshot.
pub(crate) struct ControlLoading {
    bootstrap: Bootstrap,
    /// Offset of the current read.
    next_read: Offset,
    /// Time at which to repeat the current read.
    retry_at: Option<Timestamp>,
}

impl ControlLoading {
    pub(crate) fn new(writer: Writer) -> Self {
        let bootstrap = Bootstrap::new(writer);
        Self {
            next_read: bootstrap.first_read(),
            bootstrap,
            // Due at once: the first event sends the first read.
            retry_at: Some(Timestamp(0)),
        }
    }
}

impl NodeCore {
    /// Returns the writer of control records. It uses the nonce as its incarnation, which distinguishes its
    /// records from those of earlier starts: the real incarnation is only known once the start record has
    /// been read back.
    pub(crate) fn control_writer(&self) -> Writer {
        Writer {
            node: self.settings.node.clone(),
            incarnation: Incarnation(self.nonce),
        }
    }

    /// Sends the current read of the control state if it is due.
    pub(crate) fn continue_control_loading(&mut self) {
        let Some(loading) = &mut self.control_loading else {
            return;
        };
        if loading.retry_at.is_some_and(|at| at <= self.now) {
            loading.retry_at = None;
            let from = loading.next_read;
            self.read_now(StreamName::Control, from);
        }
    }

    /// Handles the result of a read of the control stream. Returns `false` if the state is loaded already.
    pub(crate) fn control_loading_read(&mut self, result: &Result<ReadRecords, NoAnswer>) -> bool {
        let Some(loading) = &mut self.control_loading else {
            return false;
        };
        let Ok(read) = result else {
            loading.retry_at = Some(self.now + RETRY_PAUSE);
            return true;
        };
        match loading.bootstrap.handle_read(&read.records, read.end) {
            BootstrapStep::Read { from } => {
                loading.next_read = from;
                self.read_now(StreamName::Control, from);
            }
            BootstrapStep::Done { control, start } => {
                self.control = *control;
                self.control_loaded(start);
            }
        }
        true
    }

    /// Starts to follow the control stream and writes the start record of this node.
    fn control_loaded(&mut self, start: Offset) {
        self.control_loading = None;
        self.streams.control = control_stream(self.control_writer(), start, self.now);
        self.apply_services();
        self.tenant_limits_changed();
        self.handle_control_stream_input(logstream::Event::Propose {
            epoch: Epoch(0),
            body: ControlBody::NodeStarted {
                node: self.settings.node.clone(),
                nonce: self.nonce,
            },
        });
    }

    /// Reads a stream without waiting for new records.
    fn read_now(&mut self, stream: StreamName, from: Offset) {
        self.agenda.effect(Effect::Read {
            stream,
            from,
            wait: Duration::ZERO,
        });
    }

    /// Starts the search for the latest snapshot of a partition.
    pub(crate) fn start_search(&mut self, partition: PartitionId) {
        let search = SnapshotSearch::default();
        let from = search.next_read();
        self.ownership.searches.insert(partition, search);
        self.read_now(StreamName::Partition(partition), from);
    }

    /// Repeats a read of a snapshot search that got no answer, if it is due.
    pub(crate) fn continue_search(&mut self, partition: PartitionId) {
        let Some(search) = self.ownership.searches.get_mut(&partition) else {
            return;
        };
        if search.retry_at.is_some_and(|at| at <= self.now) {
            search.retry_at = None;
            let from = search.next_read();
            self.read_now(StreamName::Partition(partition), from);
        }
    }

    /// Handles the result of a read of a partition's stream. Returns `false` if no search is active.
    pub(crate) fn search_read(
        &mut self,
        partition: PartitionId,
        from: Offset,
        result: &Result<ReadRecords, NoAnswer>,
    ) -> bool {
        let Some(search) = self.ownership.searches.get_mut(&partition) else {
            return false;
        };
        if from != search.next_read() {
            return true;
        }
        let Ok(read) = result else {
            search.retry_at = Some(self.now + RETRY_PAUSE);
            return true;
        };
        match search.handle_read(read) {
            SearchStep::Read { from } => self.read_now(StreamName::Partition(partition), from),
            SearchStep::Done { start } => {
                self.ownership.searches.remove(&partition);
                self.follow_partition(partition, start);
            }
        }
        true
    }

    /// Replays a partition's stream from `start` into an empty state machine.
    pub(crate) fn follow_partition(&mut self, partition: PartitionId, start: Offset) {
        let Some(incarnation) = self.incarnation else {
            return;
        };
        let writer = Writer {
            node: self.settings.node.clone(),
            incarnation,
        };
        let settings = StreamSettings {
            mode: ReadMode::Poll {
                interval: BUSY_PARTITION_INTERVAL,
            },
            ..StreamSettings::default()
        };
        let first_sequence = self.next_sequence(partition);
        let stream = LogStream::new(writer.clone(), first_sequence, start, self.now, settings);
        let machine = Partition::new(partition, writer, self.settings.execution.clone());
        let Some(followed) = self.ownership.followed.get_mut(&partition) else {
            return;
        };
        let replaced = std::mem::replace(&mut followed.machine, machine);
        self.ownership.closed_counters += replaced.counters().without_gauges();
        followed.start = start;
        self.streams.partitions.insert(partition, stream);
        self.handle_partition_stream_input(partition, logstream::Event::Tick);
    }

    /// Returns the sequence number of the next record that this node writes to a partition.
    fn next_sequence(&self, partition: PartitionId) -> Sequence {
        let followed = self.streams.partitions.get(&partition);
        followed
            .map(LogStream::next_sequence)
            .or_else(|| self.ownership.sequences.get(&partition).copied())
            .unwrap_or(Sequence(1))
    }
}
