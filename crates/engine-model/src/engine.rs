//! The engine: requests, steps, memory, commands and what it publishes.

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

/// One engine. Give it the time by [`Engine::advance`] no later than [`Engine::next_event_at`].
#[derive(Debug)]
pub struct Engine {
    parameters: EngineParameters,
    batch: Batch,
    cache: PrefixCache,
    streams: Streams,
    ranks: BTreeMap<RequestId, Rank>,
    next_arrival: u64,
    control: ControlState,
    imports: Vec<(Timestamp, ExportedBlocks)>,
    feed: Feed,
}

impl Engine {
    /// An idle engine with these models loaded.
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

    /// Takes a request into the queue.
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
        if plan.blocks_at_most() + 1 > self.parameters.cache_blocks {
            return Err(Rejected::TooLong);
        }
        Ok(plan)
    }

    /// Stops a request wherever it is and forgets it; false if it is not open.
    pub fn cancel(&mut self, now: Timestamp, id: &RequestId) -> bool {
        let Some(rank) = self.ranks.remove(id) else {
            return false;
        };
        self.batch.remove(now, rank, &mut self.cache);
        self.streams.forget(id);
        true
    }

    /// What exists of an answer from a chunk on; `None` if the request is unknown.
    pub fn resume(&self, id: &RequestId, from_chunk: u32) -> Option<Resumed> {
        self.streams.resume(id, from_chunk)
    }

    /// Does all that is due by `now`.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.cache.expire_leases(now);
        for token in self.control.advance(now) {
            outputs.push(Output::CommandDone { token });
        }
        self.finish_imports(now, &mut outputs);
        while let Some(ends) = self.batch.step_ends().filter(|ends| *ends <= now) {
            for progress in self.batch.end_step(ends, &mut self.cache) {
                self.report_progress(ends, &progress, &mut outputs);
            }
            self.start_step(ends);
        }
        self.publish(now);
        outputs
    }

    /// When something will happen by itself; `None` while there is nothing to do.
    pub fn next_event_at(&self) -> Option<Timestamp> {
        let imports = self.imports.iter().map(|(at, _)| *at).min();
        [self.batch.step_ends(), self.control.next_at(), imports]
            .into_iter()
            .flatten()
            .min()
    }

    /// The newest load report that has become visible.
    pub fn load_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        self.feed.report(now)
    }

    /// Cache events with a number above `after` that have become visible, oldest first.
    pub fn cache_events(&self, now: Timestamp, after: u64, limit: usize) -> Vec<CacheEvent> {
        self.feed.events(now, after, limit)
    }

    /// What each run holds.
    pub fn holdings(&self) -> Vec<Holding> {
        self.cache.holdings()
    }

    /// Keeps a run's blocks above ordinary eviction order for a while.
    pub fn retain(&mut self, now: Timestamp, run: RunId, lease: Duration) {
        self.cache.retain(run, now + lease);
    }

    /// Frees what a run holds and returns how many blocks that was. Repeating it is harmless.
    pub fn release(&mut self, now: Timestamp, run: RunId) -> u32 {
        let freed = self.cache.release_run(now, run);
        self.publish(now);
        freed
    }

    /// The part of a chain that is cached, to be imported by another engine.
    pub fn export(
        &self,
        run: RunId,
        chain: &[elderworks_types::text::BlockHash],
    ) -> ExportedBlocks {
        let matched = self.cache.matched(chain);
        ExportedBlocks {
            run,
            blocks: chain[..matched].to_vec(),
        }
    }

    /// Begins an import and returns when the blocks will be usable.
    pub fn import(&mut self, now: Timestamp, exported: ExportedBlocks) -> Timestamp {
        let blocks = u32::try_from(exported.blocks.len()).unwrap_or(u32::MAX);
        let done = now + self.parameters.transfer_per_block * blocks;
        self.imports.push((done, exported));
        done
    }

    /// Accepts a fenced command; a load takes effect when the weight store has delivered.
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

    /// Models that are loaded, in order of name.
    pub fn models(&self) -> Vec<ModelName> {
        self.control.models.iter().cloned().collect()
    }

    /// Its role.
    pub fn role(&self) -> EngineRole {
        self.control.role
    }

    /// Sums over the cache's life.
    pub fn cache_statistics(&self, now: Timestamp) -> CacheStatistics {
        self.cache.statistics(now)
    }

    /// Sequences that lost their place in the batch so far.
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
        if progress.first {
            outputs.push(Output::FirstToken { id: id.clone() });
        }
        for chunk in self
            .streams
            .advance(&id, sequence.generated, progress.ended)
        {
            outputs.push(Output::Chunk {
                id: id.clone(),
                chunk,
            });
        }
        if progress.ended {
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
        self.feed.sample(LoadReport {
            measured: now,
            running: self.batch.running.len() as u32,
            waiting: self.batch.waiting.len() as u32,
            waiting_prefill: Tokens(self.batch.unprefilled()),
            blocks_used: self.cache.referenced() as u32,
            blocks_total: self.parameters.cache_blocks as u32,
        });
    }
}
