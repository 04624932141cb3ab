//! Request rate limits for workers that have recently started and are cold.
//!
//! A cold worker fails if it gets more than a few requests per second. The limit applies to all
//! nodes together and has to hold without communication, since all nodes may see a restarted worker
//! at the same time. Rendezvous hashing selects the nodes that may send to a cold worker, and each
//! of them spaces its requests evenly at an equal part of the rate.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::NodeId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// By how much the rate of a cold worker may be exceeded before it fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRules {
    /// Multiple of the rate above which a worker fails.
    pub overshoot: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl Default for ColdRules {
    /// Allows no excess over the rate.
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

/// Fraction of the margin above the rate that is used, since nodes may temporarily disagree on the
/// set of serving nodes and select different senders.
const SENDERS_FRACTION: f64 = 0.5;

/// Maximum time between two requests of one sender; a worker is warm long before that.
const MAX_PAUSE: Duration = Duration::from_secs(60);

impl ColdRules {
    /// Returns how many nodes may send to one cold worker at `rate` requests per second in total.
    ///
    /// In any second, a sender that spaces its requests evenly sends at most one request more than
    /// its part of the rate.
    pub fn senders(&self, rate: f64) -> usize {
        let margin = self.bound(rate) - rate;
        ((margin * SENDERS_FRACTION) as usize).max(1)
    }

    /// Returns the minimum time between two requests of one of `senders` nodes to the same cold
    /// worker.
    pub fn pause(&self, rate: f64, senders: usize) -> Duration {
        let senders = senders.max(1) as f64;
        let total_rate = rate.min(self.bound(rate) - senders).max(0.0);
        let pause = Duration::try_from_secs_f64(senders / total_rate);
        pause.map_or(MAX_PAUSE, |pause| pause.min(MAX_PAUSE))
    }

    fn bound(&self, rate: f64) -> f64 {
        rate * self.overshoot + self.slack
    }
}

/// Decides which serving nodes send requests to a cold worker.
#[derive(Clone, Debug, Default)]
pub struct ColdSenders {
    rules: ColdRules,
    own: u64,
    others: Vec<u64>,
    /// Requests per second that a cold worker can run, by service.
    rates: BTreeMap<String, f64>,
}

impl ColdSenders {
    /// Creates the state of node `own`, without rate limits and other nodes.
    pub fn new(rules: ColdRules, own: &NodeId) -> Self {
        Self {
            rules,
            own: key_of(own),
            ..Self::default()
        }
    }

    /// Sets the nodes that serve callers.
    pub fn set_nodes<'a>(&mut self, nodes: impl Iterator<Item = &'a NodeId>) {
        let own = self.own;
        self.others = nodes.map(key_of).filter(|key| *key != own).collect();
    }

    /// Sets the rates of cold workers by service, in requests per second.
    pub fn set_rates(&mut self, rates: BTreeMap<String, f64>) {
        self.rates = rates;
    }

    /// Returns the rate of a service's cold workers in requests per second, or `None` if it isn't
    /// limited.
    pub fn rate(&self, service: &str) -> Option<f64> {
        self.rates.get(service).copied()
    }

    /// Returns the minimum time between two requests of this node to a cold worker, or `None` if this
    /// node must not send to it.
    pub fn pause(&self, service: &str, worker: &str) -> Option<Duration> {
        let Some(rate) = self.rate(service) else {
            return Some(Duration::ZERO);
        };
        let senders = self.rules.senders(rate);
        let rank = |node: u64| xxh3_64_with_seed(worker.as_bytes(), node);
        let own = rank(self.own);
        let preceding = self.others.iter().filter(|node| rank(**node) < own);
        if preceding.take(senders).count() >= senders {
            return None;
        }
        Some(self.rules.pause(rate, senders.min(self.others.len() + 1)))
    }
}

fn key_of(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}
