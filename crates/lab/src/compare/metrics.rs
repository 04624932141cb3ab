//! What is measured in one experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_engine_model::Completion;
use elderworks_types::text::{BlockHash, BlockSet};
use elderworks_types::{ResourceName, TenantId};

use super::statistics::percentile;
use crate::workload::chain::BLOCK_TOKENS;

/// How one program fared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramOutcome {
    /// Its `Program` resource.
    pub program: ResourceName,
    /// Whose it was.
    pub tenant: TenantId,
    /// From its intended start to the caller's last whole answer.
    pub latency: Duration,
    /// Its latency alone on an idle fleet.
    pub bound: Duration,
    /// Latest useful end, from its intended start.
    pub deadline: Duration,
    /// Whether it met that.
    pub in_time: bool,
}

/// The figures of one experiment.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Mean program latency in seconds.
    pub mean: f64,
    /// Median of it.
    pub p50: f64,
    /// 95th percentile of it.
    pub p95: f64,
    /// 99th percentile of it.
    pub p99: f64,
    /// Share of programs that met their deadline.
    pub deadline_share: f64,
    /// 95th percentile of the time from a call to its first token, in seconds.
    pub first_token_p95: f64,
    /// Block-seconds held within the horizon with no later reuse.
    pub wasted_block_seconds: f64,
    /// Prefix tokens prefilled although some engine had computed them before.
    pub recomputed_tokens: f64,
    /// Jain's index over the tenants' mean slowdowns; 1 is even.
    pub fairness: f64,
    /// Refusals; each refused caller came back.
    pub refusals: f64,
    /// Programs that never ended and count with their latency so far.
    pub unfinished: f64,
    /// The same latencies under the bound.
    pub bound: Bound,
}

/// Latencies of the same programs, each alone on an idle fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bound {
    /// Mean in seconds.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Share that meets its deadline.
    pub deadline_share: f64,
}

/// Collects while an experiment runs.
#[derive(Default)]
pub struct Recorder {
    outcomes: Vec<ProgramOutcome>,
    first_tokens: Vec<f64>,
    computed: BlockSet,
    recomputed_tokens: u64,
    wasted_block_seconds: f64,
    refusals: u64,
    unfinished: u64,
}

impl Recorder {
    /// Nothing has happened.
    pub fn new() -> Self {
        Self::default()
    }

    /// A program ended.
    pub fn program_ended(&mut self, outcome: ProgramOutcome) {
        self.outcomes.push(outcome);
    }

    /// A program did not end; it missed its deadline.
    pub fn unfinished(&mut self, mut outcome: ProgramOutcome) {
        outcome.in_time = false;
        self.unfinished += 1;
        self.program_ended(outcome);
    }

    /// A first token reached its caller.
    pub fn first_token(&mut self, since_call: Duration) {
        self.first_tokens.push(since_call.as_secs_f64());
    }

    /// A call was refused.
    pub fn refused(&mut self) {
        self.refusals += 1;
    }

    /// A call completed; `chain` holds the blocks of its prompt and answer.
    pub fn call_completed(&mut self, chain: &[BlockHash], completion: &Completion) {
        let usage = &completion.usage;
        let prompt_blocks = (usage.prompt.0 / BLOCK_TOKENS) as usize;
        let cached_blocks = (usage.cached.0 / BLOCK_TOKENS) as usize;
        let missing = &chain[cached_blocks.min(prompt_blocks)..prompt_blocks.min(chain.len())];
        let known = missing.iter().filter(|hash| self.computed.contains(hash));
        self.recomputed_tokens += known.count() as u64 * BLOCK_TOKENS;
        let first_time = usage.prompt.0 - usage.cached.0;
        self.recomputed_tokens += completion.prefilled.0.saturating_sub(first_time);
        self.computed.extend(chain.iter().copied());
    }

    /// Sum of what the engines held in vain.
    pub fn cache(&mut self, unused_block_seconds: f64) {
        self.wasted_block_seconds = unused_block_seconds;
    }

    /// The figures.
    pub fn metrics(mut self) -> Metrics {
        let latencies = sorted(self.outcomes.iter().map(|outcome| outcome.latency));
        let in_time: Vec<bool> = self
            .outcomes
            .iter()
            .map(|outcome| outcome.in_time)
            .collect();
        self.first_tokens.sort_by(f64::total_cmp);
        Metrics {
            mean: mean(&latencies),
            p50: percentile(&latencies, 0.50),
            p95: percentile(&latencies, 0.95),
            p99: percentile(&latencies, 0.99),
            deadline_share: share(&in_time),
            first_token_p95: percentile(&self.first_tokens, 0.95),
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
            .map(ProgramOutcome::could_be_in_time)
            .collect();
        Self {
            mean: mean(&latencies),
            p50: percentile(&latencies, 0.50),
            p95: percentile(&latencies, 0.95),
            p99: percentile(&latencies, 0.99),
            deadline_share: share(&in_time),
        }
    }
}

impl ProgramOutcome {
    fn could_be_in_time(&self) -> bool {
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

fn share(flags: &[bool]) -> f64 {
    let set = flags.iter().filter(|flag| **flag).count();
    set as f64 / flags.len().max(1) as f64
}

/// Jain's index over each tenant's mean ratio of latency to bound.
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
