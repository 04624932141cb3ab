//! The read side: position on the stream and when to read next.

use elderworks_types::{Offset, Timestamp};

use crate::stream::{ReadMode, StreamSettings};

/// Position on the stream.
pub(crate) struct Reader {
    next: Offset,
    /// The largest end of the stream heard of.
    known_end: Offset,
    /// Whether any read has been answered.
    end_seen: bool,
    read_open: bool,
    read_after: Timestamp,
}

impl Reader {
    pub(crate) fn new(start: Offset) -> Self {
        Self {
            next: start,
            known_end: start,
            end_seen: false,
            read_open: false,
            read_after: Timestamp(0),
        }
    }

    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    pub(crate) fn caught_up(&self) -> bool {
        self.end_seen && self.next >= self.known_end
    }

    /// Marks the record at the next offset as delivered.
    pub(crate) fn advance(&mut self) {
        self.next = self.next.next();
    }

    pub(crate) fn learn_end(&mut self, end: Offset) {
        self.known_end = self.known_end.max(end);
    }

    pub(crate) fn read_answered(&mut self, end: Offset, now: Timestamp, settings: &StreamSettings) {
        self.read_open = false;
        self.end_seen = true;
        self.learn_end(end);
        self.read_after = match settings.mode {
            ReadMode::Follow => now,
            ReadMode::Poll { interval } => now + interval,
        };
    }

    pub(crate) fn read_unanswered(&mut self, now: Timestamp, settings: &StreamSettings) {
        self.read_open = false;
        self.read_after = now + settings.retry_backoff;
    }

    /// Brings the next read forward: an append without an answer may have taken effect.
    pub(crate) fn read_soon(&mut self, now: Timestamp) {
        self.read_after = self.read_after.min(now);
    }

    /// Opens a read if one is due; the answer comes back for the offset returned.
    pub(crate) fn open_read(&mut self, now: Timestamp) -> Option<Offset> {
        let behind = self.end_seen && self.next < self.known_end;
        let due = now >= self.read_after || behind;
        if self.read_open || !due {
            return None;
        }
        self.read_open = true;
        Some(self.next)
    }
}
