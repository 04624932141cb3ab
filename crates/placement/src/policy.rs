//! The placement policy.

mod choice;
mod retention;

use std::time::Duration;

use elderworks_types::{
    EngineId, Refusal, RefusalReason, RunId, TenantId, Timestamp, Tokens, ZoneId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::counters::Counters;
use crate::engines::{EngineTable, OpenCall};
use crate::estimates::Estimates;
use crate::event::{CacheChange, FinishedResult, ReadyCall};
use crate::index::CacheIndex;
use crate::queue::{QueueKey, WaitQueue};
use crate::runs::RunTable;
use crate::{Effect, Event, Ticket};
use choice::Choice;

/// Calls that may wait for room; further ones are refused.
const MAX_WAITING: usize = 8_192;
/// Held calls that are tried each time something changes.
const TRIES_PER_CHANGE: usize = 4;
/// When a call refused for overload may come back.
const OVERLOAD_RETRY: Duration = Duration::from_secs(5);
/// When a call that no engine serves may come back.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(2);

/// Urgencies closer than this are the same to engines, so that they preempt seldom.
const URGENCY_STEP: f64 = 4.0;
/// Calls of one tenant that wait make its next ones this many seconds less urgent each.
const TENANT_PENALTY: f64 = 0.1;

/// Limits and weights of placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// The zone of the node that decides.
    pub zone: ZoneId,
    /// Seed of its random choices.
    pub seed: u64,
}

impl PlacementSettings {
    /// Default limits and weights.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self { zone, seed }
    }
}

/// Decides for the calls of one node.
pub struct Placement {
    settings: PlacementSettings,
    random: ChaCha8Rng,
    engines: EngineTable,
    index: CacheIndex,
    runs: RunTable,
    estimates: Estimates,
    queue: WaitQueue,
    counters: Counters,
}

