//! The turns of one service that wait at this node.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::demand::{URGENCY_LEVELS, Waiting, level_of};
use super::turn::{Order, QueuedTurn};

/// Names a turn that asked for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What may wait at one node, for all services together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most turns.
    pub entries: usize,
    /// Most bytes that they hold.
    pub bytes: usize,
}

/// What waits at one node now, for all services together.
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

/// Turns that wait, in order of arrival. Their number is bounded by [`QueueLimits`], so they are
/// searched rather than kept in an order that changes with time.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: Vec<(Ticket, QueuedTurn)>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn push(&mut self, usage: &mut Usage, ticket: Ticket, claim: QueuedTurn) {
        usage.add(claim.bytes);
        self.entries.push((ticket, claim));
    }

    pub(super) fn remove(&mut self, usage: &mut Usage, ticket: Ticket) {
        let found = self.entries.iter().position(|(known, _)| *known == ticket);
        if let Some(index) = found {
            self.take(usage, index);
        }
    }

    /// Takes the turn that goes first.
    pub(super) fn take_first(
        &mut self,
        usage: &mut Usage,
        now: Timestamp,
        least_turn: Duration,
    ) -> Option<Ticket> {
        let order = |index: &usize| self.entries[*index].1.order(now, least_turn);
        let index = (0..self.entries.len()).min_by_key(order)?;
        Some(self.take(usage, index))
    }

    /// Takes the one that has waited longest of the turns that stand back for the first one: less
    /// urgent ones, those of tenants that had more, those that end late. If there are none, the one
    /// that has waited longest of all.
    pub(super) fn take_for_floor(
        &mut self,
        usage: &mut Usage,
        now: Timestamp,
        least_turn: Duration,
    ) -> Option<Ticket> {
        let group = |index: &usize| self.entries[*index].1.group(now, least_turn);
        let first = (0..self.entries.len()).map(|index| group(&index)).min()?;
        let behind = (0..self.entries.len()).find(|index| group(index) > first);
        Some(self.take(usage, behind.unwrap_or(0)))
    }

    /// Takes the turn that goes last, if it goes after `order`.
    pub(super) fn take_last_after(
        &mut self,
        usage: &mut Usage,
        now: Timestamp,
        least_turn: Duration,
        order: Order,
    ) -> Option<Ticket> {
        let rank = |index: &usize| self.entries[*index].1.order(now, least_turn);
        let index = (0..self.entries.len()).max_by_key(rank)?;
        (rank(&index) > order).then(|| self.take(usage, index))
    }

    /// How many turns go before one of that order.
    pub(super) fn ahead_of(&self, now: Timestamp, least_turn: Duration, order: Order) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|(_, claim)| claim.order(now, least_turn) <= order)
            .count()
    }

    /// How many turns wait, by urgency.
    pub(super) fn waiting(&self) -> Waiting {
        let mut waiting = [0; URGENCY_LEVELS];
        for (_, claim) in &self.entries {
            waiting[level_of(claim.urgency)] += 1;
        }
        Waiting(waiting)
    }

    fn take(&mut self, usage: &mut Usage, index: usize) -> Ticket {
        let (ticket, claim) = self.entries.remove(index);
        usage.remove(claim.bytes);
        ticket
    }
}
