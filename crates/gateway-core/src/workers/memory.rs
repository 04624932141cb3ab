//! What engines hold of prompts, as placement sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elderworks_types::Timestamp;

use super::{Worker, WorkerDirectory};
use crate::config::MemoryMoves;
use crate::engine_memory::fetching::Fetch;
use crate::engine_memory::log::EngineLog;
use crate::engine_memory::reporting::MAX_REPORTED_PREFIXES;
use crate::engine_memory::snapshots::{EngineMemories, Holding, MemorySnapshot};
use crate::peer_loads::WorkerKey;
use crate::placement::demand::{EngineTurn, PrefixKey};

impl WorkerDirectory {
    /// Takes a belief on an engine unless a later one is known or the engine is not; tells whether it
    /// did.
    pub fn apply_memory_snapshot(&mut self, engine: WorkerKey, belief: MemorySnapshot) -> bool {
        let is_known = self.workers.values().any(|worker| worker.key == engine);
        is_known && self.memories.take(engine, belief)
    }

    /// Drops beliefs that are too old.
    pub fn drop_old_memories(&mut self, now: Timestamp) {
        self.memories.drop_old(now);
    }

    /// What is believed of the engines' memory.
    pub fn memories(&self) -> &EngineMemories {
        &self.memories
    }

    /// What a reader of an engine believes of it: the parts that turns ask for, those asked for most.
    pub fn snapshot_of(
        &self,
        worker: &Worker,
        heard: Timestamp,
        log: &EngineLog,
    ) -> MemorySnapshot {
        let demand = self.parts.get(&worker.record.service);
        let wanted = demand.map(|demand| demand.most_wanted(MAX_REPORTED_PREFIXES));
        let wanted = wanted.into_iter().flatten();
        let parts: BTreeMap<PrefixKey, u64> = wanted
            .filter_map(|part| Some((part, log.held(part)?)))
            .collect();
        MemorySnapshot {
            born: worker.record.born,
            observed_at: heard,
            prefixes: parts,
        }
    }

    /// Whether an engine holds the first part of a turn's prompt.
    pub fn holding(&self, worker: &Worker, turn: &EngineTurn, now: Timestamp) -> Holding {
        let (key, born) = (worker.key, worker.record.born);
        self.memories
            .holding(key, born, turn.prefix, turn.prefix_tokens, now)
    }

    /// The engine from which a worker is to take the first part of a turn's prompt, with the bytes that
    /// this moves; `None` if it reads the part, or holds it.
    pub fn prompt_source(
        &mut self,
        id: &str,
        turn: &EngineTurn,
        moves: &MemoryMoves,
        now: Timestamp,
    ) -> Option<(SocketAddr, u64)> {
        let target = self.workers.get(id)?;
        if !self.policy.prompt_fetches || self.holding(target, turn, now) != Holding::Lacks {
            return None;
        }
        let source = self.source_for(target, turn, now)?;
        let fetch = Fetch {
            part: turn.prefix,
            tokens: turn.prefix_tokens,
            crosses_zones: source.record.zone != target.record.zone,
        };
        let (address, engine) = (source.record.address, target.key);
        let is_begun = fetch.pays(moves) && self.fetches.begin(engine, &fetch, moves, now);
        is_begun.then(|| (address, fetch.bytes(moves)))
    }

    /// The engine with the least under way, of the target's zone first, that holds the part.
    fn source_for<'a>(
        &'a self,
        target: &'a Worker,
        turn: &EngineTurn,
        now: Timestamp,
    ) -> Option<&'a Worker> {
        let holders = self.accepting(&target.record.service).filter(|worker| {
            worker.key != target.key
                && !worker.is_ejected(now)
                && self.holding(worker, turn, now) == Holding::Holds
        });
        holders.min_by_key(|worker| {
            let is_far = worker.record.zone != target.record.zone;
            (is_far, self.load(worker), worker.key)
        })
    }
}
