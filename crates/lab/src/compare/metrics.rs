//! Metrics of one experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_engine_model::Completion;
use elderworks_types::text::{BlockHash, BlockSet};
use elderworks_types::{ResourceName, TenantId};

use super::statistics::percentile;
use crate::workload::chain::BLOCK_TOKENS;

/// Outcome of one program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramOutcome {
    /// Name of the `Program` resource.
    pub program: ResourceName,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Time from the intended start until the caller has the last complete answer.
    pub latency: Duration,
    /// Lower bound on the latency: that of the program alone on an idle fleet.
    pub bound: Duration,
    /// Deadline, relative to the intended start.
    pub deadline: Duration,
    /// Whether the deadline was met.
    pub in_time: bool,
}

/// Metrics of one experiment.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Mean program latency in seconds.
    pub mean: f64,
    /// Median program latency in seconds.
    pub p50: f64,
    /// 95th percentile of program latency in seconds.
    pub p95: f64,
    /// 99th percentile of program latency in seconds.
    pub p99: f64,
    /// Fraction of programs that met their deadline.
    pub deadline_met_ratio: f64,
    /// 95th percentile of the time from a call to its first token, in seconds.
    pub first_token_p95: f64,
    /// Block-seconds that blocks were held within the horizon without later reuse.
    pub wasted_block_seconds: f64,
    /// Prefix tokens that were prefilled although some engine had already computed them.
    pub recomputed_tokens: f64,
    /// Jain's fairness index over the tenants' mean slowdowns; 1 is perfectly fair.
    pub fairness: f64,
    /// Number of refusals; each refused caller retries.
    pub refusals: f64,
    /// Number of unfinished programs; they count with their latency at the end of the experiment.
    pub unfinished: f64,
    /// Lower bound on the latencies of the same programs.
    pub bound: Bound,
}

/// Latencies of the same programs, each alone on an idle fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bound {
    /// Mean latency in seconds.
    pub mean: f64,
    /// Median latency in seconds.
    pub p50: f64,
    /// 95th percentile of latency in seconds.
    pub p95: f64,
    /// 99th percentile of latency in seconds.
    pub p99: f64,
    /// Fraction of programs that meet their deadline.
    pub deadline_met_ratio: f64,
}

/// Collects metrics during an experiment.
#[derive(Default)]
pub struct Recorder {
    outcomes: Vec<ProgramOutcome>,
    /// Seconds from each call to its first token.
    first_token_seconds: Vec<f64>,
    /// Blocks that some engine has computed.
    computed_blocks: BlockSet,
    recomputed_tokens: u64,
    wasted_block_seconds: f64,
    refusals: u64,
    unfinished: u64,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a completed program.
    pub fn record_program(&mut self, outcome: ProgramOutcome) {
        self.outcomes.push(outcome);
    }

    /// Records an unfinished program, which counts as having missed its deadline.
    pub fn record_unfinished(&mut self, mut outcome: ProgramOutcome) {
        outcome.in_time = false;
        self.unfinished += 1;
        self.record_program(outcome);
    }

    /// Records the time from a call to its first token.
    pub fn record_first_token(&mut self, since_call: Duration) {
        self.first_token_seconds.push(since_call.as_secs_f64());
    }

    /// Records a refused call.
    pub fn record_refusal(&mut self) {
        self.refusals += 1;
    }

    /// Records a completed call; `chain` holds the block hashes of its prompt and answer.
    pub fn record_call(&mut self, chain: &[BlockHash], completion: &Completion) {
        let usage = &completion.usage;
        let prompt_blocks = (usage.prompt.0 / BLOCK_TOKENS) as usize;
        let cached_blocks = (usage.cached.0 / BLOCK_TOKENS) as usize;
        let missing = &chain[cached_blocks.min(prompt_blocks)..prompt_blocks.min(chain.len())];
        let known = missing
            .iter()
            .filter(|hash| self.computed_blocks.contains(hash));
        self.recomputed_tokens += known.count() as u64 * BLOCK_TOKENS;
        let first_time = usage.prompt.0 - usage.cached.0;
        self.recomputed_tokens += completion.prefilled.0.saturating_sub(first_time);
        self.computed_blocks.extend(chain.iter().copied());
    }

    /// Sets the block-seconds that engines held without reuse.
    pub fn set_unused_block_seconds(&mut self, unused_block_seconds: f64) {
        self.wasted_block_seconds = unused_block_seconds;
    }

    /// Computes the metrics.
    pub fn metrics(mut self) -> Metrics {
        let latencies = sorted(self.outcomes.iter().map(|outcome| outcome.latency));
        let in_time: Vec<bool> = self
            .outcomes
            .iter()
            .map(|outcome| outcome.in_time)
            .collect();
        self.first_token_seconds.sort_by(f64::total_cmp);
        Metrics {
            mean: mean(&latencies),
            p50: percentile(&latencies, 0.50),
            p95: percentile(&latencies, 0.95),
            p99: percentile(&latencies, 0.99),
            deadline_met_ratio: fraction(&in_time),
            first_token_p95: percentile(&self.first_token_seconds, 0.95),
            wasted_block_seconds: self.wasted_block_seconds,
            recomputed_tokens: self.recomputed_tokens as f64,
            fairness: fairness(&self.outcomes),
            refusals: self.refusals as f64,
            unfinished: self.unfinished as f64,
            bound: Bound::of(&self.outcomes),
        }
    }
}

impl Bound {
    fn of(outcomes: &[ProgramOutcome]) -> Self {
        let latencies = sorted(outcomes.iter().map(|outcome| outcome.bound));
        let in_time: Vec<bool> = outcomes
            .iter()
            .map(ProgramOutcome::bound_meets_deadline)
            .collect();
        Self {
            mean: mean(&latencies),
            p50: percentile(&latencies, 0.50),
            p95: percentile(&latencies, 0.95),
            p99: percentile(&latencies, 0.99),
            deadline_met_ratio: fraction(&in_time),
        }
    }
}

impl ProgramOutcome {
    fn bound_meets_deadline(&self) -> bool {
        self.bound <= self.deadline
    }
}

fn sorted(durations: impl Iterator<Item = Duration>) -> Vec<f64> {
    let mut seconds: Vec<f64> = durations.map(|duration| duration.as_secs_f64()).collect();
    seconds.sort_by(f64::total_cmp);
    seconds
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn fraction(flags: &[bool]) -> f64 {
    let set = flags.iter().filter(|flag| **flag).count();
    set as f64 / flags.len().max(1) as f64
}

/// Computes Jain's fairness index over the tenants' mean ratios of latency to bound.
fn fairness(outcomes: &[ProgramOutcome]) -> f64 {
    let mut slowdowns: BTreeMap<&TenantId, Vec<f64>> = BTreeMap::new();
    for outcome in outcomes {
        let bound = outcome.bound.as_secs_f64().max(0.001);
        let slowdown = outcome.latency.as_secs_f64() / bound;
        slowdowns.entry(&outcome.tenant).or_default().push(slowdown);
    }
    let means: Vec<f64> = slowdowns.values().map(|values| mean(values)).collect();
    let sum: f64 = means.iter().sum();
    let squares: f64 = means.iter().map(|value| value * value).sum();
    sum * sum / (means.len().max(1) as f64 * squares.max(f64::MIN_POSITIVE))
}
