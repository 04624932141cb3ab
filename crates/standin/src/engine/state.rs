//! State of the engine stand-in: the engine model and the bookkeeping of its HTTP layer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_engine_model::answer::{answer_text, rendered_sequence};
use elderworks_engine_model::{
    CommandError, Engine, EngineRole, ExportedBlocks, FencedAction, FencedCommand, Holding, Output,
    Rejected, Request, RequestId, Resumed, WeightStore, Work,
};
use elderworks_platform_api::engine::ServingState;
use elderworks_types::text::{BlockHash, block_hashes};
use elderworks_types::{RunId, Timestamp};

use super::requests::{RequestInfo, Requests};
use super::{EngineFaults, EngineSettings};

/// Maximum number of runs whose block hashes are kept for export. At the limit, runs that hold no
/// blocks are dropped, then those with the lowest ids.
const MAX_CHAINS: usize = 16_384;

/// Number of requests unknown to the engine that may accumulate before they are pruned.
const MAX_STALE_REQUESTS: usize = 4_096;

/// The state shared by all HTTP handlers of an engine.
pub(super) struct EngineService {
    pub(super) faults: EngineFaults,
    pub(super) settings: EngineSettings,
    /// Instance number; increases with every restart.
    pub(super) instance: u64,
    /// Highest accepted fencing token.
    pub(super) fence: u64,
    engine: Engine,
    weights: WeightStore,
    requests: Requests,
    /// Block hashes of the last sequence of each run.
    chains: BTreeMap<RunId, Vec<BlockHash>>,
}

impl EngineService {
    pub(super) fn new(settings: EngineSettings, now: Timestamp) -> Self {
        Self {
            faults: EngineFaults::default(),
            instance: now.0,
            fence: 0,
            engine: new_engine(&settings, now),
            weights: WeightStore::new(settings.weights_bytes_per_second),
            requests: Requests::default(),
            chains: BTreeMap::new(),
            settings,
        }
    }

