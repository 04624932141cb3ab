//! Search for the latest snapshot when a node starts.
//!
//! The control stream is read backwards from its end in windows of bounded length until a complete
//! snapshot is found. The records after it are then replayed. The search retains only snapshot parts.

use std::collections::BTreeMap;

use elderworks_protocol::decode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::Offset;

use crate::{Control, ControlBody};

/// Number of records in one window of the backward search.
pub const WINDOW_RECORDS: u64 = 512;

/// Maximum number of snapshots whose parts are retained. The oldest is dropped first.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// Next step of a bootstrap.
pub enum BootstrapStep {
    /// The caller must read the stream from an offset, without waiting for records beyond its end.
    Read {
        /// First offset to read.
        from: Offset,
    },
    /// The search is complete.
    Done {
        /// State loaded from the latest snapshot, or empty state if there is none.
        control: Box<Control>,
        /// Offset from which the stream must be replayed.
        start: Offset,
    },
}

/// Search for the latest snapshot on the control stream.
pub struct Bootstrap {
    writer: Writer,
    /// Window being read; `None` before the first read.
    window: Option<Window>,
    partial: PartialSnapshots,
}

/// Section of the stream being read, from `low` (inclusive) to `high` (exclusive).
#[derive(Clone, Copy, Debug)]
struct Window {
    low: Offset,
    high: Offset,
    /// Next offset to read.
    next: Offset,
}

impl Window {
    /// Returns the window that ends before `high`.
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
    /// Creates a search for a node that will append records as `writer`.
    pub fn new(writer: Writer) -> Self {
        Self {
            writer,
            window: None,
            partial: PartialSnapshots::default(),
        }
    }

    /// Returns the offset of the first read, which only serves to determine the end of the stream.
    pub fn first_read(&self) -> Offset {
        Offset(0)
    }

    /// Processes the result of a read, where `end` is the offset of the next append to the stream. If
    /// a read fails, the caller must repeat it.
    pub fn handle_read(&mut self, records: &[(Offset, Vec<u8>)], end: Offset) -> BootstrapStep {
        let Some(mut window) = self.window else {
            return self.read_window(Window::before(end));
        };
        for (offset, bytes) in records {
            if *offset >= window.high {
                break;
            }
            window.next = offset.next();
            self.partial.collect(bytes);
        }
        if window.next < window.high && window.next < end {
            self.window = Some(window);
            return BootstrapStep::Read { from: window.next };
        }
        self.finish_window(window)
    }

    /// Loads the latest complete snapshot seen so far, or continues with the preceding window.
    fn finish_window(&mut self, window: Window) -> BootstrapStep {
        if let Some(control) = self.partial.load_latest(&self.writer) {
            let start = control.revision();
            return BootstrapStep::Done {
                control: Box::new(control),
                start,
            };
        }
        self.read_window(Window::before(window.low))
    }

    /// Starts to read a window, or ends the search if the window is empty.
    fn read_window(&mut self, window: Window) -> BootstrapStep {
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

/// Snapshots of which at least one part was read, by covered offset and writer.
#[derive(Default)]
struct PartialSnapshots {
    snapshots: BTreeMap<(Offset, Writer), PartialSnapshot>,
}

struct PartialSnapshot {
    /// Number of parts of the complete snapshot.
    parts: u32,
    /// Content of the parts read so far, by index.
    pieces: BTreeMap<u32, Vec<u8>>,
}

impl PartialSnapshot {
    fn is_complete(&self) -> bool {
        u32::try_from(self.pieces.len()) == Ok(self.parts)
    }

    /// Returns the concatenated parts.
    fn joined(&self) -> Vec<u8> {
        self.pieces.values().flatten().copied().collect()
    }
}

impl PartialSnapshots {
    /// Retains the snapshot parts of a batch. Ignores batches that cannot be decoded.
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
        let snapshot = self
            .snapshots
            .entry((covers, record.writer))
            .or_insert_with(|| PartialSnapshot {
                parts,
                pieces: BTreeMap::new(),
            });
        snapshot.pieces.insert(part, bytes);
        if self.snapshots.len() > MAX_PARTIAL_SNAPSHOTS {
            self.snapshots.pop_first();
        }
    }

    /// Loads the complete snapshot with the highest covered offset. Skips snapshots that cannot be
    /// decoded.
    fn load_latest(&self, writer: &Writer) -> Option<Control> {
        self.snapshots
            .values()
            .rev()
            .filter(|snapshot| snapshot.is_complete())
            .find_map(|snapshot| Control::from_state(writer.clone(), &snapshot.joined()).ok())
    }
}
