//! The workers in use as a reader tells them: a numbered state, and what has changed since earlier
//! numbers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elderworks_protocol::feed::WorkersUpdate;
use elderworks_types::Offset;

use crate::feed::catalog::Change;
use crate::workers::WorkerRecord;

/// Changes that are remembered; a listener that missed more hears the whole state.
const MOST_CHANGES: usize = 1_024;

/// The workers in use and their latest changes.
#[derive(Clone, Debug, Default)]
pub struct PublishedWorkers {
    revision: u64,
    workers: BTreeMap<String, WorkerRecord>,
    /// Ids in the order of their changes, each with the number that it made.
    changes: VecDeque<(u64, String)>,
    /// Number from which on all changes are remembered.
    remembered_from: u64,
}

impl PublishedWorkers {
    /// Number of the present state; larger after each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes changes.
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
        while self.changes.len() > MOST_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.remembered_from = revision;
            }
        }
    }

    /// Nothing is in use any more; what listeners know of earlier states counts no more.
    pub fn clear(&mut self) {
        self.revision += 1;
        self.remembered_from = self.revision;
        self.workers.clear();
        self.changes.clear();
    }

    /// What a listener has to hear that knows the state of a number, `None` if it knows none. `offset` is
    /// that of the last record that this reader has taken.
    pub fn since(&self, known: Option<u64>, offset: Offset) -> WorkersUpdate {
        let known = known.filter(|known| (self.remembered_from..=self.revision).contains(known));
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
