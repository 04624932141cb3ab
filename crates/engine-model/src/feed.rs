//! Published cache events and load reports, which are delayed and can have gaps.

use std::collections::VecDeque;

use elderworks_types::text::BlockHash;
use elderworks_types::{Timestamp, Tokens};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::FeedParameters;
use crate::cache::PendingChanges;

/// Maximum number of load samples kept; the oldest are dropped.
const MAX_LOAD_SAMPLES: usize = 4_096;

/// A change in the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were added to the cache.
    Stored(Vec<BlockHash>),
    /// Blocks were removed from the cache.
    Evicted(Vec<BlockHash>),
    /// The cache was cleared.
    Cleared,
}

/// A published change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number among the engine's events, starting at 1. A missing number is a lost event.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// Load of an engine at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time of the measurement by the engine's clock.
    pub measured: Timestamp,
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Tokens of waiting and running requests that are not prefilled yet.
    pub waiting_prefill: Tokens,
    /// Number of blocks that running sequences use, without unused cached blocks.
    pub blocks_used: u32,
    /// Total number of blocks.
    pub blocks_total: u32,
}

/// Delays events and reports by the configured lag, and loses some events.
#[derive(Debug)]
pub(crate) struct Feed {
    parameters: FeedParameters,
    random: ChaCha8Rng,
    next_sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
    samples: VecDeque<LoadReport>,
}

impl Feed {
    pub(crate) fn new(parameters: FeedParameters, random: ChaCha8Rng) -> Self {
        Self {
            parameters,
            random,
            next_sequence: 1,
            events: VecDeque::new(),
            samples: VecDeque::new(),
        }
    }

    /// Publishes cache changes as events.
    pub(crate) fn publish(&mut self, now: Timestamp, changes: PendingChanges) {
        if !changes.stored.is_empty() {
            self.publish_one(now, CacheChange::Stored(changes.stored));
        }
        if !changes.evicted.is_empty() {
            self.publish_one(now, CacheChange::Evicted(changes.evicted));
        }
    }

    fn publish_one(&mut self, now: Timestamp, change: CacheChange) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let loss = self.parameters.cache_loss_ratio.clamp(0.0, 1.0);
        if self.random.random_bool(loss) {
            return;
        }
        if self.events.len() >= self.parameters.retained_events {
            self.events.pop_front();
        }
        self.events
            .push_back((now, CacheEvent { sequence, change }));
    }

    /// Returns up to `limit` visible events with sequence numbers above `after`, oldest first.
    pub(crate) fn events(&self, now: Timestamp, after: u64, limit: usize) -> Vec<CacheEvent> {
        let start = self
            .events
            .partition_point(|(_, event)| event.sequence <= after);
        self.events
            .range(start..)
            .take_while(|(published, _)| *published + self.parameters.cache_lag <= now)
            .take(limit)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Records the load at one time, replacing an earlier record of the same time.
    pub(crate) fn record_load(&mut self, report: LoadReport) {
        if let Some(last) = self.samples.back_mut()
            && last.measured == report.measured
        {
            *last = report;
            return;
        }
        if self.samples.len() >= MAX_LOAD_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(report);
    }

    /// Returns the newest report that is visible at `now`, and drops older ones.
    pub(crate) fn report(&mut self, now: Timestamp) -> Option<LoadReport> {
        let lag = self.parameters.load_lag;
        while self.samples.len() > 1 && self.samples[1].measured + lag <= now {
            self.samples.pop_front();
        }
        let first = self.samples.front()?;
        (first.measured + lag <= now).then(|| first.clone())
    }
}
