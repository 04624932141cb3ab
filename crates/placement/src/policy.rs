//! The state machine that places calls on engines.

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

/// Maximum number of queued calls; further ones are refused.
const MAX_WAITING: usize = 8_192;
/// Number of calls at the head of the queue that are tried. Dispatching stops when none of them can be
/// placed.
const MAX_CALLS_TRIED: usize = 4;
/// Retry delay given to callers refused because the queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Retry delay given to callers refused because no engine serves their model.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Granularity of the priority given to engines, which keeps them from preempting for small differences.
/// Also the weight of one step of [`ReadyCall::priority`].
const URGENCY_STEP_SECONDS: f64 = 4.0;
/// Seconds of urgency that a call loses for each queued call of the same tenant.
const TENANT_PENALTY_SECONDS: f64 = 0.1;

/// Settings of placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Zone of this node.
    pub zone: ZoneId,
    /// Seed of the random number generator that breaks ties.
    pub seed: u64,
}

impl PlacementSettings {
    /// Creates settings for a node in `zone`.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self { zone, seed }
    }
}

/// Places the model calls of one node.
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
    /// Creates a placement without engines.
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

    /// Handles one event and returns the resulting effects in order.
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
                self.dispatch_waiting(now, &mut effects);
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
            Event::Tick => self.dispatch_waiting(now, &mut effects),
        }
        effects
    }

    /// Returns the current counters.
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
        self.record_call(now, &call, effects);
        if self.has_missed_deadline(now, &call) {
            self.counters.refused_deadline += 1;
            effects.push(refuse(call.ticket, RefusalReason::DeadlinePassed, None));
            return;
        }
        match self.choose(now, &call) {
            Some(choice) => self.dispatch(now, &call, &choice, Duration::ZERO, effects),
            None => self.enqueue(now, call, effects),
        }
    }

    /// Updates the run table for a new call, which ends a pause of its run.
    fn record_call(&mut self, now: Timestamp, call: &ReadyCall, effects: &mut Vec<Effect>) {
        let run = call.ticket.call.run;
        if let Some((forgotten, known)) = self.runs.touch(now, run, &call.program) {
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
            .record_pause(&known.program, now.since(paused_at));
        if let Some(home) = known.home {
            let engine = self.engines.get_mut(home);
            engine.paused_blocks = engine.paused_blocks.saturating_sub(known.blocks);
        }
    }

    /// Returns whether the deadline of the call has passed.
    fn has_missed_deadline(&self, now: Timestamp, call: &ReadyCall) -> bool {
        call.call_deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Queues a call for which no engine has capacity, or refuses it.
    fn enqueue(&mut self, now: Timestamp, call: Box<ReadyCall>, effects: &mut Vec<Effect>) {
        if !self.is_served(&call) {
            self.counters.refused_no_backend += 1;
            let retry = Some(NO_BACKEND_RETRY_AFTER);
            effects.push(refuse(call.ticket, RefusalReason::NoBackend, retry));
            return;
        }
        if self.queue.len() >= MAX_WAITING {
            self.counters.refused_overloaded += 1;
            let retry = Some(OVERLOAD_RETRY_AFTER);
            effects.push(refuse(call.ticket, RefusalReason::Overloaded, retry));
            return;
        }
        self.counters.held += 1;
        let penalty = self.tenant_penalty(&call.tenant);
        let urgency = (self.urgency(&call) + penalty) * MICROS_PER_SECOND;
        self.queue.push(now, urgency as i64, call);
    }

    fn tenant_penalty(&self, tenant: &TenantId) -> f64 {
        self.queue.waiting_for_tenant(tenant) as f64 * TENANT_PENALTY_SECONDS
    }

    /// Returns whether some engine, even a full one, serves the model of the call.
    fn is_served(&self, call: &ReadyCall) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|(_, engine)| !engine.is_leaving && engine.models.contains(&call.model))
    }

    /// Dispatches the queued calls for which an engine has capacity.
    fn dispatch_waiting(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        loop {
            let keys = self.queue.first_keys(MAX_CALLS_TRIED);
            let Some(released) = keys
                .into_iter()
                .find(|key| self.try_waiting(now, *key, effects))
            else {
                return;
            };
            self.queue.remove(released);
        }
    }

    /// Dispatches or refuses a queued call. Returns `false` if it has to stay queued.
    fn try_waiting(&mut self, now: Timestamp, key: QueueKey, effects: &mut Vec<Effect>) -> bool {
        let Some(waiting) = self.queue.get(key) else {
            return false;
        };
        let call = waiting.call.clone();
        let waited = now.since(waiting.since);
        if self.has_missed_deadline(now, &call) {
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
        let urgency = (self.urgency(call) / URGENCY_STEP_SECONDS).floor() as i64;
        let engine = self.engines.get_mut(choice.slot);
        let open = OpenCall {
            run,
            sent: now,
            blocks: call.blocks.len() as u32 + 1,
            uncached: choice.uncached,
            has_started: false,
        };
        engine.open.insert(call.ticket, open);
        let engine = engine.id.clone();
        self.index.store(choice.slot, &call.blocks);
        self.counters.dispatched += 1;
        self.set_home(run, choice.slot, call.blocks.len() as u32);
        effects.push(Effect::Dispatch {
            ticket: call.ticket,
            engine,
            engine_priority: urgency,
            note: format!(
                "waited {} ms, prefill of {}",
                waited.as_millis(),
                choice.uncached
            ),
        });
    }

    /// Records the engine to which the last call of a run was dispatched.
    fn set_home(&mut self, run: RunId, slot: usize, blocks: u32) {
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
            call.has_started = true;
        }
    }

    fn finished(&mut self, now: Timestamp, ticket: Ticket, result: FinishedResult) {
        let Some((slot, call)) = self.close(now, ticket) else {
            return;
        };
        let health = &mut self.engines.get_mut(slot).health;
        match result {
            FinishedResult::Completed { output, .. } => {
                health.record_success();
                self.record_completed_turn(now, &call, output);
            }
            FinishedResult::Lost | FinishedResult::Errored => {
                if health.record_failure(now) {
                    self.counters.ejections += 1;
                }
            }
            FinishedResult::Rejected => {}
        }
    }

    /// Removes an open attempt and returns it with the slot of its engine.
    fn close(&mut self, now: Timestamp, ticket: Ticket) -> Option<(usize, OpenCall)> {
        let home = self.runs.get(ticket.call.run).and_then(|run| run.home)?;
        let call = self.engines.get_mut(home).close(now, ticket)?;
        Some((home, call))
    }

    fn record_completed_turn(&mut self, now: Timestamp, call: &OpenCall, output: Tokens) {
        if let Some(known) = self.runs.get_mut(call.run) {
            known.turns += 1;
            let took = now.since(call.sent);
            self.estimates.record_turn(&known.program, took, output);
        }
    }
}

const MICROS_PER_SECOND: f64 = 1e6;

fn refuse(ticket: Ticket, reason: RefusalReason, retry_after: Option<Duration>) -> Effect {
    Effect::Refuse {
        ticket,
        refusal: Refusal {
            reason,
            retry_after,
        },
    }
}
