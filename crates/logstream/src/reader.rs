//! Reading: the position in the stream and the time of the next read.

use elderworks_types::{Offset, Timestamp};

use crate::stream::{ReadMode, StreamSettings};

/// Whether the known end of the stream is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Staleness {
    /// The known end is current as of the last completed read.
    None,
    /// The known end may be stale, and the open read was started before it became so.
    UntilReadAfterNext,
    /// The known end may be stale until the next read completes.
    UntilNextRead,
}

/// Tracks the position in the stream and schedules reads. At most one read is open.
pub(crate) struct Reader {
    /// The next offset to deliver.
    next: Offset,
    /// The largest known end of the stream.
    known_end: Offset,
    /// Whether any read has completed.
    has_read: bool,
    staleness: Staleness,
    read_open: bool,
    /// Time from which the next read is due.
    read_after: Timestamp,
}

impl Reader {
    pub(crate) fn new(start: Offset) -> Self {
        Self {
            next: start,
            known_end: start,
            has_read: false,
            staleness: Staleness::None,
            read_open: false,
            read_after: Timestamp(0),
        }
    }

    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    pub(crate) fn caught_up(&self) -> bool {
        self.staleness == Staleness::None && self.has_read && self.next >= self.known_end
    }

    /// Marks the known end as stale until a read that starts from now on completes.
    pub(crate) fn mark_end_stale(&mut self, now: Timestamp) {
        self.staleness = match self.read_open {
            true => Staleness::UntilReadAfterNext,
            false => Staleness::UntilNextRead,
        };
        self.read_immediately(now);
    }

    /// Marks the record at the next offset as delivered.
    pub(crate) fn advance(&mut self) {
        self.next = self.next.next();
    }

    pub(crate) fn update_known_end(&mut self, end: Offset) {
        self.known_end = self.known_end.max(end);
    }

    pub(crate) fn read_completed(
        &mut self,
        end: Offset,
        now: Timestamp,
        settings: &StreamSettings,
    ) {
        self.read_open = false;
        self.has_read = true;
        self.update_known_end(end);
        self.read_after = match settings.mode {
            ReadMode::Follow => now,
            ReadMode::Poll { interval } => now + interval,
        };
        self.staleness = match self.staleness {
            Staleness::UntilReadAfterNext => Staleness::UntilNextRead,
            Staleness::None | Staleness::UntilNextRead => Staleness::None,
        };
        if self.staleness != Staleness::None {
            self.read_immediately(now);
        }
    }

    pub(crate) fn read_failed(&mut self, now: Timestamp, settings: &StreamSettings) {
        self.read_open = false;
        self.read_after = now + settings.retry_backoff;
        if self.staleness == Staleness::UntilReadAfterNext {
            self.staleness = Staleness::UntilNextRead;
        }
    }

    /// Reschedules the next read to `latest` if it is due later.
    pub(crate) fn read_no_later_than(&mut self, latest: Timestamp) {
        self.read_after = self.read_after.min(latest);
    }

    /// Makes the next read due immediately, for example because a failed append may have taken effect.
    pub(crate) fn read_immediately(&mut self, now: Timestamp) {
        self.read_no_later_than(now);
    }

    /// Starts a read if one is due and none is open, and returns its offset.
    pub(crate) fn open_read(&mut self, now: Timestamp) -> Option<Offset> {
        let behind = self.has_read && self.next < self.known_end;
        let due = now >= self.read_after || behind;
        if self.read_open || !due {
            return None;
        }
        self.read_open = true;
        Some(self.next)
    }
}
