//! Search for the snapshot at which the replay of a partition's stream starts.
//!
//! The stream is read backwards from its end in windows until one contains the confirmation of a snapshot.
//! Unconfirmed snapshots are ignored, since they may have been written by an owner that had been fenced off.

use elderworks_logstream::ReadRecords;
use elderworks_protocol::decode;
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::RecordBatch;
use elderworks_types::{Offset, Timestamp};

/// Number of offsets in one window. A stream of at most this length is replayed from its start.
pub const WINDOW_OFFSETS: u64 = 512;

/// Next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchStep {
    /// Read from this offset, without waiting for new records.
    Read { from: Offset },
    /// Start the replay at this offset.
    Done { start: Offset },
}

/// The offsets being searched: from `low` (inclusive) to `high` (exclusive).
#[derive(Clone, Copy, Debug)]
struct Window {
    low: Offset,
    high: Offset,
    /// Next offset to read.
    next: Offset,
}

/// State of a search.
#[derive(Debug, Default)]
pub(crate) struct SnapshotSearch {
    window: Option<Window>,
    /// Offset of the latest confirmed snapshot.
    found: Option<Offset>,
    /// Time at which to repeat a read that got no answer.
    pub(crate) retry_at: Option<Timestamp>,
}

impl SnapshotSearch {
    /// Returns the offset of the current read, to be sent again if it gets no answer.
    pub(crate) fn next_read(&self) -> Offset {
        self.window.map_or(Offset(0), |window| window.next)
    }

    /// Handles the result of the current read.
    pub(crate) fn handle_read(&mut self, read: &ReadRecords) -> SearchStep {
        let Some(mut window) = self.window else {
            return self.search_before(read.end);
        };
        for (offset, bytes) in &read.records {
            if *offset >= window.high {
                break;
            }
            window.next = offset.next();
            self.record_confirmations(bytes);
        }
        if window.next < window.high && window.next < read.end && !read.records.is_empty() {
            self.window = Some(window);
            return SearchStep::Read { from: window.next };
        }
        match self.found {
            Some(start) => SearchStep::Done { start },
            None => self.search_before(window.low),
        }
    }

    /// Moves the window to the offsets before `high`.
    fn search_before(&mut self, high: Offset) -> SearchStep {
        if high.0 <= WINDOW_OFFSETS {
            return SearchStep::Done { start: Offset(0) };
        }
        let low = Offset(high.0 - WINDOW_OFFSETS);
        self.window = Some(Window {
            low,
            high,
            next: low,
        });
        SearchStep::Read { from: low }
    }

    /// Records the confirmations of snapshots in an encoded batch.
    fn record_confirmations(&mut self, bytes: &[u8]) {
        let Ok(batch) = decode::<RecordBatch<JournalBody>>(bytes) else {
            return;
        };
        for record in batch.records {
            if let JournalBody::SnapshotConfirmed { first } = record.body {
                self.found = self.found.max(Some(first));
            }
        }
    }
}
