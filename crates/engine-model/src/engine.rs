//! The engine: requests, batching steps, cache memory, commands and published state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_types::{ModelName, RunId, Timestamp, Tokens, Usage};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::batch::{Batch, Progress, Rank, Sequence};
use crate::cache::PrefixCache;
use crate::command::ControlState;
use crate::feed::Feed;
use crate::stream::Streams;
use crate::{
    CacheEvent, CacheStatistics, CommandError, Completion, EngineParameters, EngineRole,
    ExportedBlocks, FencedAction, FencedCommand, Holding, LoadReport, Output, Rejected, Request,
    RequestId, Resumed, WeightStore,
};

/// A model of one inference engine. Callers must call [`Engine::advance`] no later than
/// [`Engine::next_event_at`].
#[derive(Debug)]
pub struct Engine {
    parameters: EngineParameters,
    batch: Batch,
    cache: PrefixCache,
    streams: Streams,
    ranks: BTreeMap<RequestId, Rank>,
    next_arrival: u64,
    control: ControlState,
    /// Imports in progress, with their completion times.
    imports: Vec<(Timestamp, ExportedBlocks)>,
    feed: Feed,
}

impl Engine {
    /// Creates an idle engine that has loaded `models`; `seed` determines which cache events are lost.
    pub fn new(
        parameters: EngineParameters,
        models: impl IntoIterator<Item = ModelName>,
        seed: u64,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let models: BTreeSet<ModelName> = models.into_iter().collect();
        let streams = Streams::new(parameters.retained_requests, parameters.tokens_per_chunk);
        Self {
            batch: Batch::default(),
            cache: PrefixCache::new(parameters.cache_blocks),
            streams,
            ranks: BTreeMap::new(),
            next_arrival: 0,
            control: ControlState::new(models),
            imports: Vec::new(),
            feed: Feed::new(parameters.feed.clone(), random),
            parameters,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is rejected; it has no effect then.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Result<(), Rejected> {
        let plan = self.check(&request)?;
        let rank = (request.priority, self.next_arrival);
        self.next_arrival += 1;
        let text = plan.text.clone().unwrap_or_default();
        if plan.text.is_some() {
            self.streams
                .open(request.id.clone(), request.first_chunk, text);
        }
        self.ranks.insert(request.id.clone(), rank);
        let sequence = Sequence::new(request.id, request.run, plan);
        self.batch.waiting.insert(rank, sequence);
        self.start_step(now);
        Ok(())
    }

    fn check(&self, request: &Request) -> Result<crate::request::Plan, Rejected> {
        if self.control.role != EngineRole::Serving {
            return Err(Rejected::NotServing);
        }
        if !self.control.models.contains(&request.model) {
            return Err(Rejected::ModelNotLoaded);
        }
        if self.ranks.contains_key(&request.id) || self.streams.contains(&request.id) {
            return Err(Rejected::Duplicate);
        }
        if self.batch.waiting.len() >= self.parameters.max_waiting {
            return Err(Rejected::QueueFull);
        }
        let plan = request.work.plan(request.max_output);
        if plan.max_blocks() + 1 > self.parameters.cache_blocks {
            return Err(Rejected::TooLong);
        }
        Ok(plan)
    }

    /// Cancels and removes a waiting or running request. Returns `false` if there is none with this id.
    pub fn cancel(&mut self, now: Timestamp, id: &RequestId) -> bool {
        let Some(rank) = self.ranks.remove(id) else {
            return false;
        };
        self.batch.remove(now, rank, &mut self.cache);
        self.streams.remove(id);
        true
    }

    /// Returns the existing chunks of an answer from `from_chunk` on, or `None` if the request is
    /// unknown.
    pub fn resume(&self, id: &RequestId, from_chunk: u32) -> Option<Resumed> {
        self.streams.resume(id, from_chunk)
    }

    /// Processes everything that is due by `now` and returns the results in order.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.cache.expire_leases(now);
        for token in self.control.advance(now) {
            outputs.push(Output::CommandDone { token });
        }
        self.finish_imports(now, &mut outputs);
        while let Some(ends) = self.batch.step_ends().filter(|ends| *ends <= now) {
            for progress in self.batch.complete_step(ends, &mut self.cache) {
                self.report_progress(ends, &progress, &mut outputs);
            }
            self.start_step(ends);
        }
        self.publish(now);
        outputs
    }

    /// Returns the time of the next internal event, or `None` if none is scheduled.
    pub fn next_event_at(&self) -> Option<Timestamp> {
        let imports = self.imports.iter().map(|(at, _)| *at).min();
        [self.batch.step_ends(), self.control.next_at(), imports]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the newest visible load report.
    pub fn load_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        self.feed.report(now)
    }

    /// Returns up to `limit` visible cache events with sequence numbers above `after`, oldest first.
    pub fn cache_events(&self, now: Timestamp, after: u64, limit: usize) -> Vec<CacheEvent> {
        self.feed.events(now, after, limit)
    }

    /// Returns the cached blocks and leases of each run.
    pub fn holdings(&self) -> Vec<Holding> {
        self.cache.holdings()
    }

    /// Leases a run's current blocks for the duration of `lease`, so that they are evicted only after all
    /// unleased ones.
    pub fn retain(&mut self, now: Timestamp, run: RunId, lease: Duration) {
        self.cache.retain(run, now + lease);
    }

    /// Frees the blocks that only this run used, and returns their number. Idempotent.
    pub fn release(&mut self, now: Timestamp, run: RunId) -> u32 {
        let freed = self.cache.release_run(now, run);
        self.publish(now);
        freed
    }

    /// Returns the cached prefix of a chain, for import by another engine.
    pub fn export(
        &self,
        run: RunId,
        chain: &[elderworks_types::text::BlockHash],
    ) -> ExportedBlocks {
        let matched = self.cache.cached_prefix_len(chain);
        ExportedBlocks {
            run,
            blocks: chain[..matched].to_vec(),
        }
    }

    /// Starts an import and returns the time at which the blocks will be cached.
    pub fn import(&mut self, now: Timestamp, exported: ExportedBlocks) -> Timestamp {
        let blocks = u32::try_from(exported.blocks.len()).unwrap_or(u32::MAX);
        let done = now + self.parameters.transfer_per_block * blocks;
        self.imports.push((done, exported));
        done
    }

    /// Accepts a fenced command. A load takes effect once the weights have been read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if a command with a larger token has been accepted.
    pub fn command(
        &mut self,
        now: Timestamp,
        command: FencedCommand,
        weights: &mut WeightStore,
    ) -> Result<(), CommandError> {
        self.control.check(&command)?;
        let effective_at = match &command.action {
            FencedAction::Load { .. } => weights.reserve(now, self.parameters.model_bytes),
            FencedAction::Unload { .. } | FencedAction::SetRole { .. } => now,
        };
        self.control.accept(effective_at, command);
        Ok(())
    }

    /// Returns the loaded models, ordered by name.
    pub fn models(&self) -> Vec<ModelName> {
        self.control.models.iter().cloned().collect()
    }

    /// Returns the engine's role.
    pub fn role(&self) -> EngineRole {
        self.control.role
    }

    /// Returns cache statistics since the start of the engine.
    pub fn cache_statistics(&self, now: Timestamp) -> CacheStatistics {
        self.cache.statistics(now)
    }

    /// Returns the number of preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.batch.preemptions
    }

