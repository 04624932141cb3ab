//! The queue of turns that wait at this node for one service.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::demand::{URGENCY_LEVELS, Waiting, level_of};
use super::turn::{Order, QueuedTurn};

/// Identifies a turn that requested admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Limits on the turns that wait at one node for all services together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of turns.
    pub entries: usize,
    /// Maximum memory that they hold, in bytes.
    pub bytes: usize,
}

/// The turns that currently wait at one node for all services together, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) entries: usize,
    pub(super) bytes: usize,
}

impl Usage {
    pub(super) fn has_room(&self, limits: &QueueLimits, bytes: usize) -> bool {
        self.entries < limits.entries && self.bytes + bytes <= limits.bytes
    }

    fn add(&mut self, bytes: usize) {
        self.entries += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, bytes: usize) {
        self.entries -= 1;
        self.bytes -= bytes;
    }
}

/// Waiting turns in order of arrival.
///
/// Their sort keys change with time, so the queue is searched when a turn is taken;
/// [`QueueLimits`] bounds the cost.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: Vec<(Ticket, QueuedTurn)>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn push(&mut self, usage: &mut Usage, ticket: Ticket, turn: QueuedTurn) {
        usage.add(turn.bytes);
        self.entries.push((ticket, turn));
    }

    pub(super) fn remove(&mut self, usage: &mut Usage, ticket: Ticket) {
        let found = self.entries.iter().position(|(known, _)| *known == ticket);
        if let Some(index) = found {
            self.take(usage, index);
        }
    }

    /// Removes the turn that comes first in [`Order`].
    pub(super) fn take_first(
        &mut self,
        usage: &mut Usage,
        now: Timestamp,
        min_turn_time: Duration,
    ) -> Option<Ticket> {
        let order = |index: &usize| self.entries[*index].1.order(now, min_turn_time);
        let index = (0..self.entries.len()).min_by_key(order)?;
        Some(self.take(usage, index))
    }

    /// Removes the longest-waiting turn outside the group that would be served next, so that no
    /// group starves. If all turns are of that group, removes the longest-waiting one.
    pub(super) fn take_for_floor(
        &mut self,
        usage: &mut Usage,
        now: Timestamp,
        min_turn_time: Duration,
    ) -> Option<Ticket> {
        let group = |index: &usize| self.entries[*index].1.group(now, min_turn_time);
        let first = (0..self.entries.len()).map(|index| group(&index)).min()?;
        let behind = (0..self.entries.len()).find(|index| group(index) > first);
        Some(self.take(usage, behind.unwrap_or(0)))
    }

    /// Removes the turn that comes last, if it comes after `order`.
    pub(super) fn take_last_after(
        &mut self,
        usage: &mut Usage,
        now: Timestamp,
        min_turn_time: Duration,
        order: Order,
    ) -> Option<Ticket> {
        let rank = |index: &usize| self.entries[*index].1.order(now, min_turn_time);
        let index = (0..self.entries.len()).max_by_key(rank)?;
        (rank(&index) > order).then(|| self.take(usage, index))
    }

    /// Returns how many turns are released before one with that sort key.
    pub(super) fn ahead_of(&self, now: Timestamp, min_turn_time: Duration, order: Order) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|(_, turn)| turn.order(now, min_turn_time) <= order)
            .count()
    }

    /// Returns the number of waiting turns at each urgency level.
    pub(super) fn waiting(&self) -> Waiting {
        let mut waiting = [0; URGENCY_LEVELS];
        for (_, turn) in &self.entries {
            waiting[level_of(turn.urgency)] += 1;
        }
        Waiting(waiting)
    }

    fn take(&mut self, usage: &mut Usage, index: usize) -> Ticket {
        let (ticket, turn) = self.entries.remove(index);
        usage.remove(turn.bytes);
        ticket
    }
}
