//! Takeover and release of partitions, with a bounded number of concurrent takeovers.

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

/// Maximum number of partitions that a node loads or claims at the same time. Bounds the load on the log
/// when many nodes fail at once.
pub const MAX_CONCURRENT_TAKEOVERS: usize = 16;

/// Time for which a claim waits for the release by the current owner before it is forced.
pub const MAX_RELEASE_WAIT: Duration = Duration::from_secs(10);

/// State of a partition at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The stream is being read.
    Loading,
    /// A claim has been requested and is not in force yet.
    Claiming(Claiming),
    /// This node owns the partition.
    Owned,
    /// A release has been requested and is not in force yet.
    Releasing,
    /// The partition is no longer wanted, and the records of this node are still being read back.
    Closing,
}

/// A claim that is not in force yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claiming {
    /// Start of the wait for the release by the current owner.
    since: Timestamp,
    /// Epoch of the current owner.
    epoch: Epoch,
    /// Whether the claim no longer waits for the release.
    forced: bool,
}

/// A partition whose stream this node follows.
pub(crate) struct FollowedPartition {
    pub(crate) machine: Partition,
    pub(crate) phase: Phase,
    /// Epoch in which this node owns the partition; `None` if it doesn't.
    pub(crate) epoch: Option<Epoch>,
    /// Offset at which the replay started.
    pub(crate) start: Offset,
    /// Time at which a record was last read, or an attempt or append was last open.
    pub(crate) last_activity: Timestamp,
    /// Next offset to read, as of the last check for activity.
    pub(crate) next_offset_at_last_check: Offset,
}

impl FollowedPartition {
    /// Returns whether the state covers the whole stream. After a replay from a snapshot, it does not if
    /// the snapshot was invalid.
    fn is_complete(&self) -> bool {
        self.start == Offset(0) || self.machine.is_loaded()
    }

    fn is_taking_over(&self) -> bool {
        matches!(self.phase, Phase::Loading | Phase::Claiming(_))
    }
}

/// The followed partitions, and state kept after they are closed.
#[derive(Default)]
pub(crate) struct Ownership {
    pub(crate) followed: BTreeMap<PartitionId, FollowedPartition>,
    /// Active snapshot searches of partitions that are being loaded.
    pub(crate) searches: BTreeMap<PartitionId, SnapshotSearch>,
    /// Next sequence numbers on streams that this incarnation has written to and closed.
    pub(crate) sequences: BTreeMap<PartitionId, Sequence>,
    /// Totals of the closed partitions.
    pub(crate) closed_counters: execution::Counters,
}

impl Ownership {
    /// Returns whether this node owns the partition, also while it is being released.
    pub(crate) fn owns(&self, partition: PartitionId) -> bool {
        self.followed
            .get(&partition)
            .is_some_and(|followed| followed.epoch.is_some())
    }

    /// Returns the partitions that this node owns.
    pub(crate) fn owned(&self) -> impl Iterator<Item = PartitionId> {
        self.followed
            .iter()
            .filter(|(_, followed)| followed.epoch.is_some())
            .map(|(partition, _)| *partition)
    }

    /// Returns the counters of all partitions since the start, with current sizes.
    pub(crate) fn execution_counters(&self) -> execution::Counters {
        let mut total = self.closed_counters;
        for followed in self.followed.values() {
            total += followed.machine.counters();
        }
        total
    }

    /// Returns the number of partitions being loaded or claimed.
    fn takeovers(&self) -> usize {
        let taking_over = self
            .followed
            .values()
            .filter(|followed| followed.is_taking_over());
        taking_over.count()
    }
}

impl NodeCore {
    /// Moves each partition one step towards its assignment.
    pub(crate) fn reconcile_ownership(&mut self) {
        let partitions: Vec<PartitionId> = self.ownership.followed.keys().copied().collect();
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
        let Some(followed) = self.ownership.followed.get_mut(&partition) else {
            return;
        };
        match followed.phase {
            Phase::Loading | Phase::Claiming(_) if !wanted => {
                followed.phase = Phase::Closing;
                // Withdraws the claim.
                self.agenda.partition(partition, execution::Event::Release);
            }
            Phase::Loading if caught_up && followed.is_complete() => self.claim(partition, None),
            Phase::Loading if caught_up => self.follow_partition(partition, Offset(0)),
            Phase::Loading => self.continue_search(partition),
            Phase::Claiming(claiming) => self.claim(partition, Some(claiming)),
            Phase::Owned if !wanted => {
                followed.phase = Phase::Releasing;
                self.agenda.partition(partition, execution::Event::Release);
            }
            Phase::Closing if wanted && caught_up && followed.is_complete() => {
                self.claim(partition, None);
            }
            Phase::Closing if wanted => followed.phase = Phase::Loading,
            Phase::Closing => self.close_partition(partition),
            Phase::Owned | Phase::Releasing => {}
        }
    }