    fn start_step(&mut self, now: Timestamp) {
        self.batch
            .start_step(now, &self.parameters, &mut self.cache);
    }

    fn finish_imports(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let (due, later) = std::mem::take(&mut self.imports)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.imports = later;
        for (_, exported) in due {
            self.cache.import(now, exported.run, &exported.blocks);
            outputs.push(Output::Imported { run: exported.run });
        }
    }

    fn report_progress(&mut self, now: Timestamp, progress: &Progress, outputs: &mut Vec<Output>) {
        let Some(sequence) = self.batch.running.get(&progress.rank) else {
            return;
        };
        let id = sequence.id.clone();
        if progress.is_first_token {
            outputs.push(Output::FirstToken { id: id.clone() });
        }
        for chunk in self
            .streams
            .advance(&id, sequence.generated, progress.is_complete)
        {
            outputs.push(Output::Chunk {
                id: id.clone(),
                chunk,
            });
        }
        if progress.is_complete {
            outputs.extend(self.complete(now, progress.rank).map(Output::Completed));
        }
    }

    fn complete(&mut self, now: Timestamp, rank: Rank) -> Option<Completion> {
        let sequence = self.batch.remove(now, rank, &mut self.cache)?;
        self.ranks.remove(&sequence.id);
        let completion = Completion {
            usage: Usage {
                prompt: Tokens(sequence.plan.prompt),
                cached: Tokens(sequence.cached.unwrap_or(0)),
                output: Tokens(sequence.generated),
            },
            prefilled: Tokens(sequence.prefilled),
            chunks: 0,
            id: sequence.id,
        };
        Some(self.streams.complete(completion))
    }

    fn publish(&mut self, now: Timestamp) {
        let changes = self.cache.take_changes();
        self.feed.publish(now, changes);
        self.feed.record_load(LoadReport {
            measured: now,
            running: self.batch.running.len() as u32,
            waiting: self.batch.waiting.len() as u32,
            waiting_prefill: Tokens(self.batch.prefill_backlog()),
            blocks_used: self.cache.referenced() as u32,
            blocks_total: self.parameters.cache_blocks as u32,
        });
    }
}