    /// Restarts the engine with an empty cache. The fencing token is kept.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.instance = now.0.max(self.instance + 1);
        self.engine = new_engine(&self.settings, now);
        self.requests = Requests::default();
        self.chains.clear();
    }

    /// Cancels abandoned requests, processes all work due by `now` and wakes the readers of answers
    /// that progressed.
    pub(super) fn advance(&mut self, now: Timestamp) {
        if self.faults.hang {
            return;
        }
        let abandoned = self.requests.abandoned(now, self.settings.resume_grace);
        self.cancel_all(now, &abandoned);
        for output in self.engine.advance(now) {
            match output {
                Output::Chunk { id, .. } => self.requests.notify_progress(&id),
                Output::Completed(completion) => self.requests.complete(&completion.id),
                Output::FirstToken { .. }
                | Output::Imported { .. }
                | Output::CommandDone { .. } => {}
            }
        }
    }

    pub(super) fn next_due(&self) -> Option<Timestamp> {
        if self.faults.hang {
            return None;
        }
        self.engine.next_event_at()
    }

    /// Returns whether the engine accepts new requests.
    pub(super) fn serving_state(&self) -> ServingState {
        if self.faults.leave || self.engine.role() == EngineRole::Draining {
            return ServingState::Leaving;
        }
        ServingState::Serving
    }

    /// Returns the engine model, for operations that need no bookkeeping.
    pub(super) fn engine(&mut self) -> &mut Engine {
        &mut self.engine
    }

    /// Submits a request.
    pub(super) fn submit(&mut self, now: Timestamp, request: Request) -> Result<(), Rejected> {
        if self.faults.full {
            return Err(Rejected::QueueFull);
        }
        if self.serving_state() == ServingState::Leaving {
            return Err(Rejected::NotServing);
        }
        let id = request.id.clone();
        let run = request.run;
        let chain = chain_of(&request);
        let info = RequestInfo::new(now, &request);
        self.engine.submit(now, request)?;
        self.store_chain(run, chain);
        self.requests.insert(now, id, run, info);
        self.prune_requests();
        Ok(())
    }

    /// Returns the answer generated so far, starting at chunk `from`, or `None` if the request is
    /// unknown.
    pub(super) fn resume(&self, id: &RequestId, from: u32) -> Option<Resumed> {
        self.engine.resume(id, from)
    }

    pub(super) fn requests(&mut self) -> &mut Requests {
        &mut self.requests
    }

    /// Cancels a request; returns false if it was neither waiting nor running.
    pub(super) fn cancel(&mut self, now: Timestamp, id: &RequestId) -> bool {
        let cancelled = self.engine.cancel(now, id);
        if cancelled {
            self.requests.remove(id);
        }
        cancelled
    }

    /// Cancels a run's requests and frees its blocks; returns how many were freed.
    pub(super) fn release(&mut self, now: Timestamp, run: RunId) -> u32 {
        let open = self.requests.open_requests_of(run);
        self.cancel_all(now, &open);
        self.chains.remove(&run);
        self.engine.release(now, run)
    }

    /// Leases a run's blocks, so that they are evicted only after all unleased ones.
    pub(super) fn retain(&mut self, now: Timestamp, run: RunId, lease: Duration) -> Holding {
        self.engine.retain(now, run, lease);
        let nothing = Holding {
            run,
            blocks: 0,
            lease_until: None,
        };
        let held = self
            .engine
            .holdings()
            .into_iter()
            .find(|held| held.run == run);
        held.unwrap_or(nothing)
    }

    /// Returns the cached blocks of a run's last sequence.
    pub(super) fn export(&self, run: RunId) -> ExportedBlocks {
        let chain = self.chains.get(&run).map_or(&[][..], Vec::as_slice);
        self.engine.export(run, chain)
    }

    /// Starts an import; returns the time at which the blocks will be usable.
    pub(super) fn import(
        &mut self,
        now: Timestamp,
        run: RunId,
        blocks: Vec<BlockHash>,
    ) -> Timestamp {
        self.store_chain(run, blocks.clone());
        self.engine.import(now, ExportedBlocks { run, blocks })
    }

    /// Executes a command unless its fencing token is outdated.
    pub(super) fn command(
        &mut self,
        now: Timestamp,
        token: u64,
        action: FencedAction,
    ) -> Result<(), CommandError> {
        if token < self.fence {
            let highest = self.fence;
            return Err(CommandError::Fenced { highest });
        }
        let command = FencedCommand { token, action };
        self.engine.command(now, command, &mut self.weights)?;
        self.fence = token;
        Ok(())
    }

    fn cancel_all(&mut self, now: Timestamp, ids: &[RequestId]) {
        for id in ids {
            self.cancel(now, id);
        }
    }

    /// Removes requests that the engine no longer knows, once more than
    /// `MAX_STALE_REQUESTS` have accumulated.
    fn prune_requests(&mut self) {
        let limits = &self.settings.parameters;
        let known = limits.retained_requests + limits.max_waiting + limits.max_batch;
        if self.requests.len() > known + MAX_STALE_REQUESTS {
            let engine = &self.engine;
            self.requests
                .retain(|id| engine.resume(id, u32::MAX).is_some());
        }
    }

    fn store_chain(&mut self, run: RunId, chain: Vec<BlockHash>) {
        if self.chains.len() >= MAX_CHAINS {
            self.prune_chains();
        }
        self.chains.insert(run, chain);
    }

    fn prune_chains(&mut self) {
        let holdings = self.engine.holdings();
        let holding: BTreeSet<RunId> = holdings.iter().map(|held| held.run).collect();
        self.chains.retain(|run, _| holding.contains(run));
        while self.chains.len() >= MAX_CHAINS {
            self.chains.pop_first();
        }
    }
}

fn new_engine(settings: &EngineSettings, now: Timestamp) -> Engine {
    let mut engine = Engine::new(
        settings.parameters.clone(),
        settings.models.iter().cloned(),
        settings.seed,
    );
    engine.advance(now);
    engine
}

fn chain_of(request: &Request) -> Vec<BlockHash> {
    match &request.work {
        Work::Text { prompt, .. } => {
            let answer = answer_text(prompt, request.max_output);
            block_hashes(&rendered_sequence(prompt, &answer))
        }
        Work::Synthetic { chain, .. } => chain.to_vec(),
    }
}
