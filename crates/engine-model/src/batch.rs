//! Continuous batching: admission of sequences, planning of steps and preemption.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::text::{BlockHash, TOKENS_PER_BLOCK};
use elderworks_types::{RunId, Timestamp};

use crate::cache::PrefixCache;
use crate::request::Plan;
use crate::{EngineParameters, RequestId};

const BLOCK_TOKENS: u64 = TOKENS_PER_BLOCK as u64;

/// Scheduling order of a sequence: priority, then arrival number. Smaller ranks run first.
pub(crate) type Rank = (i64, u64);

/// The state of a request in the engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) id: RequestId,
    pub(crate) run: RunId,
    pub(crate) plan: Plan,
    /// Full blocks that the sequence references in the cache, from the start of the chain.
    held: Vec<BlockHash>,
    /// Whether the sequence has reserved a partly filled block.
    has_partial: bool,
    /// Number of tokens whose keys and values are in memory.
    computed: u64,
    /// Number of generated tokens.
    pub(crate) generated: u64,
    /// Number of prompt tokens found in the cache at the first admission to the batch.
    pub(crate) cached: Option<u64>,
    /// Number of prefilled tokens, including those repeated after preemptions.
    pub(crate) prefilled: u64,
}

impl Sequence {
    pub(crate) fn new(id: RequestId, run: RunId, plan: Plan) -> Self {
        Self {
            id,
            run,
            plan,
            held: Vec::new(),
            has_partial: false,
            computed: 0,
            generated: 0,
            cached: None,
            prefilled: 0,
        }
    }

    fn sequence_tokens(&self) -> u64 {
        self.plan.prompt + self.generated
    }

    /// Returns the number of tokens to compute before the next one can be generated.
    fn missing(&self) -> u64 {
        self.sequence_tokens() - self.computed
    }

    fn is_decoding(&self) -> bool {
        self.generated > 0 && self.missing() <= 1
    }
}

/// Progress of one sequence in a step.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) rank: Rank,
    /// Whether the step generated the first token.
    pub(crate) is_first_token: bool,
    /// Whether the answer is complete.
    pub(crate) is_complete: bool,
}

/// The step in progress.
#[derive(Debug)]
struct Step {
    ends_at: Timestamp,
    /// Number of tokens to compute for each sequence.
    work: Vec<(Rank, u64)>,
}

/// Waiting and running sequences.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub(crate) waiting: BTreeMap<Rank, Sequence>,
    pub(crate) running: BTreeMap<Rank, Sequence>,
    step: Option<Step>,
    pub(crate) preemptions: u64,
}

impl Batch {
    pub(crate) fn step_ends(&self) -> Option<Timestamp> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Returns the number of tokens that all sequences still have to compute.
    pub(crate) fn prefill_backlog(&self) -> u64 {
        let waiting = self.waiting.values().map(Sequence::missing).sum::<u64>();
        let running = self.running.values().map(Sequence::missing).sum::<u64>();
        waiting + running
    }

    /// Admits waiting sequences and starts a step, if there is work and no step is in progress.
    pub(crate) fn start_step(
        &mut self,
        now: Timestamp,
        parameters: &EngineParameters,
        cache: &mut PrefixCache,
    ) {
        if self.step.is_some() {
            return;
        }
        self.admit(now, parameters, cache);
        if self.running.is_empty() {
            return;
        }
        let (work, duration) = self.plan_step(parameters);
        self.step = Some(Step {
            ends_at: now + duration,
            work,
        });
    }

    /// Completes the step if it ends by `now`, and returns the progress of its sequences.
    pub(crate) fn complete_step(
        &mut self,
        now: Timestamp,
        cache: &mut PrefixCache,
    ) -> Vec<Progress> {
        let Some(step) = self.step.take_if(|step| step.ends_at <= now) else {
            return Vec::new();
        };
        let mut progress = Vec::new();
        for (rank, tokens) in step.work {
            if !self.compute(now, rank, tokens, cache) {
                continue;
            }
            progress.extend(self.generate(rank));
        }
        progress
    }

    /// Removes a waiting or running sequence. Its full blocks stay cached.
    pub(crate) fn remove(
        &mut self,
        now: Timestamp,
        rank: Rank,
        cache: &mut PrefixCache,
    ) -> Option<Sequence> {
        if let Some(sequence) = self.waiting.remove(&rank) {
            return Some(sequence);
        }
        let mut sequence = self.running.remove(&rank)?;
        release_blocks(now, &mut sequence, cache);
        Some(sequence)
    }

    fn admit(&mut self, now: Timestamp, parameters: &EngineParameters, cache: &mut PrefixCache) {
        while let Some((rank, sequence)) = self.waiting.first_key_value() {
            let rank = *rank;
            if self.running.len() >= parameters.max_batch
                && !self.can_preempt(rank, parameters.preemption_gap)
            {
                return;
            }
            let blocks = sequence.sequence_tokens().div_ceil(BLOCK_TOKENS) as usize;
            let full = (sequence.sequence_tokens() / BLOCK_TOKENS) as usize;
            let matched = cache
                .cached_prefix_len(&sequence.plan.chain[..full.min(sequence.plan.chain.len())]);
            // Matched blocks can be evictable and count as available then, so `blocks` includes them.
            if !self.running.is_empty() && cache.available() <= blocks {
                return;
            }
            if self.running.len() >= parameters.max_batch {
                self.preempt_last(now, cache);
            }
            let mut sequence = self.waiting.remove(&rank).expect("rank was just read");
            start(now, &mut sequence, matched, cache);
            self.running.insert(rank, sequence);
        }
    }

