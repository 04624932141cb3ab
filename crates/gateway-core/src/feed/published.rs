//! The workers in use as published by a reader: a versioned state from which listeners receive
//! incremental updates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elderworks_protocol::feed::WorkersUpdate;
use elderworks_types::Offset;

use crate::feed::catalog::Change;
use crate::workers::WorkerRecord;

/// Maximum number of changes kept for incremental updates. A listener that has missed more receives
/// the whole state.
const MAX_CHANGES: usize = 1_024;

/// Versioned set of the workers in use, with its latest changes.
#[derive(Clone, Debug, Default)]
pub struct PublishedWorkers {
    revision: u64,
    workers: BTreeMap<String, WorkerRecord>,
    /// IDs of the changed workers in order, each with the revision of its change.
    changes: VecDeque<(u64, String)>,
    /// Earliest revision from which all later changes are kept.
    oldest_revision: u64,
}

impl PublishedWorkers {
    /// Returns the revision of the current state, which increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies changes as one new revision.
    pub fn take(&mut self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        for change in changes {
            let id = match change {
                Change::Use(record) => {
                    self.workers.insert(record.id.clone(), record.clone());
                    record.id.clone()
                }
                Change::Drop(id) => {
                    self.workers.remove(id);
                    id.clone()
                }
            };
            self.changes.push_back((self.revision, id));
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.oldest_revision = revision;
            }
        }
    }

    /// Removes all workers and invalidates the states that listeners know.
    pub fn clear(&mut self) {
        self.revision += 1;
        self.oldest_revision = self.revision;
        self.workers.clear();
        self.changes.clear();
    }

    /// Returns the update for a listener that knows revision `known`, or none. `offset` is that of
    /// the last record that this reader has applied.
    pub fn since(&self, known: Option<u64>, offset: Offset) -> WorkersUpdate {
        let known = known.filter(|known| (self.oldest_revision..=self.revision).contains(known));
        let Some(known) = known else {
            return WorkersUpdate {
                revision: self.revision,
                offset,
                is_whole: true,
                used: self.workers.values().cloned().collect(),
                dropped: Vec::new(),
            };
        };
        let later = self.changes.iter().rev();
        let later = later.take_while(|(revision, _)| *revision > known);
        let ids: BTreeSet<&String> = later.map(|(_, id)| id).collect();
        let (used, dropped): (Vec<&String>, Vec<&String>) = ids
            .into_iter()
            .partition(|id| self.workers.contains_key(*id));
        WorkersUpdate {
            revision: self.revision,
            offset,
            is_whole: false,
            used: used
                .into_iter()
                .filter_map(|id| self.workers.get(id).cloned())
                .collect(),
            dropped: dropped.into_iter().cloned().collect(),
        }
    }
}
