//! What this node believes of the engines' memory.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::peer_loads::WorkerKey;
use crate::placement::demand::PrefixKey;

/// A belief counts for this long after the engine was heard; readers repeat theirs more often.
pub const BELIEF_LIFETIME: Duration = Duration::from_secs(10);

/// An engine holds a part if it keeps so many of its quarters, and lacks it if it keeps fewer.
const HELD_QUARTERS: u64 = 3;

/// What is believed of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemorySnapshot {
    /// The start of the engine that it is about.
    pub born: u64,
    /// When the engine was heard.
    pub observed_at: Timestamp,
    /// Tokens kept of each part that is known, 0 of those that are not kept.
    pub prefixes: BTreeMap<PrefixKey, u64>,
}

/// Whether an engine keeps a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// Most of it at least.
    Holds,
    /// Less than that.
    Lacks,
    /// Nothing is known, or it was heard too long ago.
    Unknown,
}

/// The latest belief of each engine.
#[derive(Clone, Debug, Default)]
pub struct EngineMemories {
    beliefs: BTreeMap<WorkerKey, MemorySnapshot>,
}

impl EngineMemories {
    /// Takes a belief unless a later one is known; tells whether it did.
    pub fn take(&mut self, engine: WorkerKey, belief: MemorySnapshot) -> bool {
        if let Some(known) = self.beliefs.get(&engine)
            && (known.born, known.observed_at) > (belief.born, belief.observed_at)
        {
            return false;
        }
        self.beliefs.insert(engine, belief);
        true
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: WorkerKey) {
        self.beliefs.remove(&engine);
    }

    /// Forgets what is too old.
    pub fn drop_old(&mut self, now: Timestamp) {
        self.beliefs
            .retain(|_, belief| now.since(belief.observed_at) < BELIEF_LIFETIME);
    }

    /// Whether an engine, in its start at `born`, keeps a part of so many tokens.
    pub fn holding(
        &self,
        engine: WorkerKey,
        born: u64,
        part: PrefixKey,
        tokens: u64,
        now: Timestamp,
    ) -> Holding {
        let belief = self.beliefs.get(&engine).filter(|belief| {
            belief.born == born && now.since(belief.observed_at) < BELIEF_LIFETIME
        });
        let held = belief.and_then(|belief| belief.prefixes.get(&part));
        match held {
            Some(held) if held * 4 >= tokens * HELD_QUARTERS => Holding::Holds,
            Some(_) => Holding::Lacks,
            None => Holding::Unknown,
        }
    }

    /// How many parts are believed to be kept, at all engines together.
    pub fn held_prefixes(&self) -> usize {
        let parts = self.beliefs.values().flat_map(|belief| &belief.prefixes);
        parts.filter(|(_, tokens)| **tokens > 0).count()
    }

    /// Age of the oldest belief.
    pub fn oldest_age(&self, now: Timestamp) -> Option<Duration> {
        let ages = self
            .beliefs
            .values()
            .map(|belief| now.since(belief.observed_at));
        ages.max()
    }

    /// Engines of which something is believed.
    pub fn len(&self) -> usize {
        self.beliefs.len()
    }

    /// Whether nothing is believed.
    pub fn is_empty(&self) -> bool {
        self.beliefs.is_empty()
    }
}
