//! Choice of an engine for a call, admission of new runs, and urgency of calls.

use std::time::Duration;

use elderworks_types::text::TOKENS_PER_BLOCK;
use elderworks_types::{Timestamp, Tokens};
use rand::Rng;

use super::{Placement, URGENCY_STEP_SECONDS};
use crate::cost;
use crate::engines::Engine;
use crate::event::ReadyCall;

/// Fraction of an engine's memory in use from which no new run starts there, unless it is idle.
const MAX_MEMORY_FRACTION: f64 = 0.7;
/// Weight of the blocks of paused runs in the memory in use.
const PAUSED_WEIGHT: f64 = 1.0;
/// Number of running and waiting requests from which an engine only takes calls of runs whose last call
/// was sent to it.
const ADMISSION_REQUEST_LIMIT: u32 = cost::ENGINE_BATCH;
/// Weight of the time to prefill uncached tokens, which delays all calls at the engine.
const RECOMPUTE_WEIGHT: u32 = 20;
/// Seconds of urgency gained for each second of age of a run, which prevents starvation of long runs.
const AGE_WEIGHT: f64 = 0.25;
/// Tokens in one cache block.
const BLOCK_TOKENS: u64 = TOKENS_PER_BLOCK as u64;
/// Upper bound, in microseconds, of the random cost added to each engine. Spreads calls over engines of
/// nearly equal cost.
const TIE_BREAK_MICROS: u64 = 2_000;

/// The engine chosen for a call.
pub(super) struct Choice {
    pub(super) slot: usize,
    /// Prompt tokens that are not known to be in the engine's cache.
    pub(super) uncached: Tokens,
}

impl Placement {
    /// Returns the engine with the lowest predicted cost, or `None` if no engine has capacity.
    pub(super) fn choose(&mut self, now: Timestamp, call: &ReadyCall) -> Option<Choice> {
        let home = self.runs.get(call.ticket.call.run).and_then(|run| run.home);
        let matches = self.index.matches(&call.blocks, self.engines.len());
        let steps = self.expected_steps(call);
        let mut best: Option<(Duration, Choice)> = None;
        for (slot, engine) in self.engines.iter() {
            let is_home = home == Some(slot);
            if !engine.accepts(now, call) || !(is_home || self.has_capacity(now, engine, call)) {
                continue;
            }
            let matched = Tokens(u64::from(matches[slot]) * BLOCK_TOKENS);
            let uncached = call.prompt.saturating_sub(matched);
            let cost = self.predicted_cost(now, engine, uncached, steps);
            let cost = cost + Duration::from_micros(self.random.random_range(0..TIE_BREAK_MICROS));
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, Choice { slot, uncached }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns whether an engine other than the last one of the run may take the call. An engine without
    /// requests always may.
    fn has_capacity(&self, now: Timestamp, engine: &Engine, call: &ReadyCall) -> bool {
        let own_fraction = self.engines.own_fraction;
        let requests = engine.requests(now, own_fraction);
        if requests == 0 {
            return true;
        }
        if requests >= ADMISSION_REQUEST_LIMIT {
            return false;
        }
        let memory = engine.memory_fraction(now, own_fraction, PAUSED_WEIGHT);
        // The memory limit only holds back new runs: a started run and the parent of a sub-agent have been
        // admitted already.
        let is_under_way = call.turns > 0 || call.parent.is_some();
        is_under_way || memory < MAX_MEMORY_FRACTION
    }

    /// Returns the predicted time to the complete answer, plus the weighted delay of other calls.
    fn predicted_cost(
        &self,
        now: Timestamp,
        engine: &Engine,
        uncached: Tokens,
        steps: u32,
    ) -> Duration {
        let requests = engine.requests(now, self.engines.own_fraction);
        let wait = engine.expected_wait(now, requests, uncached);
        let decoding = cost::added_step_time(requests) * steps;
        let recompute = cost::prefill_time(uncached) * RECOMPUTE_WEIGHT;
        let distance = cost::network_round_trip(engine.zone == self.settings.zone);
        wait + decoding + recompute + distance
    }

    /// Returns the number of decoding steps that will run on the chosen engine: those of this call, or
    /// those of the whole run for its first call, since later calls tend to follow their cache.
    fn expected_steps(&self, call: &ReadyCall) -> u32 {
        let output = self.estimates.output_tokens(&call.program);
        if call.turns > 0 {
            return output as u32;
        }
        let turns = self.estimates.remaining_turns(&call.program, call.turns);
        (turns * output) as u32
    }

    /// Returns the urgency of a call in seconds; smaller is more urgent. It is the expected remaining time
    /// of the run, reduced by its weighted age and its priority.
    pub(super) fn urgency(&self, call: &ReadyCall) -> f64 {
        let remaining = self.estimates.remaining_time(&call.program, call.turns);
        let started = call.run_started.0 as f64 / 1e6;
        remaining.as_secs_f64() + AGE_WEIGHT * started
            - f64::from(call.priority) * URGENCY_STEP_SECONDS
    }
}
