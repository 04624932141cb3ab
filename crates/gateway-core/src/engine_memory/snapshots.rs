//! The last known contents of the engines' memory.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::peer_loads::WorkerKey;
use crate::placement::demand::PrefixKey;

/// Time after which a snapshot expires; readers report more often.
pub const SNAPSHOT_LIFETIME: Duration = Duration::from_secs(10);

/// Quarters of a prefix that an engine must have cached to count as holding it.
const HELD_QUARTERS: u64 = 3;

/// The last known contents of one engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemorySnapshot {
    /// The start of the engine to which the snapshot belongs.
    pub born: u64,
    /// When the contents were read from the engine.
    pub observed_at: Timestamp,
    /// Cached tokens of each known prefix, 0 for those that aren't cached.
    pub prefixes: BTreeMap<PrefixKey, u64>,
}

/// Whether an engine has a prefix in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// The engine has most of the prefix in memory.
    Holds,
    /// The engine has less of it in memory.
    Lacks,
    /// There is no unexpired information.
    Unknown,
}

/// The latest snapshot of each engine.
#[derive(Clone, Debug, Default)]
pub struct EngineMemories {
    snapshots: BTreeMap<WorkerKey, MemorySnapshot>,
}

impl EngineMemories {
    /// Stores a snapshot unless a newer one is stored; returns whether it did.
    pub fn update(&mut self, engine: WorkerKey, snapshot: MemorySnapshot) -> bool {
        if let Some(known) = self.snapshots.get(&engine)
            && (known.born, known.observed_at) > (snapshot.born, snapshot.observed_at)
        {
            return false;
        }
        self.snapshots.insert(engine, snapshot);
        true
    }

    /// Removes the snapshot of an engine.
    pub fn forget(&mut self, engine: WorkerKey) {
        self.snapshots.remove(&engine);
    }

    /// Removes expired snapshots.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.snapshots
            .retain(|_, snapshot| now.since(snapshot.observed_at) < SNAPSHOT_LIFETIME);
    }

    /// Returns whether the engine that was started at `born` holds a prefix of `tokens` tokens.
    pub fn holding(
        &self,
        engine: WorkerKey,
        born: u64,
        prefix: PrefixKey,
        tokens: u64,
        now: Timestamp,
    ) -> Holding {
        let snapshot = self.snapshots.get(&engine).filter(|snapshot| {
            snapshot.born == born && now.since(snapshot.observed_at) < SNAPSHOT_LIFETIME
        });
        let held = snapshot.and_then(|snapshot| snapshot.prefixes.get(&prefix));
        match held {
            Some(held) if held * 4 >= tokens * HELD_QUARTERS => Holding::Holds,
            Some(_) => Holding::Lacks,
            None => Holding::Unknown,
        }
    }

    /// Returns the number of cached prefixes at all engines together.
    pub fn held_prefixes(&self) -> usize {
        let prefixes = self
            .snapshots
            .values()
            .flat_map(|snapshot| &snapshot.prefixes);
        prefixes.filter(|(_, tokens)| **tokens > 0).count()
    }

    /// Returns the age of the oldest snapshot.
    pub fn oldest_age(&self, now: Timestamp) -> Option<Duration> {
        let ages = self
            .snapshots
            .values()
            .map(|snapshot| now.since(snapshot.observed_at));
        ages.max()
    }

    /// Returns the number of engines with a snapshot.
    pub fn len(&self) -> usize {
        self.snapshots.len()
    }

    /// Returns whether there are no snapshots.
    pub fn is_empty(&self) -> bool {
        self.snapshots.is_empty()
    }
}
