//! Engines with their load, as one node estimates it.
//!
//! The load of an engine is the last report, corrected by this node's own attempts since then. Without
//! a fresh report, it is extrapolated from this node's own attempts and its fraction of all requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use elderworks_types::{EngineId, ModelName, RunId, Timestamp, Tokens, ZoneId};

use crate::Ticket;
use crate::cost;
use crate::event::{LoadReport, ReadyCall};
use crate::health::Health;

/// Age above which the load in a report is ignored in favour of this node's own counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// Weight of one load report in the moving average [`EngineTable::own_fraction`].
const OWN_FRACTION_SMOOTHING: f64 = 0.02;
/// Lower bound of [`EngineTable::own_fraction`].
const MIN_OWN_FRACTION: f64 = 0.02;

/// Number of cache blocks assumed for an engine without a report.
const ASSUMED_BLOCKS: u32 = 8_192;

/// An attempt dispatched to an engine and not yet finished.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) run: RunId,
    pub(crate) sent: Timestamp,
    /// Cache blocks that the attempt uses.
    pub(crate) blocks: u32,
    /// Prompt tokens that the engine has to prefill.
    pub(crate) uncached: Tokens,
    /// Whether the first token has arrived.
    pub(crate) has_started: bool,
}

/// An engine, its health and its load.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: ZoneId,
    pub(crate) models: Vec<ModelName>,
    pub(crate) is_leaving: bool,
    pub(crate) health: Health,
    /// Open attempts of this node.
    pub(crate) open: BTreeMap<Ticket, OpenCall>,
    /// Blocks of this node's paused runs whose last call was here.
    pub(crate) paused_blocks: u32,
    report: Option<LoadReport>,
    /// End times of this node's attempts that are counted in the last report, but ended after it was
    /// measured.
    ended_since_report: VecDeque<Timestamp>,
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
            ended_since_report: VecDeque::new(),
        }
    }

    /// Returns whether the call may be sent to this engine now.
    pub(crate) fn accepts(&self, now: Timestamp, call: &ReadyCall) -> bool {
        !self.is_leaving
            && self.open.len() < self.health.max_open_attempts(now)
            && self.models.contains(&call.model)
    }

    /// Replaces the load report.
    pub(crate) fn take_report(&mut self, report: LoadReport) {
        while self
            .ended_since_report
            .front()
            .is_some_and(|at| *at <= report.measured)
        {
            self.ended_since_report.pop_front();
        }
        self.report = Some(report);
    }

    /// Removes an open attempt and returns it.
    pub(crate) fn close(&mut self, now: Timestamp, ticket: Ticket) -> Option<OpenCall> {
        let call = self.open.remove(&ticket)?;
        let reported = self.report.as_ref().map(|report| report.measured);
        if reported.is_some_and(|measured| call.sent <= measured) {
            self.ended_since_report.push_back(now);
        }
        Some(call)
    }

    /// Returns the estimated number of running and waiting requests from all nodes.
    pub(crate) fn requests(&self, now: Timestamp, own_fraction: f64) -> u32 {
        let own = self.open.len() as u32;
        let Some(report) = self.fresh_report(now) else {
            return (f64::from(own) / own_fraction) as u32;
        };
        let reported = report.running + report.waiting;
        let reported = reported.saturating_sub(self.ended_since_report.len() as u32);
        (reported + self.sent_since(report.measured).count() as u32).max(own)
    }

    /// Returns the estimated number of prompt tokens that wait to be prefilled. Without a fresh report,
    /// only those of this node's attempts are known.
    pub(crate) fn prefill_backlog(&self, now: Timestamp) -> Tokens {
        let Some(report) = self.fresh_report(now) else {
            let waiting = self.open.values().filter(|call| !call.has_started);
            return waiting.map(|call| call.uncached).sum();
        };
        let since = self.sent_since(report.measured);
        report.waiting_prefill + since.map(|call| call.uncached).sum()
    }

    /// Returns the fraction of the engine's blocks in use by running requests and, multiplied by
    /// `paused_weight`, by paused runs.
    pub(crate) fn memory_fraction(
        &self,
        now: Timestamp,
        own_fraction: f64,
        paused_weight: f64,
    ) -> f64 {
        let paused = f64::from(self.paused_blocks) / own_fraction * paused_weight;
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
                f64::from(own) / own_fraction
            }
        };
        (running + paused) / f64::from(total.max(1))
    }

    /// Returns the expected time to first token of a new call, without network latency.
    pub(crate) fn expected_wait(
        &self,
        now: Timestamp,
        requests: u32,
        uncached: Tokens,
    ) -> Duration {
        let queue = requests.saturating_sub(cost::ENGINE_BATCH);
        let turnover = cost::full_batch_step() * QUEUE_STEPS_PER_CALL;
        cost::prefill_time(self.prefill_backlog(now) + uncached) + turnover * queue
    }

    /// Returns the last report unless it is older than [`MAX_REPORT_AGE`].
    fn fresh_report(&self, now: Timestamp) -> Option<&LoadReport> {
        let report = self.report.as_ref();
        report.filter(|report| now.since(report.measured) <= MAX_REPORT_AGE)
    }

    /// Returns the open attempts that a report measured at `measured` does not include yet.
    fn sent_since(&self, measured: Timestamp) -> impl Iterator<Item = &OpenCall> {
        self.open.values().filter(move |call| call.sent > measured)
    }
}

/// Mean number of decoding steps until a full batch completes one sequence: mean answer length divided
/// by batch size.
const QUEUE_STEPS_PER_CALL: u32 = 6;

/// All engines, addressed by slot.
///
/// A slot is an index that an engine keeps as long as the process runs, also while it is removed.
#[derive(Debug)]
pub(crate) struct EngineTable {
    slots: Vec<Engine>,
    by_id: BTreeMap<EngineId, usize>,
    /// Fraction of the requests at the engines that this node sent: a moving average over all load reports,
    /// by which its own counts are divided to estimate those of all nodes.
    pub(crate) own_fraction: f64,
}

impl Default for EngineTable {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            by_id: BTreeMap::new(),
            own_fraction: 1.0,
        }
    }
}

impl EngineTable {
    /// Adds an engine, or updates one that has a slot and makes it available again.
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

    /// Marks an engine as unavailable and forgets its attempts. Its slot stays reserved for it.
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

    /// Applies a load report to an engine and to [`Self::own_fraction`].
    pub(crate) fn take_report(&mut self, slot: usize, report: LoadReport) {
        let reported = f64::from(report.running + report.waiting);
        let own = self.slots[slot].open.len() as f64;
        if reported > 0.0 {
            let fraction = (own / reported.max(own)).clamp(MIN_OWN_FRACTION, 1.0);
            self.own_fraction += (fraction - self.own_fraction) * OWN_FRACTION_SMOOTHING;
        }
        self.slots[slot].take_report(report);
    }
}
