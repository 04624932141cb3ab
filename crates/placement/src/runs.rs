//! Table of known runs and of the engines that hold their blocks.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::{ResourceName, RunId, Timestamp};

/// Maximum number of known runs. The least recently used run is removed when it is exceeded.
const MAX_RUNS: usize = 65_536;

/// State of one run.
#[derive(Clone, Debug)]
pub(crate) struct KnownRun {
    pub(crate) program: ResourceName,
    /// Slot of the engine to which its last call was dispatched.
    pub(crate) home: Option<usize>,
    /// Slots of the engines that may hold its blocks.
    pub(crate) holders: BTreeSet<usize>,
    /// Number of calls completed.
    pub(crate) turns: u32,
    /// Number of blocks of the prompt of its last call.
    pub(crate) blocks: u32,
    /// Start of the current pause.
    pub(crate) paused_at: Option<Timestamp>,
    last_seen: Timestamp,
}

/// All known runs, in least-recently-used order.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<RunId, KnownRun>,
    by_last_seen: BTreeSet<(Timestamp, RunId)>,
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

    /// Adds a run or marks it as used now. Returns the least recently used run if it was removed to make
    /// room.
    pub(crate) fn touch(
        &mut self,
        now: Timestamp,
        run: RunId,
        program: &ResourceName,
    ) -> Option<(RunId, KnownRun)> {
        if let Some(known) = self.runs.get_mut(&run) {
            self.by_last_seen.remove(&(known.last_seen, run));
            known.last_seen = now;
            self.by_last_seen.insert((now, run));
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
        self.by_last_seen.insert((now, run));
        if self.runs.len() <= MAX_RUNS {
            return None;
        }
        let (_, oldest) = self.by_last_seen.first().copied()?;
        self.remove(oldest).map(|known| (oldest, known))
    }

    pub(crate) fn remove(&mut self, run: RunId) -> Option<KnownRun> {
        let known = self.runs.remove(&run)?;
        self.by_last_seen.remove(&(known.last_seen, run));
        Some(known)
    }
}