impl Placement {
    /// Knows no engine yet.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            engines: EngineTable::default(),
            index: CacheIndex::default(),
            runs: RunTable::default(),
            estimates: Estimates::default(),
            queue: WaitQueue::default(),
            counters: Counters::default(),
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::EngineAdded {
                engine,
                zone,
                models,
            } => self.engines.add(engine, zone, models),
            Event::EngineLeaving { engine } => self.engine_leaving(&engine),
            Event::EngineRemoved { engine } => self.engine_removed(&engine),
            Event::Load { engine, report } => {
                if let Some(slot) = self.engines.slot(&engine) {
                    self.engines.take_report(slot, report);
                }
            }
            Event::Cache { engine, change } => self.cache_changed(&engine, change),
            Event::CallReady(call) => self.call_ready(now, call, &mut effects),
            Event::FirstToken { ticket } => self.first_token(ticket),
            Event::Finished { ticket, result } => {
                self.finished(now, ticket, result);
                self.release_held(now, &mut effects);
            }
            Event::Cancelled { ticket } => {
                self.queue.cancel(ticket);
                self.close(now, ticket);
            }
            Event::RunPaused {
                run,
                expected_reuse,
            } => self.run_paused(now, run, expected_reuse, &mut effects),
            Event::RunEnded { run } => self.run_ended(run, &mut effects),
            Event::Tick => self.release_held(now, &mut effects),
        }
        effects
    }

    /// What was counted so far.
    pub fn counters(&self) -> Counters {
        Counters {
            waiting: self.queue.len(),
            runs: self.runs.len(),
            indexed_blocks: self.index.len(),
            ..self.counters
        }
    }

    fn engine_leaving(&mut self, engine: &EngineId) {
        if let Some(slot) = self.engines.slot(engine) {
            self.engines.get_mut(slot).is_leaving = true;
        }
    }

    fn engine_removed(&mut self, engine: &EngineId) {
        if let Some(slot) = self.engines.remove(engine) {
            self.index.clear(slot);
        }
    }

    fn cache_changed(&mut self, engine: &EngineId, change: CacheChange) {
        let Some(slot) = self.engines.slot(engine) else {
            return;
        };
        match change {
            CacheChange::Stored(blocks) => self.index.store(slot, &blocks),
            CacheChange::Evicted(blocks) => self.index.evict(slot, &blocks),
            CacheChange::Cleared => self.index.clear(slot),
            CacheChange::Gap { missed } => self.counters.missed_cache_events += missed,
        }
    }

    fn call_ready(&mut self, now: Timestamp, call: Box<ReadyCall>, effects: &mut Vec<Effect>) {
        self.note_call(now, &call, effects);
        if self.is_too_late(now, &call) {
            self.counters.refused_deadline += 1;
            effects.push(refuse(call.ticket, RefusalReason::DeadlinePassed, None));
            return;
        }
        match self.choose(now, &call) {
            Some(choice) => self.dispatch(now, &call, &choice, Duration::ZERO, effects),
            None => self.hold(now, call, effects),
        }
    }

    fn note_call(&mut self, now: Timestamp, call: &ReadyCall, effects: &mut Vec<Effect>) {
        let run = call.ticket.call.run;
        if let Some((forgotten, known)) = self.runs.seen(now, run, &call.program) {
            self.counters.forgotten_runs += 1;
            self.drop_blocks(forgotten, &known, effects);
        }
        self.end_pause(now, run);
        if let Some(known) = self.runs.get_mut(run) {
            known.turns = call.turns;
        }
    }

    fn end_pause(&mut self, now: Timestamp, run: RunId) {
        let Some(known) = self.runs.get_mut(run) else {
            return;
        };
        let Some(paused_at) = known.paused_at.take() else {
            return;
        };
        self.estimates
            .pause_took(&known.program, now.since(paused_at));
        if let Some(home) = known.home {
            let engine = self.engines.get_mut(home);
            engine.paused_blocks = engine.paused_blocks.saturating_sub(known.blocks);
        }
    }

    fn is_too_late(&self, now: Timestamp, call: &ReadyCall) -> bool {
        call.call_deadline.is_some_and(|deadline| deadline <= now)
    }

    fn hold(&mut self, now: Timestamp, call: Box<ReadyCall>, effects: &mut Vec<Effect>) {
        if !self.is_served(&call) {
            self.counters.refused_no_backend += 1;
            let retry = Some(NO_BACKEND_RETRY);
            effects.push(refuse(call.ticket, RefusalReason::NoBackend, retry));
            return;
        }
        if self.queue.len() >= MAX_WAITING {
            self.counters.refused_overloaded += 1;
            let retry = Some(OVERLOAD_RETRY);
            effects.push(refuse(call.ticket, RefusalReason::Overloaded, retry));
            return;
        }
        self.counters.held += 1;
        let penalty = self.tenant_penalty(&call.tenant);
        let urgency = (self.urgency(&call) + penalty) * MICROS;
        self.queue.push(now, urgency as i64, call);
    }

    fn tenant_penalty(&self, tenant: &TenantId) -> f64 {
        self.queue.of_tenant(tenant) as f64 * TENANT_PENALTY
    }

    fn is_served(&self, call: &ReadyCall) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|(_, engine)| !engine.is_leaving && engine.models.contains(&call.model))
    }

    /// Dispatches held calls for which there is room now.
    fn release_held(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        loop {
            let keys = self.queue.first_keys(TRIES_PER_CHANGE);
            let Some(released) = keys
                .into_iter()
                .find(|key| self.try_held(now, *key, effects))
            else {
                return;
            };
            self.queue.remove(released);
        }
    }

    /// Dispatches or refuses one held call; false if it has to wait on.
    fn try_held(&mut self, now: Timestamp, key: QueueKey, effects: &mut Vec<Effect>) -> bool {
        let Some(waiting) = self.queue.get(key) else {
            return false;
        };
        let call = waiting.call.clone();
        let waited = now.since(waiting.since);
        if self.is_too_late(now, &call) {
            self.counters.refused_deadline += 1;
            effects.push(refuse(call.ticket, RefusalReason::DeadlinePassed, None));
            return true;
        }
        let Some(choice) = self.choose(now, &call) else {
            return false;
        };
        self.dispatch(now, &call, &choice, waited, effects);
        true
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        call: &ReadyCall,
        choice: &Choice,
        waited: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let run = call.ticket.call.run;
        let urgency = (self.urgency(call) / URGENCY_STEP).floor() as i64;
        let engine = self.engines.get_mut(choice.slot);
        let open = OpenCall {
            run,
            sent: now,
            blocks: call.blocks.len() as u32 + 1,
            missing: choice.missing,
            has_begun: false,
        };
        engine.open.insert(call.ticket, open);
        let engine = engine.id.clone();
        self.index.store(choice.slot, &call.blocks);
        self.counters.dispatched += 1;
        self.settle_run(run, choice.slot, call.blocks.len() as u32);
        effects.push(Effect::Dispatch {
            ticket: call.ticket,
            engine,
            engine_priority: urgency,
            note: format!(
                "waited {} ms, prefill of {}",
                waited.as_millis(),
                choice.missing
            ),
        });
    }

    fn settle_run(&mut self, run: RunId, slot: usize, blocks: u32) {
        let Some(known) = self.runs.get_mut(run) else {
            return;
        };
        if known.home.is_some_and(|home| home != slot) {
            self.counters.moved += 1;
        }
        known.home = Some(slot);
        known.holders.insert(slot);
        known.blocks = blocks;
    }

    fn first_token(&mut self, ticket: Ticket) {
        let home = self.runs.get(ticket.call.run).and_then(|run| run.home);
        if let Some(slot) = home
            && let Some(call) = self.engines.get_mut(slot).open.get_mut(&ticket)
        {
            call.has_begun = true;
        }
    }

    fn finished(&mut self, now: Timestamp, ticket: Ticket, result: FinishedResult) {
        let Some((slot, call)) = self.close(now, ticket) else {
            return;
        };
        let health = &mut self.engines.get_mut(slot).health;
        match result {
            FinishedResult::Completed { output, .. } => {
                health.succeeded();
                self.turn_completed(now, &call, output);
            }
            FinishedResult::Lost | FinishedResult::Errored => {
                if health.failed(now) {
                    self.counters.ejections += 1;
                }
            }
            FinishedResult::Rejected => {}
        }
    }

    fn close(&mut self, now: Timestamp, ticket: Ticket) -> Option<(usize, OpenCall)> {
        let home = self.runs.get(ticket.call.run).and_then(|run| run.home)?;
        let call = self.engines.get_mut(home).close(now, ticket)?;
        Some((home, call))
    }

    fn turn_completed(&mut self, now: Timestamp, call: &OpenCall, output: Tokens) {
        if let Some(known) = self.runs.get_mut(call.run) {
            known.turns += 1;
            let took = now.since(call.sent);
            self.estimates.turn_took(&known.program, took, output);
        }
    }
}

const MICROS: f64 = 1e6;

fn refuse(ticket: Ticket, reason: RefusalReason, retry_after: Option<Duration>) -> Effect {
    Effect::Refuse {
        ticket,
        refusal: Refusal {
            reason,
            retry_after,
        },
    }
}
