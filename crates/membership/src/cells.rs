//! One node's view of the state of every cell.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_protocol::gossip::{CellDigest, CellState, MAX_REPRESENTATIVES};
use elderworks_types::{CellId, Timestamp};

use crate::settings::MAX_CELLS;
use crate::table::MergeOutcome;

/// Latest digest of each cell. Includes the node's own cell once one of its relays has published a
/// digest.
#[derive(Debug, Default)]
pub struct CellTable {
    cells: BTreeMap<CellId, KnownCell>,
    rejected: u64,
}

/// One node's view of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCell {
    /// Latest digest received.
    pub digest: CellDigest,
    /// Time at which this node last saw the cell's state change.
    pub since: Timestamp,
}

impl CellTable {
    /// Stores `digest` if it supersedes the stored one.
    pub fn merge(&mut self, now: Timestamp, digest: CellDigest) -> MergeOutcome {
        if digest.representatives.len() > MAX_REPRESENTATIVES {
            return MergeOutcome::Stale;
        }
        let Some(known) = self.cells.get_mut(&digest.cell) else {
            return self.insert(now, digest);
        };
        if (digest.version, digest.state) <= (known.digest.version, known.digest.state) {
            return MergeOutcome::Stale;
        }
        let changed = digest.state != known.digest.state;
        if changed {
            known.since = now;
        }
        known.digest = digest;
        if changed {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Refreshed
        }
    }

    fn insert(&mut self, now: Timestamp, digest: CellDigest) -> MergeOutcome {
        if self.cells.len() >= MAX_CELLS {
            self.rejected += 1;
            return MergeOutcome::Stale;
        }
        let known = KnownCell { digest, since: now };
        self.cells.insert(known.digest.cell.clone(), known);
        MergeOutcome::Changed
    }

    /// Returns a cell by name.
    pub fn get(&self, cell: &CellId) -> Option<&KnownCell> {
        self.cells.get(cell)
    }

    /// Iterates over all cells in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownCell> {
        self.cells.values()
    }

    /// Returns the number of cells in any state.
    pub fn count(&self) -> usize {
        self.cells.len()
    }

    /// Returns the number of digests dropped because the table was full.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the digests of cells that have been in `state` for at least `duration`.
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

    /// Removes a cell.
    pub fn remove(&mut self, cell: &CellId) {
        self.cells.remove(cell);
    }

    /// Restarts the suspicion timeout of every suspect cell.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        for known in self.cells.values_mut() {
            if known.digest.state == CellState::Suspect {
                known.since = now;
            }
        }
    }
}
