//! Orderly shutdown: releases all partitions and finishes open attempts.

use std::time::Duration;

use elderworks_logstream::LogStream;
use elderworks_membership as membership;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{PartitionId, Timestamp};

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::event::Connection;
use crate::ownership::FollowedPartition;

/// Maximum duration of a drain. The next owners resume what is open when it expires.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// Progress of the drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DrainState {
    /// The node is not draining.
    #[default]
    Serving,
    /// The node releases its partitions.
    Draining { since: Timestamp },
    /// The process may exit.
    Drained,
}

impl NodeCore {
    /// Returns whether the drain has started or finished.
    pub(crate) fn draining(&self) -> bool {
        self.drain != DrainState::Serving
    }

    /// Starts the drain: no more partitions are claimed, and all owned ones are released.
    pub(crate) fn start_drain(&mut self) {
        if self.draining() {
            return;
        }
        self.drain = DrainState::Draining { since: self.now };
        self.handle_membership_event(membership::Event::Drain);
        self.reassign();
        let sidecars: Vec<Connection> = self.requests.sidecars().collect();
        for connection in sidecars {
            self.send(connection, NodeMessage::Draining);
        }
        self.redirect_held_requests();
        self.update_readiness();
    }

    /// Ends the drain when nothing is left or after [`DRAIN_LIMIT`].
    pub(crate) fn update_drain(&mut self) {
        let DrainState::Draining { since } = self.drain else {
            return;
        };
        let nothing_left = self.attempts.len() == 0 && self.can_abandon_all_partitions();
        let overdue = self.now.since(since) >= DRAIN_LIMIT;
        let skips_wait = self.settings.execution.faults.drain_at_once();
        if nothing_left || overdue || skips_wait {
            self.drain = DrainState::Drained;
            self.agenda.effect(Effect::Drained);
        }
    }

    fn can_abandon_all_partitions(&self) -> bool {
        let mut followed = self.ownership.followed.iter();
        followed.all(|(partition, followed)| self.can_abandon(*partition, followed))
    }

    /// Returns whether the drain need not wait for a partition: it has no unfinished work, and its release
    /// can't be written because the log doesn't answer. The next owner forces its claim.
    fn can_abandon(&self, partition: PartitionId, followed: &FollowedPartition) -> bool {
        let stream = self.streams.partitions.get(&partition);
        let is_reachable = stream.is_none_or(LogStream::reachable);
        !is_reachable && !followed.machine.has_unfinished_work()
    }
}