    /// Returns whether a sequence with this rank may preempt the last-ranked running one.
    fn can_preempt(&self, rank: Rank, gap: i64) -> bool {
        let worst = self.running.last_key_value();
        worst.is_some_and(|(worst, _)| rank.0.saturating_add(gap) <= worst.0)
    }

    fn preempt_last(&mut self, now: Timestamp, cache: &mut PrefixCache) {
        if let Some((worst, _)) = self.running.last_key_value() {
            self.preempt(now, *worst, cache);
        }
    }

    fn preempt(&mut self, now: Timestamp, rank: Rank, cache: &mut PrefixCache) {
        if let Some(mut sequence) = self.running.remove(&rank) {
            release_blocks(now, &mut sequence, cache);
            self.waiting.insert(rank, sequence);
            self.preemptions += 1;
        }
    }

    /// Plans a step: one token for each decoding sequence, and prefill within the rest of the budget.
    fn plan_step(&self, parameters: &EngineParameters) -> (Vec<(Rank, u64)>, Duration) {
        let mut work = Vec::with_capacity(self.running.len());
        let mut decoding = 0;
        let mut context = 0;
        for (rank, sequence) in &self.running {
            if sequence.is_decoding() {
                decoding += 1;
                context += sequence.computed;
                work.push((*rank, 1));
            }
        }
        let mut budget = parameters.step_tokens.saturating_sub(decoding).max(1);
        let mut prefill = 0;
        for (rank, sequence) in &self.running {
            if sequence.is_decoding() || budget == 0 {
                continue;
            }
            let chunk = sequence.missing().min(budget);
            budget -= chunk;
            prefill += chunk;
            work.push((*rank, chunk));
        }
        let duration = parameters.step_duration(decoding, context, prefill);
        (work, duration)
    }

    /// Adds computed tokens to a sequence, preempting the last-ranked sequences while there is no
    /// memory. Returns `false` if the sequence was cancelled or preempted itself.
    fn compute(
        &mut self,
        now: Timestamp,
        rank: Rank,
        tokens: u64,
        cache: &mut PrefixCache,
    ) -> bool {
        loop {
            let Some(sequence) = self.running.get_mut(&rank) else {
                return false;
            };
            if grow(now, sequence, sequence.computed + tokens, cache) {
                if !sequence.is_decoding() {
                    sequence.prefilled += tokens;
                }
                sequence.computed += tokens;
                return true;
            }
            self.preempt_last(now, cache);
        }
    }

    /// Generates one token for a sequence whose tokens are all computed.
    fn generate(&mut self, rank: Rank) -> Option<Progress> {
        let sequence = self.running.get_mut(&rank)?;
        if sequence.missing() > 0 {
            return None;
        }
        sequence.generated += 1;
        Some(Progress {
            rank,
            is_first_token: sequence.generated == 1,
            is_complete: sequence.generated >= sequence.plan.output,
        })
    }
}

/// Acquires the `matched` cached blocks of a sequence that enters the batch.
fn start(now: Timestamp, sequence: &mut Sequence, matched: usize, cache: &mut PrefixCache) {
    for hash in &sequence.plan.chain[..matched] {
        let acquired = cache.acquire(now, *hash, sequence.run);
        debug_assert!(acquired, "a matched block is cached");
        sequence.held.push(*hash);
    }
    let computed = matched as u64 * BLOCK_TOKENS;
    sequence.computed = computed.min(sequence.sequence_tokens() - 1);
    let in_prompt = sequence.computed.min(sequence.plan.prompt);
    sequence.cached.get_or_insert(in_prompt);
}

/// Acquires memory for `tokens` computed tokens. Returns `false` if there is not enough; blocks
/// acquired so far stay acquired.
fn grow(now: Timestamp, sequence: &mut Sequence, tokens: u64, cache: &mut PrefixCache) -> bool {
    let full = ((tokens / BLOCK_TOKENS) as usize).min(sequence.plan.chain.len());
    if sequence.held.len() < full && sequence.has_partial {
        cache.free_partial();
        sequence.has_partial = false;
    }
    while sequence.held.len() < full {
        let hash = sequence.plan.chain[sequence.held.len()];
        if !cache.acquire(now, hash, sequence.run) {
            return false;
        }
        sequence.held.push(hash);
    }
    let needs_partial = tokens > sequence.held.len() as u64 * BLOCK_TOKENS;
    if needs_partial && !sequence.has_partial {
        sequence.has_partial = cache.reserve_partial(now);
        return sequence.has_partial;
    }
    true
}

/// Releases all memory of a sequence. Its full blocks stay cached.
fn release_blocks(now: Timestamp, sequence: &mut Sequence, cache: &mut PrefixCache) {
    cache.release_references(now, &sequence.held);
    sequence.held.clear();
    if sequence.has_partial {
        cache.free_partial();
        sequence.has_partial = false;
    }
    sequence.computed = 0;
}
