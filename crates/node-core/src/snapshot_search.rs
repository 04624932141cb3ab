//! Where to begin reading a partition's stream.
//!
//! The stream is read backwards from its end in windows of bounded length until one confirms a
//! snapshot; replay begins there. A snapshot that no later record confirms is passed over: an owner
//! that had been fenced out may have written it.

use elderworks_logstream::ReadRecords;
use elderworks_protocol::decode;
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::RecordBatch;
use elderworks_types::{Offset, Timestamp};

/// Offsets in one window. A shorter stream is replayed from its beginning.
pub const WINDOW_OFFSETS: u64 = 512;

/// What a search wants next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchStep {
    /// Read from this offset on, without waiting.
    Read { from: Offset },
    /// Replay begins here.
    Done { start: Offset },
}

/// The part of the stream being read: from `low` to before `high`.
#[derive(Clone, Copy, Debug)]
struct Window {
    low: Offset,
    high: Offset,
    next: Offset,
}

/// One search.
#[derive(Debug, Default)]
pub(crate) struct SnapshotSearch {
    window: Option<Window>,
    found: Option<Offset>,
    /// When to repeat a read that got no answer.
    pub(crate) retry_at: Option<Timestamp>,
}

impl SnapshotSearch {
    /// The read to begin with, or to go on with after no answer.
    pub(crate) fn next_read(&self) -> Offset {
        self.window.map_or(Offset(0), |window| window.next)
    }

    /// Takes the answer to the read that was asked for last.
    pub(crate) fn take(&mut self, read: &ReadRecords) -> SearchStep {
        let Some(mut window) = self.window else {
            return self.search_before(read.end);
        };
        for (offset, bytes) in &read.records {
            if *offset >= window.high {
                break;
            }
            window.next = offset.next();
            self.note_confirmations(bytes);
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

    fn note_confirmations(&mut self, bytes: &[u8]) {
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
