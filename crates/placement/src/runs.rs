//! Runs that placement knows, and where their blocks are.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::{ResourceName, RunId, Timestamp};

/// Runs remembered; beyond this the longest silent ones are forgotten.
const MAX_RUNS: usize = 65_536;

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct KnownRun {
    pub(crate) program: ResourceName,
    /// Slot of the engine that served its last call.
    pub(crate) home: Option<usize>,
    /// Slots that may hold blocks of it.
    pub(crate) holders: BTreeSet<usize>,
    pub(crate) turns: u32,
    /// Blocks of its history.
    pub(crate) blocks: u32,
    pub(crate) paused_at: Option<Timestamp>,
    last_seen: Timestamp,
}

/// All known runs.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<RunId, KnownRun>,
    by_age: BTreeSet<(Timestamp, RunId)>,
}

impl RunTable {
    pub(crate) fn get(&self, run: RunId) -> Option<&KnownRun> {
        self.runs.get(&run)
    }

    pub(crate) fn get_mut(&mut self, run: RunId) -> Option<&mut KnownRun> {
        self.runs.get_mut(&run)
    }

    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// The run, known from now on; also the run that had to be forgotten for it.
    pub(crate) fn seen(
        &mut self,
        now: Timestamp,
        run: RunId,
        program: &ResourceName,
    ) -> Option<(RunId, KnownRun)> {
        if let Some(known) = self.runs.get_mut(&run) {
            self.by_age.remove(&(known.last_seen, run));
            known.last_seen = now;
            self.by_age.insert((now, run));
            return None;
        }
        let known = KnownRun {
            program: program.clone(),
            home: None,
            holders: BTreeSet::new(),
            turns: 0,
            blocks: 0,
            paused_at: None,
            last_seen: now,
        };
        self.runs.insert(run, known);
        self.by_age.insert((now, run));
        if self.runs.len() <= MAX_RUNS {
            return None;
        }
        let (_, oldest) = self.by_age.first().copied()?;
        self.remove(oldest).map(|known| (oldest, known))
    }

    pub(crate) fn remove(&mut self, run: RunId) -> Option<KnownRun> {
        let known = self.runs.remove(&run)?;
        self.by_age.remove(&(known.last_seen, run));
        Some(known)
    }
}
