//! Taking over partitions and letting them go, a bounded number at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_execution::{self as execution, Partition};
use elderworks_logstream::{self as logstream, LogStream};
use elderworks_protocol::gossip::MemberState;
use elderworks_protocol::record::Writer;
use elderworks_types::{Epoch, NodeId, Offset, PartitionId, Sequence, Timestamp};

use crate::core::NodeCore;
use crate::snapshot_search::SnapshotSearch;
use crate::streams::Delivery;

/// Partitions that one node loads or claims at the same time. Bounds the reads that the loss of
/// many nodes at once puts on the log.
pub const TAKEOVERS_AT_ONCE: usize = 16;

/// A claim that waited this long for the present owner's release goes ahead without it.
pub const HANDOVER_LIMIT: Duration = Duration::from_secs(10);

/// Where this node stands with one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reading the stream.
    Loading,
    /// Claim asked for, not yet in force.
    Claiming(Claiming),
    /// In force.
    Owned,
    /// Release asked for, not yet in force.
    Releasing,
    /// Not owned any more; waiting for its last records to be read back.
    Closing,
}

/// A claim that is not yet in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claiming {
    /// Since when the present owner's release has been waited for.
    since: Timestamp,
    /// That owner's epoch.
    epoch: Epoch,
    /// Whether the release is not waited for any more.
    forced: bool,
}

/// One partition that this node follows.
pub(crate) struct Held {
    pub(crate) machine: Partition,
    pub(crate) phase: Phase,
    pub(crate) epoch: Option<Epoch>,
    /// Where the replay of its stream began.
    pub(crate) start: Offset,
    /// When a record was last read, or an attempt or append last open.
    pub(crate) last_activity: Timestamp,
    /// End of what had been read when activity was last looked for.
    pub(crate) seen: Offset,
}

impl Held {
    /// Whether the state is that of the whole stream. A replay that began in the middle, at a
    /// snapshot, is not if the snapshot turned out to be broken.
    fn is_whole(&self) -> bool {
        self.start == Offset(0) || self.machine.is_loaded()
    }

    fn is_taking_over(&self) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Claiming(_))
    }
}

/// Partitions that this node follows, and what must outlive following them.
#[derive(Default)]
pub(crate) struct Ownership {
    pub(crate) held: BTreeMap<PartitionId, Held>,
    /// Searches for the latest snapshot of partitions that are being loaded.
    pub(crate) searches: BTreeMap<PartitionId, SnapshotSearch>,
    /// Next sequence on streams that this incarnation has written and stopped following.
    pub(crate) sequences: BTreeMap<PartitionId, Sequence>,
    /// What partitions counted that are no longer held.
    pub(crate) retired: execution::Counters,
}

impl Ownership {
    /// Whether this node owns the partition, be it while letting it go.
    pub(crate) fn owns(&self, partition: PartitionId) -> bool {
        self.held
            .get(&partition)
            .is_some_and(|held| held.epoch.is_some())
    }

    pub(crate) fn owned(&self) -> impl Iterator<Item = PartitionId> {
        self.held
            .iter()
            .filter(|(_, held)| held.epoch.is_some())
            .map(|(partition, _)| *partition)
    }

    /// What all partitions counted since the start, and their sizes as of now.
    pub(crate) fn execution_counters(&self) -> execution::Counters {
        let mut total = self.retired;
        for held in self.held.values() {
            total += held.machine.counters();
        }
        total
    }

    fn takeovers(&self) -> usize {
        let taking_over = self.held.values().filter(|held| held.is_taking_over());
        taking_over.count()
    }
}

impl NodeCore {
    /// Brings what this node follows in line with what it should own.
    pub(crate) fn reconcile_ownership(&mut self) {
        let partitions: Vec<PartitionId> = self.ownership.held.keys().copied().collect();
        for partition in partitions {
            self.reconcile_partition(partition);
        }
        if self.may_take_over() {
            self.open_partitions();
        }
    }

    fn reconcile_partition(&mut self, partition: PartitionId) {
        let wanted = self.assignment.owner(partition) == Some(&self.settings.node);
        let caught_up = self
            .streams
            .partitions
            .get(&partition)
            .is_some_and(LogStream::caught_up);
        let Some(held) = self.ownership.held.get_mut(&partition) else {
            return;
        };
        match held.phase {
            Phase::Loading | Phase::Claiming(_) if !wanted => {
                held.phase = Phase::Closing;
                // Withdraws the wish to claim.
                self.agenda.partition(partition, execution::Event::Release);
            }
            Phase::Loading if caught_up && held.is_whole() => self.claim(partition, None),
            Phase::Loading if caught_up => self.follow_partition(partition, Offset(0)),
            Phase::Loading => self.continue_search(partition),
            Phase::Claiming(claiming) => self.claim(partition, Some(claiming)),
            Phase::Owned if !wanted => {
                held.phase = Phase::Releasing;
                self.agenda.partition(partition, execution::Event::Release);
            }
            Phase::Closing if wanted && caught_up && held.is_whole() => {
                self.claim(partition, None);
            }
            Phase::Closing if wanted => held.phase = Phase::Loading,
            Phase::Closing => self.close_partition(partition),
            Phase::Owned | Phase::Releasing => {}
        }
    }

