//! The engine model together with what its HTTP front must know: who reads which answer.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_engine_model::answer::{answer_text, rendered_sequence};
use elderworks_engine_model::{
    CommandError, Engine, EngineRole, ExportedBlocks, FencedAction, FencedCommand, Holding, Output,
    Rejected, Request, RequestId, Resumed, WeightStore, Work,
};
use elderworks_platform_api::engine::{FinishReason, ServingState};
use elderworks_types::text::{BlockHash, block_hashes, token_count};
use elderworks_types::{ModelName, RunId, Timestamp, Tokens};

use super::{EngineFaults, EngineSettings};

/// Runs whose prompts are remembered for export.
const MAX_CHAINS: usize = 4_096;

/// Requests that are remembered beyond those which the engine itself remembers.
const MAX_FORGOTTEN_REQUESTS: usize = 4_096;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What the front must know of a request to answer in the OpenAI form.
#[derive(Clone, Debug)]
pub(super) struct RequestInfo {
    pub(super) model: ModelName,
    pub(super) first_chunk: u32,
    created: Timestamp,
    /// Most tokens that it may generate itself.
    limit: Tokens,
}

impl RequestInfo {
    fn of(now: Timestamp, request: &Request) -> Self {
        let continued = match &request.work {
            Work::Text { continue_text, .. } => token_count(continue_text),
            Work::Counted { .. } => Tokens::ZERO,
        };
        Self {
            model: request.model.clone(),
            first_chunk: request.first_chunk,
            created: now,
            limit: request.max_output.saturating_sub(continued),
        }
    }

    /// Seconds since the Unix epoch.
    pub(super) fn created_seconds(&self) -> u64 {
        self.created.0 / MICROS_PER_SECOND
    }

    /// Why an answer of this length ended.
    pub(super) fn finish_reason(&self, output: Tokens) -> FinishReason {
        if output >= self.limit {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }
}

/// A request that waits or runs.
struct Open {
    run: RunId,
    readers: usize,
    /// Since when nobody reads it.
    unread_since: Timestamp,
}

/// An engine as it is served.
pub(super) struct EngineService {
    pub(super) faults: EngineFaults,
    pub(super) settings: EngineSettings,
    /// Changes with every start.
    pub(super) instance: u64,
    pub(super) fence: u64,
    engine: Engine,
    weights: WeightStore,
    open: BTreeMap<RequestId, Open>,
    infos: BTreeMap<RequestId, RequestInfo>,
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
            open: BTreeMap::new(),
            infos: BTreeMap::new(),
            chains: BTreeMap::new(),
            settings,
        }
    }

    /// Starts again with an empty memory. Fences outlast a restart.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.instance = now.0.max(self.instance + 1);
        self.engine = new_engine(&self.settings, now);
        self.open.clear();
        self.infos.clear();
        self.chains.clear();
    }

    /// Does all that is due by `now`; tells whether anything happened.
    pub(super) fn advance(&mut self, now: Timestamp) -> bool {
        if self.faults.hang {
            return false;
        }
        let abandoned = self.cancel_abandoned(now);
        let outputs = self.engine.advance(now);
        for output in &outputs {
            if let Output::Completed(completion) = output {
                self.open.remove(&completion.id);
            }
        }
        abandoned || !outputs.is_empty()
    }

    pub(super) fn next_due(&self) -> Option<Timestamp> {
        if self.faults.hang {
            return None;
        }
        self.engine.next_event_at()
    }

    /// Whether it takes new work.
    pub(super) fn serving_state(&self) -> ServingState {
        if self.faults.leave || self.engine.role() == EngineRole::Draining {
            return ServingState::Leaving;
        }
        ServingState::Serving
    }

    /// The model, for what needs no bookkeeping here.
    pub(super) fn engine(&mut self) -> &mut Engine {
        &mut self.engine
    }

    /// Takes a request.
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
        let info = RequestInfo::of(now, &request);
        self.engine.submit(now, request)?;
        self.remember_chain(run, chain);
        self.remember_info(id.clone(), info);
        let open = Open {
            run,
            readers: 0,
            unread_since: now,
        };
        self.open.insert(id, open);
        Ok(())
    }

    /// What exists of an answer from a chunk on; `None` if the request is unknown.
    pub(super) fn resume(&self, id: &RequestId, from: u32) -> Option<Resumed> {
        self.engine.resume(id, from)
    }

    /// Someone begins to read an answer; `None` if the request is unknown.
    pub(super) fn add_reader(&mut self, id: &RequestId) -> Option<RequestInfo> {
        self.engine.resume(id, u32::MAX)?;
        let info = self.infos.get(id)?.clone();
        if let Some(open) = self.open.get_mut(id) {
            open.readers += 1;
        }
        Some(info)
    }

    /// Someone no longer reads an answer.
    pub(super) fn remove_reader(&mut self, now: Timestamp, id: &RequestId) {
        if let Some(open) = self.open.get_mut(id) {
            open.readers = open.readers.saturating_sub(1);
            open.unread_since = now;
        }
    }

    /// Stops a request; false if it neither waited nor ran.
    pub(super) fn cancel(&mut self, now: Timestamp, id: &RequestId) -> bool {
        self.open.remove(id);
        self.engine.cancel(now, id)
    }

    /// Cancels a run's requests and frees what it holds.
    pub(super) fn release(&mut self, now: Timestamp, run: RunId) -> u32 {
        self.cancel_where(now, |open| open.run == run);
        self.chains.remove(&run);
        self.engine.release(now, run)
    }

    /// Keeps what a run holds for a while.
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

    /// The cached part of a run's last sequence.
    pub(super) fn export(&self, run: RunId) -> ExportedBlocks {
        let chain = self.chains.get(&run).map_or(&[][..], Vec::as_slice);
        self.engine.export(run, chain)
    }

    /// Begins an import; returns when the blocks will be usable.
    pub(super) fn import(
        &mut self,
        now: Timestamp,
        run: RunId,
        blocks: Vec<BlockHash>,
    ) -> Timestamp {
        self.remember_chain(run, blocks.clone());
        self.engine.import(now, ExportedBlocks { run, blocks })
    }

    /// Carries out a fenced command.
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

    fn cancel_abandoned(&mut self, now: Timestamp) -> bool {
        let grace = self.settings.resume_grace;
        let abandoned = |open: &Open| open.readers == 0 && open.unread_since + grace <= now;
        self.cancel_where(now, abandoned)
    }

    fn cancel_where(&mut self, now: Timestamp, cancelled: impl Fn(&Open) -> bool) -> bool {
        let matching: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, open)| cancelled(open))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &matching {
            self.cancel(now, id);
        }
        !matching.is_empty()
    }

    fn remember_info(&mut self, id: RequestId, info: RequestInfo) {
        self.infos.insert(id, info);
        let known = self.settings.parameters.remembered_requests + self.open.len();
        if self.infos.len() > known + MAX_FORGOTTEN_REQUESTS {
            let engine = &self.engine;
            self.infos
                .retain(|id, _| engine.resume(id, u32::MAX).is_some());
        }
    }

    fn remember_chain(&mut self, run: RunId, chain: Vec<BlockHash>) {
        self.chains.insert(run, chain);
        if self.chains.len() > MAX_CHAINS {
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
        Work::Counted { chain, .. } => chain.to_vec(),
    }
}
