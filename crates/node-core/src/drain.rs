//! Leaving in order.

use std::time::Duration;

use elderworks_logstream::LogStream;
use elderworks_membership as membership;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{PartitionId, Timestamp};

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::event::Connection;
use crate::ownership::Held;

/// A drain ends after this long, whatever is still open; the next owners take it up.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// How far this node has got with leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DrainState {
    /// It is not leaving.
    #[default]
    Serving,
    /// It lets its partitions go.
    Draining { since: Timestamp },
    /// It may exit.
    Drained,
}

impl NodeCore {
    /// Whether this node is leaving or has left.
    pub(crate) fn draining(&self) -> bool {
        self.drain != DrainState::Serving
    }

    /// Begins to leave: nothing new is taken over, and everything held is released.
    pub(crate) fn start_drain(&mut self) {
        if self.draining() {
            return;
        }
        self.drain = DrainState::Draining { since: self.now };
        self.drive_membership(membership::Event::Drain);
        self.reassign();
        let sidecars: Vec<Connection> = self.requests.sidecars().collect();
        for connection in sidecars {
            self.send(connection, NodeMessage::Draining);
        }
        self.turn_away_held();
        self.judge_readiness();
    }

    /// Ends the drain once nothing is left, or when its time is up.
    pub(crate) fn judge_drain(&mut self) {
        let DrainState::Draining { since } = self.drain else {
            return;
        };
        let nothing_left = self.attempts.len() == 0 && self.may_leave_all_partitions();
        let overdue = self.now.since(since) >= DRAIN_LIMIT;
        let impatient = self.settings.execution.faults.drain_at_once();
        if nothing_left || overdue || impatient {
            self.drain = DrainState::Drained;
            self.agenda.effect(Effect::Drained);
        }
    }

    fn may_leave_all_partitions(&self) -> bool {
        let mut held = self.ownership.held.iter();
        held.all(|(partition, held)| self.may_leave(*partition, held))
    }

    /// Whether a partition that is still held need not be waited for: the log does not answer, so
    /// its release may never be read back, and nothing is lost without one. Its next owner claims
    /// it by force.
    fn may_leave(&self, partition: PartitionId, held: &Held) -> bool {
        let stream = self.streams.partitions.get(&partition);
        let is_reachable = stream.is_none_or(LogStream::reachable);
        !is_reachable && !held.machine.has_unfinished_work()
    }
}
