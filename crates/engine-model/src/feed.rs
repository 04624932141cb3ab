//! What an engine publishes about itself: late, and with gaps.

use std::collections::VecDeque;

use elderworks_types::text::BlockHash;
use elderworks_types::{Timestamp, Tokens};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::FeedParameters;
use crate::cache::PendingChanges;

/// Oldest load samples beyond this number are forgotten.
const MAX_LOAD_SAMPLES: usize = 4_096;

/// A change in the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks are now held.
    Stored(Vec<BlockHash>),
    /// Blocks are no longer held.
    Evicted(Vec<BlockHash>),
    /// Everything was dropped.
    Cleared,
}

/// A published change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number among the engine's events, from 1; a missing number is a lost event.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// State of an engine at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When it was measured, by the engine's clock.
    pub measured: Timestamp,
    /// Sequences in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens not yet prefilled, of waiting and running requests.
    pub waiting_prefill: Tokens,
    /// Blocks that running sequences use; idle cached ones do not count.
    pub blocks_used: u32,
    /// Blocks in all.
    pub blocks_total: u32,
}

/// Holds events and reports back until their lag has passed.
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

    /// Published events with a larger number than `after`, oldest first.
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

    pub(crate) fn sample(&mut self, report: LoadReport) {
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

    /// The newest report that is old enough to be seen; older ones are forgotten.
    pub(crate) fn report(&mut self, now: Timestamp) -> Option<LoadReport> {
        let lag = self.parameters.load_lag;
        while self.samples.len() > 1 && self.samples[1].measured + lag <= now {
            self.samples.pop_front();
        }
        let first = self.samples.front()?;
        (first.measured + lag <= now).then(|| first.clone())
    }
}
