//! Digests of cells as one node believes.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::gossip::{CellDigest, CellState, MAX_REPRESENTATIVES};
use elderworks_types::{CellId, Timestamp};

use crate::settings::MAX_CELLS;
use crate::table::Merged;

/// Digests by cell, the node's own cell included once a relay has made one.
#[derive(Debug, Default)]
pub struct CellTable {
    cells: BTreeMap<CellId, KnownCell>,
    refused: u64,
}

/// One cell as this node believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCell {
    /// The latest digest.
    pub digest: CellDigest,
    /// When the cell's state last changed here.
    pub since: Timestamp,
}

impl CellTable {
    /// Takes a digest if it is later than what is known.
    pub fn merge(&mut self, now: Timestamp, digest: CellDigest) -> Merged {
        if digest.representatives.len() > MAX_REPRESENTATIVES {
            return Merged::Stale;
        }
        let Some(known) = self.cells.get_mut(&digest.cell) else {
            return self.insert(now, digest);
        };
        if (digest.version, digest.state) <= (known.digest.version, known.digest.state) {
            return Merged::Stale;
        }
        let changed = digest.state != known.digest.state;
        if changed {
            known.since = now;
        }
        known.digest = digest;
        if changed {
            Merged::Changed
        } else {
            Merged::Refreshed
        }
    }

    fn insert(&mut self, now: Timestamp, digest: CellDigest) -> Merged {
        if self.cells.len() >= MAX_CELLS {
            self.refused += 1;
            return Merged::Stale;
        }
        let known = KnownCell { digest, since: now };
        self.cells.insert(known.digest.cell.clone(), known);
        Merged::Changed
    }

    /// One cell.
    pub fn get(&self, cell: &CellId) -> Option<&KnownCell> {
        self.cells.get(cell)
    }

    /// All cells in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownCell> {
        self.cells.values()
    }

    /// Number of cells, in whatever state.
    pub fn count(&self) -> usize {
        self.cells.len()
    }

    /// Cells that were not taken in because the table was full.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Cells that have been in `state` for at least `duration`.
    pub fn in_state_for(
        &self,
        now: Timestamp,
        state: CellState,
        duration: Duration,
    ) -> Vec<CellDigest> {
        self.cells
            .values()
            .filter(|known| known.digest.state == state && now.since(known.since) >= duration)
            .map(|known| known.digest.clone())
            .collect()
    }

    /// Drops a cell.
    pub fn forget(&mut self, cell: &CellId) {
        self.cells.remove(cell);
    }

    /// Gives every suspect cell the whole suspicion timeout again.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        for known in self.cells.values_mut() {
            if known.digest.state == CellState::Suspect {
                known.since = now;
            }
        }
    }
}
