//! How a new node finds the latest snapshot.
//!
//! The stream is read backwards from its end in windows of bounded length until a whole snapshot has
//! been seen; the rest of the stream is then replayed as usual. Only parts of snapshots are kept.

use std::collections::BTreeMap;

use elderworks_protocol::decode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::Offset;

use crate::{Control, ControlBody};

/// Records in one window of the backward search.
pub const WINDOW_RECORDS: u64 = 512;

/// Incomplete snapshots of which parts are kept; the oldest is dropped first.
const MAX_CANDIDATES: usize = 4;

/// What a bootstrap wants next.
pub enum BootstrapStep {
    /// Read the stream from this offset on, without waiting at its end.
    Read {
        /// First offset wanted.
        from: Offset,
    },
    /// The search is over.
    Done {
        /// Loaded from the latest snapshot, or empty if there is none.
        control: Box<Control>,
        /// Where the ordinary replay begins.
        start: Offset,
    },
}

/// The search.
pub struct Bootstrap {
    writer: Writer,
    window: Option<Window>,
    candidates: Candidates,
}

/// The part of the stream being read: records from `low` to before `high`.
#[derive(Clone, Copy, Debug)]
struct Window {
    low: Offset,
    high: Offset,
    /// The next offset to be read.
    next: Offset,
}

impl Window {
    fn before(high: Offset) -> Self {
        let low = Offset(high.0.saturating_sub(WINDOW_RECORDS));
        Self {
            low,
            high,
            next: low,
        }
    }
}

impl Bootstrap {
    /// A search on behalf of a node that will append under `writer`.
    pub fn new(writer: Writer) -> Self {
        Self {
            writer,
            window: None,
            candidates: Candidates::default(),
        }
    }

    /// The read to begin with. It shows where the stream ends.
    pub fn first_read(&self) -> Offset {
        Offset(0)
    }

    /// Takes the answer to a read; `end` is the offset that the next append will get. A read
    /// without an answer is simply repeated by the caller.
    pub fn handle_read(&mut self, records: &[(Offset, Vec<u8>)], end: Offset) -> BootstrapStep {
        let Some(mut window) = self.window else {
            return self.search(Window::before(end));
        };
        for (offset, bytes) in records {
            if *offset >= window.high {
                break;
            }
            window.next = offset.next();
            self.candidates.collect(bytes);
        }
        if window.next < window.high && window.next < end {
            self.window = Some(window);
            return BootstrapStep::Read { from: window.next };
        }
        self.finish_window(window)
    }

    fn finish_window(&mut self, window: Window) -> BootstrapStep {
        if let Some(control) = self.candidates.load_latest(&self.writer) {
            let start = control.revision();
            return BootstrapStep::Done {
                control: Box::new(control),
                start,
            };
        }
        self.search(Window::before(window.low))
    }

    fn search(&mut self, window: Window) -> BootstrapStep {
        if window.high == Offset(0) {
            return BootstrapStep::Done {
                control: Box::new(Control::new(self.writer.clone())),
                start: Offset(0),
            };
        }
        self.window = Some(window);
        BootstrapStep::Read { from: window.next }
    }
}

/// Snapshots of which some parts were seen, by what they cover and who wrote them.
#[derive(Default)]
struct Candidates {
    snapshots: BTreeMap<(Offset, Writer), Candidate>,
}

struct Candidate {
    parts: u32,
    pieces: BTreeMap<u32, Vec<u8>>,
}

impl Candidate {
    fn is_whole(&self) -> bool {
        u32::try_from(self.pieces.len()) == Ok(self.parts)
    }

    fn joined(&self) -> Vec<u8> {
        self.pieces.values().flatten().copied().collect()
    }
}

impl Candidates {
    /// Keeps the parts of snapshots in one batch.
    fn collect(&mut self, bytes: &[u8]) {
        let Ok(batch) = decode::<RecordBatch<ControlBody>>(bytes) else {
            return;
        };
        for record in batch.records {
            self.collect_record(record);
        }
    }

    fn collect_record(&mut self, record: Record<ControlBody>) {
        let ControlBody::Snapshot {
            covers,
            part,
            parts,
            bytes,
        } = record.body
        else {
            return;
        };
        if part >= parts {
            return;
        }
        let candidate = self
            .snapshots
            .entry((covers, record.writer))
            .or_insert_with(|| Candidate {
                parts,
                pieces: BTreeMap::new(),
            });
        candidate.pieces.insert(part, bytes);
        if self.snapshots.len() > MAX_CANDIDATES {
            self.snapshots.pop_first();
        }
    }

    /// Loads the whole snapshot that covers most; one that does not decode is passed over.
    fn load_latest(&self, writer: &Writer) -> Option<Control> {
        self.snapshots
            .values()
            .rev()
            .filter(|candidate| candidate.is_whole())
            .find_map(|candidate| Control::from_state(writer.clone(), &candidate.joined()).ok())
    }
}