    /// Asks the partition to claim, without waiting for a release where none can be expected. Asked
    /// again until the claim is in force: one that lost a race is forgotten by the partition.
    fn claim(&mut self, partition: PartitionId, earlier: Option<Claiming>) {
        let cannot_release = self.owner_cannot_release(partition);
        let Some(held) = self.ownership.held.get_mut(&partition) else {
            return;
        };
        let (epoch, _) = held.machine.owner();
        let waiting = earlier.filter(|earlier| earlier.epoch == epoch);
        let since = waiting.map_or(self.now, |waiting| waiting.since);
        let forced = cannot_release || self.now.since(since) >= HANDOVER_LIMIT;
        let forced_before = waiting.is_some_and(|waiting| waiting.forced);
        self.counters.forced_claims += u64::from(forced && !forced_before);
        held.phase = Phase::Claiming(Claiming {
            since,
            epoch,
            forced,
        });
        self.agenda
            .partition(partition, execution::Event::Claim { forced });
    }

    /// Whether the owner by the stream is an earlier start of this node, dead, or unknown.
    fn owner_cannot_release(&self, partition: PartitionId) -> bool {
        let Some(held) = self.ownership.held.get(&partition) else {
            return false;
        };
        match held.machine.owner() {
            (_, Some(owner)) => owner.node == self.settings.node || !self.is_live(&owner.node),
            (_, None) => false,
        }
    }

    fn is_live(&self, node: &NodeId) -> bool {
        let Some(membership) = &self.membership else {
            return false;
        };
        membership
            .members()
            .any(|member| member.update.node == *node && member.update.state != MemberState::Dead)
    }

    /// Opens assigned partitions that are not followed yet, those that callers wait for first.
    fn open_partitions(&mut self) {
        let capacity = TAKEOVERS_AT_ONCE.saturating_sub(self.ownership.takeovers());
        if capacity == 0 {
            return;
        }
        let awaited = self.requests.awaited_partitions();
        let missing: BTreeSet<(bool, PartitionId)> = self
            .assignment
            .assigned_to(&self.settings.node)
            .filter(|partition| !self.ownership.held.contains_key(partition))
            .map(|partition| (!awaited.contains(&partition), partition))
            .collect();
        for (_, partition) in missing.into_iter().take(capacity) {
            self.open_partition(partition);
        }
    }

    fn open_partition(&mut self, partition: PartitionId) {
        let Some(incarnation) = self.incarnation else {
            return;
        };
        let writer = Writer {
            node: self.settings.node.clone(),
            incarnation,
        };
        let held = Held {
            machine: Partition::new(partition, writer, self.settings.execution.clone()),
            phase: Phase::Loading,
            epoch: None,
            start: Offset(0),
            last_activity: self.now,
            seen: Offset(0),
        };
        self.ownership.held.insert(partition, held);
        self.begin_search(partition);
    }

    /// Stops following a partition once nothing of this node's is on its way to the stream.
    fn close_partition(&mut self, partition: PartitionId) {
        if let Some(stream) = self.streams.partitions.get(&partition) {
            if stream.outstanding() > 0 {
                return;
            }
            let next_sequence = stream.next_sequence();
            self.ownership.sequences.insert(partition, next_sequence);
        }
        self.streams.partitions.remove(&partition);
        self.ownership.searches.remove(&partition);
        if let Some(held) = self.ownership.held.remove(&partition) {
            self.ownership.retired += held.machine.counters().without_gauges();
        }
    }

    /// Gives one input to a partition's stream client and passes on what it delivers.
    pub(crate) fn drive_partition_stream(
        &mut self,
        partition: PartitionId,
        input: logstream::Event<elderworks_protocol::journal::JournalBody>,
    ) {
        let deliveries =
            self.streams
                .handle_partition(self.now, partition, input, &mut self.agenda);
        for delivery in deliveries {
            let event = match delivery {
                Delivery::Record { offset, record, .. } => {
                    self.note_run_end(partition, &record.body);
                    execution::Event::RecordRead { offset, record }
                }
                Delivery::Batch { .. } => continue,
                Delivery::Reachable(reachable) => execution::Event::LogReachable(reachable),
            };
            self.agenda.partition(partition, event);
        }
    }

    /// The partition began or ceased to be this node's, as its stream shows.
    pub(crate) fn ownership_changed(&mut self, partition: PartitionId, owned: Option<Epoch>) {
        let wanted = self.assignment.owner(partition) == Some(&self.settings.node);
        let Some(held) = self.ownership.held.get_mut(&partition) else {
            return;
        };
        let owned_before = held.epoch.is_some();
        held.epoch = owned;
        let (seen, _) = held.machine.owner();
        held.phase = match owned {
            Some(_) => Phase::Owned,
            None if wanted => Phase::Claiming(Claiming {
                since: self.now,
                epoch: seen,
                forced: false,
            }),
            None => Phase::Closing,
        };
        match (owned_before, owned.is_some()) {
            (false, true) => {
                self.counters.partitions_gained += 1;
                self.announce_tenant_limits(partition);
                self.release_requests(partition);
            }
            (true, false) => {
                self.counters.partitions_lost += 1;
                self.forget_attempts(partition);
                self.turn_away_for(partition);
            }
            _ => {}
        }
    }
}
