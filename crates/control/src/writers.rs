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

/// Incarnations remembered of one node; records of older ones are void.
const INCARNATIONS_PER_NODE: usize = 4;

/// Writers remembered in all; the one that has been silent the longest is forgotten first.
const MAX_WRITERS: usize = 16_384;

/// What is known of one writer incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WriterEntry {
    /// Announced with this number.
    nonce: u64,
    /// The last sequence that counted.
    sequence: Sequence,
    /// Offset of that record.
    last_seen: Offset,
}

/// The writers of the control stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Writers {
    entries: BTreeMap<Writer, WriterEntry>,
}

impl Writers {
    /// Records an announcement; returns the new incarnation, or `None` if it is a repeat.
    pub(crate) fn announce(
        &mut self,
        node: &NodeId,
        nonce: u64,
        offset: Offset,
    ) -> Option<Incarnation> {
        if self.of_node(node).any(|(_, entry)| entry.nonce == nonce) {
            return None;
        }
        let incarnation = Incarnation(offset.0);
        let writer = Writer {
            node: node.clone(),
            incarnation,
        };
        let entry = WriterEntry {
            nonce,
            sequence: Sequence::default(),
            last_seen: offset,
        };
        self.entries.insert(writer, entry);
        self.forget_old_incarnations(node);
        self.forget_silent_writer();
        Some(incarnation)
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
        let first = Writer {
            node: node.clone(),
            incarnation: Incarnation(0),
        };
        let last = Writer {
            node: node.clone(),
            incarnation: Incarnation(u64::MAX),
        };
        self.entries.range(first..=last)
    }

    fn forget_old_incarnations(&mut self, node: &NodeId) {
        let known = self.of_node(node).count();
        let excess = known.saturating_sub(INCARNATIONS_PER_NODE);
        let oldest: Vec<Writer> = self
            .of_node(node)
            .take(excess)
            .map(|(writer, _)| writer.clone())
            .collect();
        for writer in oldest {
            self.entries.remove(&writer);
        }
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
        if let Some(writer) = silent {
            self.entries.remove(&writer);
        }
    }
}
