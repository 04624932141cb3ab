//! Contents of the engines' memory, for the choice of prefix fetches.

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
    /// Stores the snapshot of a known engine's memory unless a newer one is stored; returns whether it
    /// did.
    pub fn apply_memory_snapshot(&mut self, engine: WorkerKey, snapshot: MemorySnapshot) -> bool {
        let is_known = self.workers.values().any(|worker| worker.key == engine);
        is_known && self.memories.update(engine, snapshot)
    }

    /// Drops expired snapshots.
    pub fn drop_old_memories(&mut self, now: Timestamp) {
        self.memories.drop_old(now);
    }

    /// Returns the last known contents of the engines' memory.
    pub fn memories(&self) -> &EngineMemories {
        &self.memories
    }

    /// Creates a snapshot of an engine's memory from its event log, limited to the prefixes with the
    /// highest demand.
    pub fn snapshot_of(
        &self,
        worker: &Worker,
        observed_at: Timestamp,
        log: &EngineLog,
    ) -> MemorySnapshot {
        let demand = self.prefix_demand.get(&worker.record.service);
        let wanted = demand.map(|demand| demand.most_requested(MAX_REPORTED_PREFIXES));
        let wanted = wanted.into_iter().flatten();
        let prefixes: BTreeMap<PrefixKey, u64> = wanted
            .filter_map(|prefix| Some((prefix, log.held(prefix)?)))
            .collect();
        MemorySnapshot {
            born: worker.record.born,
            observed_at,
            prefixes,
        }
    }

    /// Returns whether an engine holds the prefix of a turn's prompt.
    pub fn holding(&self, worker: &Worker, turn: &EngineTurn, now: Timestamp) -> Holding {
        let (key, born) = (worker.key, worker.record.born);
        self.memories
            .holding(key, born, turn.prefix, turn.prefix_tokens, now)
    }

    /// Starts a fetch of the prompt's prefix from another engine if that is faster than reading it;
    /// returns the address of that engine and the bytes to transfer.
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
            prefix: turn.prefix,
            tokens: turn.prefix_tokens,
            crosses_zones: source.record.zone != target.record.zone,
        };
        let (address, engine) = (source.record.address, target.key);
        let is_started =
            fetch.saves_time(moves) && self.fetch_limiter.try_start(engine, &fetch, moves, now);
        is_started.then(|| (address, fetch.bytes(moves)))
    }

    /// Returns the least loaded engine of the target's software version that holds the prefix, in the target's zone if there is one.
    fn source_for<'a>(
        &'a self,
        target: &'a Worker,
        turn: &EngineTurn,
        now: Timestamp,
    ) -> Option<&'a Worker> {
        let holders = self.accepting(&target.record.service).filter(|worker| {
            worker.key != target.key
                && worker.software.is_some()
                && worker.software == target.software
                && !worker.is_ejected(now)
                && self.holding(worker, turn, now) == Holding::Holds
        });
        holders.min_by_key(|worker| {
            let is_far = worker.record.zone != target.record.zone;
            (is_far, self.load(worker), worker.key)
        })
    }
}
