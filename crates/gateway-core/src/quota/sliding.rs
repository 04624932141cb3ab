//! Events counted over a window that moves on with time.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_types::Timestamp;

/// Parts into which a window is divided: what is counted may be this share of a window too old.
const SLOTS: u32 = 50;

/// Number of a slot since the clock's zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(u64);

/// Divides time into the slots of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Slots {
    width: u64,
}

impl Slots {
    pub(super) fn of_window(window: Duration) -> Self {
        let width = (window / SLOTS).as_micros();
        Self {
            width: u64::try_from(width).unwrap_or(u64::MAX).max(1),
        }
    }

    pub(super) fn at(self, time: Timestamp) -> Slot {
        Slot(time.0 / self.width)
    }

    /// The first slot that lies within `span` before `now`, be it only in part.
    pub(super) fn first_within(self, now: Timestamp, span: Duration) -> Slot {
        self.at(now - span)
    }
}

/// Counts of the slots in which anything happened.
#[derive(Clone, Debug, Default)]
pub(super) struct SlidingCount {
    slots: VecDeque<(Slot, u32)>,
    total: u32,
}

impl SlidingCount {
    pub(super) fn add(&mut self, slot: Slot) {
        self.total += 1;
        match self.slots.back_mut() {
            Some((last, count)) if *last >= slot => *count += 1,
            _ => self.slots.push_back((slot, 1)),
        }
    }

    /// Takes back one that was added in this slot; nothing if that slot is over.
    pub(super) fn take_back(&mut self, slot: Slot) {
        let found = self
            .slots
            .iter_mut()
            .find(|(known, count)| *known == slot && *count > 0);
        if let Some((_, count)) = found {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Forgets what happened before a slot.
    pub(super) fn forget_before(&mut self, first: Slot) {
        while let Some((slot, count)) = self.slots.front().copied() {
            if slot >= first {
                return;
            }
            self.total -= count;
            self.slots.pop_front();
        }
    }

    /// All that is not forgotten.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// Those of a slot and later.
    pub(super) fn since(&self, first: Slot) -> u32 {
        let slots = self.slots.iter().rev();
        let recent = slots.take_while(|(slot, _)| *slot >= first);
        recent.map(|(_, count)| count).sum()
    }
}
