//! Beginning to follow streams: from the latest snapshot where there is one.

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

/// Pause before a read of a search is repeated after no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The search for the control state's latest snapshot.
pub(crate) struct ControlLoading {
    bootstrap: Bootstrap,
    next_read: Offset,
    retry_at: Option<Timestamp>,
}

impl ControlLoading {
    pub(crate) fn new(writer: Writer) -> Self {
        let bootstrap = Bootstrap::new(writer);
        Self {
            next_read: bootstrap.first_read(),
            bootstrap,
            // The first event starts the first read.
            retry_at: Some(Timestamp(0)),
        }
    }
}

impl NodeCore {
    /// The writer of this start's control records: until the log has given it its incarnation, the
    /// nonce tells its records from those of earlier starts.
    pub(crate) fn control_writer(&self) -> Writer {
        Writer {
            node: self.settings.node.clone(),
            incarnation: Incarnation(self.nonce),
        }
    }

    /// Sends the read that the control state's loading waits for, if one is due.
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

    /// A read of the control stream ended; `false` if it was not for the loading.
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

    fn control_loaded(&mut self, start: Offset) {
        self.control_loading = None;
        self.streams.control = control_stream(self.control_writer(), start, self.now);
        self.apply_services();
        self.tenant_limits_changed();
        self.drive_control_stream(logstream::Event::Propose {
            epoch: Epoch(0),
            body: ControlBody::NodeStarted {
                node: self.settings.node.clone(),
                nonce: self.nonce,
            },
        });
    }

    fn read_now(&mut self, stream: StreamName, from: Offset) {
        self.agenda.effect(Effect::Read {
            stream,
            from,
            wait: Duration::ZERO,
        });
    }

    /// Begins the search for a partition's latest snapshot.
    pub(crate) fn begin_search(&mut self, partition: PartitionId) {
        let search = SnapshotSearch::default();
        let from = search.next_read();
        self.ownership.searches.insert(partition, search);
        self.read_now(StreamName::Partition(partition), from);
    }

    /// Repeats the read of a search that got no answer.
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

    /// A read of a partition's stream ended; `false` if it was not for a search.
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
        match search.take(read) {
            SearchStep::Read { from } => self.read_now(StreamName::Partition(partition), from),
            SearchStep::Done { start } => {
                self.ownership.searches.remove(&partition);
                self.follow_partition(partition, start);
            }
        }
        true
    }

    /// Follows a partition's stream from an offset on, with an empty state machine.
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
        let Some(held) = self.ownership.held.get_mut(&partition) else {
            return;
        };
        let replaced = std::mem::replace(&mut held.machine, machine);
        self.ownership.retired += replaced.counters().without_gauges();
        held.start = start;
        self.streams.partitions.insert(partition, stream);
        self.drive_partition_stream(partition, logstream::Event::Tick);
    }

    fn next_sequence(&self, partition: PartitionId) -> Sequence {
        let followed = self.streams.partitions.get(&partition);
        followed
            .map(LogStream::next_sequence)
            .or_else(|| self.ownership.sequences.get(&partition).copied())
            .unwrap_or(Sequence(1))
    }
}
