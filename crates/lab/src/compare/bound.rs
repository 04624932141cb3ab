//! Lower bound on program latency: each program alone on an idle fleet with full cache reuse.
//!
//! All shared segments and the run's entire history are cached, each sub-agent has its own engine,
//! and network latency is ignored. No policy can be faster on the same engines.

use std::time::Duration;

use elderworks_engine_model::EngineParameters;

use crate::workload::{AfterTurn, ProgramPlan, RunPlan};

/// Returns the minimum latency of a program.
pub fn program_latency(plan: &ProgramPlan) -> Duration {
    run_latency(&EngineParameters::default(), &plan.root)
}

fn run_latency(parameters: &EngineParameters, run: &RunPlan) -> Duration {
    let mut context: u64 = run.segments.iter().map(|segment| segment.tokens).sum();
    let mut latency = Duration::ZERO;
    for turn in &run.turns {
        context += turn.prompt;
        latency += prefill(parameters, turn.prompt);
        latency += decode(parameters, context, turn.output - 1);
        context += turn.output;
        latency += match &turn.after {
            AfterTurn::Pause(pause) => *pause,
            AfterTurn::Spawn(children) => max_latency(parameters, children),
            AfterTurn::End => Duration::ZERO,
        };
    }
    latency
}

fn max_latency(parameters: &EngineParameters, runs: &[RunPlan]) -> Duration {
    let latencies = runs.iter().map(|run| run_latency(parameters, run));
    latencies.max().unwrap_or_default()
}

/// Returns the time to prefill a prompt in a batch of one; the last step also yields the first
/// token.
fn prefill(parameters: &EngineParameters, tokens: u64) -> Duration {
    let steps = tokens.div_ceil(parameters.step_tokens);
    let base = parameters.step_duration(0, 0, 0) * u32::try_from(steps).unwrap_or(u32::MAX);
    base + parameters.step_duration(0, 0, tokens) - parameters.step_duration(0, 0, 0)
}

fn decode(parameters: &EngineParameters, context: u64, tokens: u64) -> Duration {
    let mean_context = context + tokens / 2;
    parameters.step_duration(1, mean_context, 0) * u32::try_from(tokens).unwrap_or(u32::MAX)
}
