//! Capacity of a fleet in programs per second.
//!
//! Capacity is `workers / mean engine time of a program`, assuming that system prompts and handbooks
//! are always cached, that no other prefix of a run is prefilled twice and that every batch is as
//! large as the cache and `max_batch` allow. A load of 0.9 therefore leaves a policy little room for
//! recomputation.

use std::time::Duration;

use elderworks_engine_model::EngineParameters;
use elderworks_types::text::TOKENS_PER_BLOCK;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::generate::program;
use super::{AfterTurn, Preset, RunPlan, Segment};

/// Number of sampled programs.
const SAMPLE_PROGRAMS: usize = 4_000;
/// Seed of the sample. It is fixed so that capacity depends only on the preset.
const SAMPLE_SEED: u64 = 0x00ca_9ac1;

/// Work of one or more runs, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that are not cached.
    pub prefill: f64,
    /// Generated tokens.
    pub output: f64,
    /// Sum of the context lengths over all generated tokens.
    pub context: f64,
}

/// Returns the arrival rate at a load of 1.
pub fn programs_per_second(preset: &Preset) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(SAMPLE_SEED);
    let mut total = Work::default();
    for _ in 0..SAMPLE_PROGRAMS {
        let plan = program(preset, Duration::ZERO, &mut random);
        add_run(&mut total, &plan.root, true);
    }
    let parameters = EngineParameters::default();
    let mean_seconds = engine_seconds(&parameters, total) / SAMPLE_PROGRAMS as f64;
    preset.workers as f64 / mean_seconds
}

/// Returns the engine time of some work, in seconds, with batches as large as the cache and
/// `max_batch` allow.
pub fn engine_seconds(parameters: &EngineParameters, work: Work) -> f64 {
    let mean_context = work.context / work.output.max(1.0);
    let memory = (parameters.cache_blocks * TOKENS_PER_BLOCK) as f64;
    let batch = (memory / mean_context)
        .min(parameters.max_batch as f64)
        .max(1.0);
    let step = parameters.step_duration(batch as u64, (batch * mean_context) as u64, 0);
    let prefill = work.prefill * parameters.step_nanos_per_prefill_token as f64 / 1e9;
    work.output * step.as_secs_f64() / batch + prefill
}

fn add_run(total: &mut Work, run: &RunPlan, is_root: bool) {
    let mut context = run
        .segments
        .iter()
        .map(|segment| segment.tokens)
        .sum::<u64>() as f64;
    if is_root {
        total.prefill += unshared_tokens(&run.segments) as f64;
    }
    for turn in &run.turns {
        context += turn.prompt as f64;
        total.prefill += turn.prompt as f64;
        total.output += turn.output as f64;
        total.context += turn.output as f64 * (context + turn.output as f64 / 2.0);
        context += turn.output as f64;
        if let AfterTurn::Spawn(children) = &turn.after {
            for child in children {
                add_run(total, child, false);
            }
        }
    }
}

/// Returns the tokens of the document and of all later segments. System prompt and handbook are
/// assumed to be cached.
fn unshared_tokens(segments: &[Segment]) -> u64 {
    const DOCUMENT_AND_UNIQUE: usize = 2;
    let first = segments.len().saturating_sub(DOCUMENT_AND_UNIQUE);
    segments[first..].iter().map(|segment| segment.tokens).sum()
}
