//! The read side: position on the stream and when to read next.

use elderworks_types::{Offset, Timestamp};

use crate::stream::{ReadMode, StreamSettings};

/// Whether what was heard of the stream's end may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// It is as good as the last answer.
    None,
    /// It is, and the read that is open was opened before.
    StaleReadOpen,
    /// It is, until the next read is answered.
    Unread,
}

/// Position on the stream.
pub(crate) struct Reader {
    next: Offset,
    /// The largest end of the stream heard of.
    known_end: Offset,
    /// Whether any read has been answered.
    end_seen: bool,
    doubt: Doubt,
    read_open: bool,
    read_after: Timestamp,
}

impl Reader {
    pub(crate) fn new(start: Offset) -> Self {
        Self {
            next: start,
            known_end: start,
            end_seen: false,
            doubt: Doubt::None,
            read_open: false,
            read_after: Timestamp(0),
        }
    }

    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    pub(crate) fn caught_up(&self) -> bool {
        self.doubt == Doubt::None && self.end_seen && self.next >= self.known_end
    }

    /// Holds what is known of the stream's end for out of date until a read that is opened from now
    /// on is answered.
    pub(crate) fn doubt(&mut self, now: Timestamp) {
        self.doubt = match self.read_open {
            true => Doubt::StaleReadOpen,
            false => Doubt::Unread,
        };
        self.read_soon(now);
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
        self.doubt = match self.doubt {
            Doubt::StaleReadOpen => Doubt::Unread,
            Doubt::None | Doubt::Unread => Doubt::None,
        };
        if self.doubt != Doubt::None {
            self.read_soon(now);
        }
    }

    pub(crate) fn read_unanswered(&mut self, now: Timestamp, settings: &StreamSettings) {
        self.read_open = false;
        self.read_after = now + settings.retry_backoff;
        if self.doubt == Doubt::StaleReadOpen {
            self.doubt = Doubt::Unread;
        }
    }

    /// Brings the next read forward to `latest` if it is due later.
    pub(crate) fn read_before(&mut self, latest: Timestamp) {
        self.read_after = self.read_after.min(latest);
    }

    /// Brings the next read forward: an append without an answer may have taken effect.
    pub(crate) fn read_soon(&mut self, now: Timestamp) {
        self.read_before(now);
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
