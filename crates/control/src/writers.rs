//! Detection of duplicate records.
//!
//! A writer appends a record again if the answer to the first append was lost, so the log may contain
//! duplicates. Every reader tracks the last sequence number of each writer and ignores records that do
//! not exceed it. The table is bounded by rules that depend only on the log, so that all readers evict
//! the same writers at the same record.

use std::collections::BTreeMap;

use elderworks_protocol::record::Writer;
use elderworks_types::{Incarnation, NodeId, Offset, Sequence};
use serde::{Deserialize, Serialize};

/// Maximum number of incarnations tracked per node. Records of earlier ones are ignored.
const MAX_INCARNATIONS_PER_NODE: usize = 4;

/// Maximum number of writers tracked. The one that has been idle the longest is evicted first.
const MAX_WRITERS: usize = 16_384;

/// State of one writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WriterEntry {
    /// Last accepted sequence number.
    sequence: Sequence,
    /// Offset of the writer's announcement.
    announced: Offset,
    /// Offset of the writer's last accepted record.
    last_seen: Offset,
}

/// Writers of the control stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Writers {
    entries: BTreeMap<Writer, WriterEntry>,
}

impl Writers {
    /// Adds a writer that announces itself. A repeated announcement only updates the sequence number.
    pub(crate) fn register(&mut self, writer: &Writer, sequence: Sequence, offset: Offset) {
        if self.is_registered(writer) {
            self.accept(writer, sequence, offset);
            return;
        }
        let entry = WriterEntry {
            sequence,
            announced: offset,
            last_seen: offset,
        };
        self.entries.insert(writer.clone(), entry);
        self.evict_earliest_incarnation(&writer.node);
        self.evict_idle_writer();
    }

    /// Returns whether a record is accepted, which requires that its writer is registered and its
    /// sequence number is new, and records that number.
    pub(crate) fn accept(&mut self, writer: &Writer, sequence: Sequence, offset: Offset) -> bool {
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

    /// Returns whether records of this writer can be accepted.
    pub(crate) fn is_registered(&self, writer: &Writer) -> bool {
        self.entries.contains_key(writer)
    }

    /// Iterates over the registered incarnations of a node.
    fn of_node(&self, node: &NodeId) -> impl Iterator<Item = (&Writer, &WriterEntry)> {
        let bound = |incarnation| Writer {
            node: node.clone(),
            incarnation: Incarnation(incarnation),
        };
        self.entries.range(bound(0)..=bound(u64::MAX))
    }

    fn evict_earliest_incarnation(&mut self, node: &NodeId) {
        if self.of_node(node).count() <= MAX_INCARNATIONS_PER_NODE {
            return;
        }
        let earliest = self
            .of_node(node)
            .min_by_key(|(_, entry)| entry.announced)
            .map(|(writer, _)| writer.clone());
        self.evict(earliest);
    }

    fn evict_idle_writer(&mut self) {
        if self.entries.len() <= MAX_WRITERS {
            return;
        }
        let idle = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_seen)
            .map(|(writer, _)| writer.clone());
        self.evict(idle);
    }

    fn evict(&mut self, writer: Option<Writer>) {
        if let Some(writer) = writer {
            self.entries.remove(&writer);
        }
    }
}
