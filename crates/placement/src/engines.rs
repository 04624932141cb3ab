//! Engines as one node sees them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use elderworks_types::{EngineId, ModelName, RunId, Timestamp, Tokens, ZoneId};

use crate::Ticket;
use crate::cost;
use crate::event::{LoadReport, ReadyCall};
use crate::health::Health;

/// Reports older than this are no longer trusted; own counts take their place.
const STALE_REPORT: Duration = Duration::from_secs(15);

/// Smoothing of the share of all open requests that are this node's own, for each report.
const SHARE_SMOOTHING: f64 = 0.02;
/// The share is never taken to be smaller.
const SMALLEST_SHARE: f64 = 0.02;

/// Blocks that an engine is taken to have before its first report.
const ASSUMED_BLOCKS: u32 = 8_192;

/// An attempt under way.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) run: RunId,
    pub(crate) sent: Timestamp,
    pub(crate) blocks: u32,
    pub(crate) missing: Tokens,
    pub(crate) has_begun: bool,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: ZoneId,
    pub(crate) models: Vec<ModelName>,
    pub(crate) is_leaving: bool,
    pub(crate) health: Health,
    pub(crate) open: BTreeMap<Ticket, OpenCall>,
    /// Blocks of own runs that are paused with their prefix here.
    pub(crate) paused_blocks: u32,
    report: Option<LoadReport>,
    /// Own attempts ended since the report was measured that it still counts.
    ended_since: VecDeque<Timestamp>,
}

impl Engine {
    pub(crate) fn new(id: EngineId, zone: ZoneId, models: Vec<ModelName>) -> Self {
        Self {
            id,
            zone,
            models,
            is_leaving: false,
            health: Health::default(),
            open: BTreeMap::new(),
            paused_blocks: 0,
            report: None,
            ended_since: VecDeque::new(),
        }
    }

    /// Whether a call may be sent to it now.
    pub(crate) fn accepts(&self, now: Timestamp, call: &ReadyCall) -> bool {
        !self.is_leaving
            && self.open.len() < self.health.open_limit(now)
            && self.models.contains(&call.model)
    }

    pub(crate) fn take_report(&mut self, report: LoadReport) {
        while self
            .ended_since
            .front()
            .is_some_and(|at| *at <= report.measured)
        {
            self.ended_since.pop_front();
        }
        self.report = Some(report);
    }

    pub(crate) fn close(&mut self, now: Timestamp, ticket: Ticket) -> Option<OpenCall> {
        let call = self.open.remove(&ticket)?;
        let reported = self.report.as_ref().map(|report| report.measured);
        if reported.is_some_and(|measured| call.sent <= measured) {
            self.ended_since.push_back(now);
        }
        Some(call)
    }

    /// Requests at the engine, running or waiting, of all nodes.
    pub(crate) fn requests(&self, now: Timestamp, own_share: f64) -> u32 {
        let own = self.open.len() as u32;
        let Some(report) = self.fresh_report(now) else {
            return (f64::from(own) / own_share) as u32;
        };
        let reported = report.running + report.waiting;
        let reported = reported.saturating_sub(self.ended_since.len() as u32);
        (reported + self.sent_since(report.measured).count() as u32).max(own)
    }

    /// Prompt tokens that the engine has yet to prefill.
    pub(crate) fn prefill_backlog(&self, now: Timestamp) -> Tokens {
        let Some(report) = self.fresh_report(now) else {
            let waiting = self.open.values().filter(|call| !call.has_begun);
            return waiting.map(|call| call.missing).sum();
        };
        let since = self.sent_since(report.measured);
        report.waiting_prefill + since.map(|call| call.missing).sum()
    }

    /// Blocks that running requests use or will use soon, as a share of all blocks.
    pub(crate) fn memory_share(&self, now: Timestamp, own_share: f64, paused_weight: f64) -> f64 {
        let paused = f64::from(self.paused_blocks) / own_share * paused_weight;
        let total = self
            .report
            .as_ref()
            .map_or(ASSUMED_BLOCKS, |report| report.blocks_total);
        let running = match self.fresh_report(now) {
            Some(report) => {
                let since = self.sent_since(report.measured);
                f64::from(report.blocks_used)
                    + f64::from(since.map(|call| call.blocks).sum::<u32>())
            }
            None => {
                let own: u32 = self.open.values().map(|call| call.blocks).sum();
                f64::from(own) / own_share
            }
        };
        (running + paused) / f64::from(total.max(1))
    }

    /// Expected time until a call would have its first token, beside the distance.
    pub(crate) fn expected_wait(&self, now: Timestamp, requests: u32, missing: Tokens) -> Duration {
        let queue = requests.saturating_sub(cost::ENGINE_BATCH);
        let turnover = cost::full_step() * QUEUE_STEPS_PER_CALL;
        cost::prefill(self.prefill_backlog(now) + missing) + turnover * queue
    }

    fn fresh_report(&self, now: Timestamp) -> Option<&LoadReport> {
        let report = self.report.as_ref();
        report.filter(|report| now.since(report.measured) <= STALE_REPORT)
    }

    fn sent_since(&self, measured: Timestamp) -> impl Iterator<Item = &OpenCall> {
        self.open.values().filter(move |call| call.sent > measured)
    }
}

/// Decoding steps after which a full batch frees one place: mean answer over batch size.
const QUEUE_STEPS_PER_CALL: u32 = 6;

/// All engines by slot, and which share of their work is this node's.
#[derive(Debug)]
pub(crate) struct EngineTable {
    slots: Vec<Engine>,
    by_id: BTreeMap<EngineId, usize>,
    pub(crate) own_share: f64,
}

impl Default for EngineTable {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            by_id: BTreeMap::new(),
            own_share: 1.0,
        }
    }
}

impl EngineTable {
    pub(crate) fn add(&mut self, id: EngineId, zone: ZoneId, models: Vec<ModelName>) {
        if let Some(slot) = self.by_id.get(&id) {
            let engine = &mut self.slots[*slot];
            engine.zone = zone;
            engine.models = models;
            engine.is_leaving = false;
            return;
        }
        self.by_id.insert(id.clone(), self.slots.len());
        self.slots.push(Engine::new(id, zone, models));
    }

    /// The engine keeps its slot, serving nothing, until it is added again.
    pub(crate) fn remove(&mut self, id: &EngineId) -> Option<usize> {
        let slot = *self.by_id.get(id)?;
        let engine = &mut self.slots[slot];
        engine.is_leaving = true;
        engine.open.clear();
        engine.paused_blocks = 0;
        Some(slot)
    }

    pub(crate) fn slot(&self, id: &EngineId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn get(&self, slot: usize) -> &Engine {
        &self.slots[slot]
    }

    pub(crate) fn get_mut(&mut self, slot: usize) -> &mut Engine {
        &mut self.slots[slot]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &Engine)> {
        self.slots.iter().enumerate()
    }

    pub(crate) fn take_report(&mut self, slot: usize, report: LoadReport) {
        let reported = f64::from(report.running + report.waiting);
        let own = self.slots[slot].open.len() as f64;
        if reported > 0.0 {
            let share = (own / reported.max(own)).clamp(SMALLEST_SHARE, 1.0);
            self.own_share += (share - self.own_share) * SHARE_SMOOTHING;
        }
        self.slots[slot].take_report(report);
    }
}
