//! Which records are repeats.
//!
//! A writer repeats a record when the answer to its append was lost, so that the log may hold it
//! twice. Every reader keeps the last sequence of each writer incarnation and drops what is not
//! above it. The table is bounded by rules that depend on the log alone, so that all readers forget
//! the same writers at the same record.

use std::collections::BTreeMap;

use elderworks_protocol::record::Writer;
use elderworks_types::{Incarnation, NodeId, Offset, Sequence};
use serde::{Deserialize, Serialize};

/// Starts remembered of one node; records of earlier ones are void.
const STARTS_PER_NODE: usize = 4;

/// Writers remembered in all; the one that has been silent the longest is forgotten first.
const MAX_WRITERS: usize = 16_384;

/// What is known of one writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WriterEntry {
    /// The last sequence that counted.
    sequence: Sequence,
    /// Offset of its announcement.
    announced: Offset,
    /// Offset of its last record that counted.
    last_seen: Offset,
}

/// The writers of the control stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Writers {
    entries: BTreeMap<Writer, WriterEntry>,
}

impl Writers {
    /// Enters a writer that announces itself; a repeat changes nothing.
    pub(crate) fn announce(&mut self, writer: &Writer, sequence: Sequence, offset: Offset) {
        if self.knows(writer) {
            self.admit(writer, sequence, offset);
            return;
        }
        let entry = WriterEntry {
            sequence,
            announced: offset,
            last_seen: offset,
        };
        self.entries.insert(writer.clone(), entry);
        self.forget_earliest_start(&writer.node);
        self.forget_silent_writer();
    }

    /// Whether a record counts: its writer is known and its sequence is new.
    pub(crate) fn admit(&mut self, writer: &Writer, sequence: Sequence, offset: Offset) -> bool {
        let Some(entry) = self.entries.get_mut(writer) else {
            return false;
        };
        if sequence <= entry.sequence {
            return false;
        }
        entry.sequence = sequence;
        entry.last_seen = offset;
        true
    }

    /// Whether records of this writer can count.
    pub(crate) fn knows(&self, writer: &Writer) -> bool {
        self.entries.contains_key(writer)
    }

    fn of_node(&self, node: &NodeId) -> impl Iterator<Item = (&Writer, &WriterEntry)> {
        let bound = |incarnation| Writer {
            node: node.clone(),
            incarnation: Incarnation(incarnation),
        };
        self.entries.range(bound(0)..=bound(u64::MAX))
    }

    fn forget_earliest_start(&mut self, node: &NodeId) {
        if self.of_node(node).count() <= STARTS_PER_NODE {
            return;
        }
        let earliest = self
            .of_node(node)
            .min_by_key(|(_, entry)| entry.announced)
            .map(|(writer, _)| writer.clone());
        self.forget(earliest);
    }

    fn forget_silent_writer(&mut self) {
        if self.entries.len() <= MAX_WRITERS {
            return;
        }
        let silent = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_seen)
            .map(|(writer, _)| writer.clone());
        self.forget(silent);
    }

    fn forget(&mut self, writer: Option<Writer>) {
        if let Some(writer) = writer {
            self.entries.remove(&writer);
        }
    }
}