    /// Requests a claim, which is forced if no release can be expected. Repeated until the claim is in
    /// force, because the partition drops a claim that was overtaken by another one.
    fn claim(&mut self, partition: PartitionId, earlier: Option<Claiming>) {
        let cannot_release = self.owner_cannot_release(partition);
        let Some(followed) = self.ownership.followed.get_mut(&partition) else {
            return;
        };
        let (epoch, _) = followed.machine.owner();
        let waiting = earlier.filter(|earlier| earlier.epoch == epoch);
        let since = waiting.map_or(self.now, |waiting| waiting.since);
        let forced = cannot_release || self.now.since(since) >= MAX_RELEASE_WAIT;
        let forced_before = waiting.is_some_and(|waiting| waiting.forced);
        self.counters.forced_claims += u64::from(forced && !forced_before);
        followed.phase = Phase::Claiming(Claiming {
            since,
            epoch,
            forced,
        });
        self.agenda
            .partition(partition, execution::Event::Claim { forced });
    }

    /// Returns whether the current owner is an earlier start of this node, or is not a live member.
    fn owner_cannot_release(&self, partition: PartitionId) -> bool {
        let Some(followed) = self.ownership.followed.get(&partition) else {
            return false;
        };
        match followed.machine.owner() {
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

    /// Opens assigned partitions up to the limit, those with waiting requests first.
    fn open_partitions(&mut self) {
        let capacity = MAX_CONCURRENT_TAKEOVERS.saturating_sub(self.ownership.takeovers());
        if capacity == 0 {
            return;
        }
        let awaited = self.requests.awaited_partitions();
        let missing: BTreeSet<(bool, PartitionId)> = self
            .assignment
            .assigned_to(&self.settings.node)
            .filter(|partition| !self.ownership.followed.contains_key(partition))
            .map(|partition| (!awaited.contains(&partition), partition))
            .collect();
        for (_, partition) in missing.into_iter().take(capacity) {
            self.open_partition(partition);
        }
    }

    /// Starts to load a partition.
    fn open_partition(&mut self, partition: PartitionId) {
        let Some(incarnation) = self.incarnation else {
            return;
        };
        let writer = Writer {
            node: self.settings.node.clone(),
            incarnation,
        };
        let followed = FollowedPartition {
            machine: Partition::new(partition, writer, self.settings.execution.clone()),
            phase: Phase::Loading,
            epoch: None,
            start: Offset(0),
            last_activity: self.now,
            next_offset_at_last_check: Offset(0),
        };
        self.ownership.followed.insert(partition, followed);
        self.start_search(partition);
    }

    /// Closes a partition once all appends of this node have been read back.
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
        if let Some(followed) = self.ownership.followed.remove(&partition) {
            self.ownership.closed_counters += followed.machine.counters().without_gauges();
        }
    }

    /// Passes an input to the client of a partition's stream and forwards its deliveries.
    pub(crate) fn handle_partition_stream_input(
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
                    self.report_run_end(partition, &record.body);
                    execution::Event::RecordRead { offset, record }
                }
                Delivery::Batch { .. } => continue,
                Delivery::Reachable(reachable) => {
                    log::info!(partition = partition.0, reachable; "log reachability changed");
                    if !reachable {
                        self.streams.suspect_outage(self.now);
                    }
                    execution::Event::LogReachable(reachable)
                }
            };
            self.agenda.partition(partition, event);
        }
    }

    /// Handles a change of ownership that was read from the stream.
    pub(crate) fn ownership_changed(&mut self, partition: PartitionId, owned: Option<Epoch>) {
        let wanted = self.assignment.owner(partition) == Some(&self.settings.node);
        let Some(followed) = self.ownership.followed.get_mut(&partition) else {
            return;
        };
        let owned_before = followed.epoch.is_some();
        followed.epoch = owned;
        let (owner_epoch, _) = followed.machine.owner();
        followed.phase = match owned {
            Some(_) => Phase::Owned,
            None if wanted => Phase::Claiming(Claiming {
                since: self.now,
                epoch: owner_epoch,
                forced: false,
            }),
            None => Phase::Closing,
        };
        match (owned_before, owned.is_some()) {
            (false, true) => {
                self.counters.partitions_gained += 1;
                self.announce_tenant_limits(partition);
                self.serve_held_requests(partition);
            }
            (true, false) => {
                self.counters.partitions_lost += 1;
                self.detach_attempts(partition);
                self.redirect_requests_for(partition);
            }
            _ => {}
        }
    }
}
