//! Which engine a call goes to, whether a run may start there, and how urgent it is.

use std::time::Duration;

use elderworks_types::text::TOKENS_PER_BLOCK;
use elderworks_types::{Timestamp, Tokens};
use rand::Rng;

use super::{Placement, URGENCY_STEP};
use crate::cost;
use crate::engines::Engine;
use crate::event::ReadyCall;

/// A run starts on an engine only while the engine's memory is less used than this.
const MEMORY_LIMIT: f64 = 0.7;
/// How much a paused run's blocks count towards that limit.
const PAUSED_WEIGHT: f64 = 1.0;
/// A run starts on an engine only while it has fewer requests than this.
const START_LIMIT: u32 = cost::ENGINE_BATCH;
/// Engine time spent on recomputation delays all that the engine serves, not only this call.
const RECOMPUTE_WEIGHT: u32 = 20;
/// How much of a run's age counts against its expected remaining time.
const AGEING: f64 = 0.25;
const BLOCK_TOKENS: u64 = TOKENS_PER_BLOCK as u64;
/// Choices whose costs differ by less than this are as good as equal, and chance decides.
const TIE_MICROS: u64 = 2_000;

/// Where a call should go.
pub(super) struct Choice {
    pub(super) slot: usize,
    /// Prompt tokens that the engine is not known to hold.
    pub(super) missing: Tokens,
}

impl Placement {
    /// The best engine, or `None` if the call has to wait for room.
    pub(super) fn choose(&mut self, now: Timestamp, call: &ReadyCall) -> Option<Choice> {
        let home = self.runs.get(call.ticket.call.run).and_then(|run| run.home);
        let matches = self.index.matches(&call.blocks, self.engines.len());
        let steps = self.expected_steps(call);
        let mut best: Option<(Duration, Choice)> = None;
        for (slot, engine) in self.engines.iter() {
            let is_home = home == Some(slot);
            if !engine.accepts(now, call) || !(is_home || self.has_room(now, engine, call)) {
                continue;
            }
            let matched = Tokens(u64::from(matches[slot]) * BLOCK_TOKENS);
            let missing = call.prompt.saturating_sub(matched);
            let cost = self.predicted(now, engine, missing, steps);
            let cost = cost + Duration::from_micros(self.random.random_range(0..TIE_MICROS));
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, Choice { slot, missing }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    fn has_room(&self, now: Timestamp, engine: &Engine, call: &ReadyCall) -> bool {
        let own_share = self.engines.own_share;
        let requests = engine.requests(now, own_share);
        if requests == 0 {
            return true;
        }
        if requests >= START_LIMIT {
            return false;
        }
        let memory = engine.memory_share(now, own_share, PAUSED_WEIGHT);
        // A program that is under way has been admitted; only its engine changes.
        let is_under_way = call.turns > 0 || call.parent.is_some();
        is_under_way || memory < MEMORY_LIMIT
    }

    /// Time until the whole answer, and what the call costs the others that the engine serves.
    fn predicted(&self, now: Timestamp, engine: &Engine, missing: Tokens, steps: u32) -> Duration {
        let requests = engine.requests(now, self.engines.own_share);
        let wait = engine.expected_wait(now, requests, missing);
        let decoding = cost::added_to_step(requests) * steps;
        let recompute = cost::prefill(missing) * RECOMPUTE_WEIGHT;
        let distance = cost::distance(engine.zone == self.settings.zone);
        wait + decoding + recompute + distance
    }

    /// Decoding steps for which the choice binds: those of this call, or of the whole run where
    /// the run starts.
    fn expected_steps(&self, call: &ReadyCall) -> u32 {
        let output = self.estimates.output(&call.program);
        if call.turns > 0 {
            return output as u32;
        }
        let turns = self.estimates.remaining_turns(&call.program, call.turns);
        (turns * output) as u32
    }

    /// Smaller is more urgent: expected remaining time of the run, less its age by weight.
    pub(super) fn urgency(&self, call: &ReadyCall) -> f64 {
        let remaining = self.estimates.remaining(&call.program, call.turns);
        let started = call.run_started.0 as f64 / 1e6;
        remaining.as_secs_f64() + AGEING * started - f64::from(call.priority) * URGENCY_STEP
    }
}
