//! Event counts over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::Timestamp;

/// Number of slots in a window. Counts may include events that are up to one slot too old.
const SLOTS_PER_WINDOW: u32 = 50;

/// Index of a slot, counted from time zero of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(u64);

/// Divides time into slots of equal width.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Slots {
    /// Microseconds.
    width: u64,
}

impl Slots {
    pub(super) fn of_window(window: Duration) -> Self {
        let width = (window / SLOTS_PER_WINDOW).as_micros();
        Self {
            width: u64::try_from(width).unwrap_or(u64::MAX).max(1),
        }
    }

    pub(super) fn at(self, time: Timestamp) -> Slot {
        Slot(time.0 / self.width)
    }

    /// Returns the time since the end of a slot.
    pub(super) fn age_of(self, now: Timestamp, slot: Slot) -> Duration {
        now.since(Timestamp((slot.0 + 1) * self.width))
    }

    /// Returns the first slot that overlaps the `span` before `now`.
    pub(super) fn first_within(self, now: Timestamp, span: Duration) -> Slot {
        self.at(now - span)
    }
}

/// Number of events in each slot that has any, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct SlidingCount {
    slots: VecDeque<(Slot, u32)>,
    total: u32,
}

impl SlidingCount {
    pub(super) fn add(&mut self, slot: Slot) {
        self.add_many(slot, 1);
    }

    /// Adds events to a slot, or to the latest one if that is later.
    pub(super) fn add_many(&mut self, slot: Slot, events: u32) {
        self.total += events;
        match self.slots.back_mut() {
            Some((last, count)) if *last >= slot => *count += events,
            _ => self.slots.push_back((slot, events)),
        }
    }

    /// Removes one event from a slot. Does nothing if the slot has left the window.
    pub(super) fn remove(&mut self, slot: Slot) {
        let found = self
            .slots
            .iter_mut()
            .find(|(known, count)| *known == slot && *count > 0);
        if let Some((_, count)) = found {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Drops all events before a slot.
    pub(super) fn forget_before(&mut self, first: Slot) {
        while let Some((slot, count)) = self.slots.front().copied() {
            if slot >= first {
                return;
            }
            self.total -= count;
            self.slots.pop_front();
        }
    }

    /// Returns the number of events in the window.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// Returns the slots from `first` on and their numbers of events, oldest first.
    pub(super) fn slots_from(&self, first: Slot) -> impl Iterator<Item = (Slot, u32)> {
        let slots = self.slots.iter().copied();
        slots.filter(move |(slot, count)| *slot >= first && *count > 0)
    }

    /// Returns the number of events in the slots before `end`.
    pub(super) fn before(&self, end: Slot) -> u32 {
        let slots = self.slots.iter();
        let earlier = slots.take_while(|(slot, _)| *slot < end);
        earlier.map(|(_, count)| count).sum()
    }

    /// Returns the number of events in a slot and all later ones.
    pub(super) fn since(&self, first: Slot) -> u32 {
        let slots = self.slots.iter().rev();
        let recent = slots.take_while(|(slot, _)| *slot >= first);
        recent.map(|(_, count)| count).sum()
    }
}
