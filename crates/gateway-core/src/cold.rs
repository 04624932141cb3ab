//! How often a node may send to a worker that has just started and is cold.
//!
//! A cold worker bears few requests a second and falls over above that. The bound is for all nodes
//! together and must hold without messages between them: the first request to a worker that comes back
//! reaches every node at the same moment. So only some nodes send to a cold worker, the same ones in
//! everybody's eyes, and each of them keeps to its even part of the rate and never sends two at once.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::NodeId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How far the rate that a cold worker bears may be passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRules {
    /// Part of the rate beyond which a worker falls over.
    pub overshoot: f64,
    /// Requests a second beyond that.
    pub slack: f64,
}

impl Default for ColdRules {
    /// Nothing beyond the rate.
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

/// Part of the room above the rate that is used: nodes that do not agree on who takes callers may
/// count different senders.
const SENDERS_SHARE: f64 = 0.5;

/// Longest pause between two requests, where a cold worker bears next to none: it is warm long before.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

impl ColdRules {
    /// How many nodes may send to one worker that bears `rate` requests a second while it is cold.
    ///
    /// In any second, a sender that spaces its requests evenly sends at most one more than its part of
    /// the rate.
    pub fn senders(&self, rate: f64) -> usize {
        let spare = self.bound(rate) - rate;
        ((spare * SENDERS_SHARE) as usize).max(1)
    }

    /// Shortest time between two requests of one of `senders` nodes to the same cold worker.
    pub fn pause(&self, rate: f64, senders: usize) -> Duration {
        let senders = senders.max(1) as f64;
        let together = rate.min(self.bound(rate) - senders).max(0.0);
        let pause = Duration::try_from_secs_f64(senders / together);
        pause.map_or(LONGEST_PAUSE, |pause| pause.min(LONGEST_PAUSE))
    }

    fn bound(&self, rate: f64) -> f64 {
        rate * self.overshoot + self.slack
    }
}

/// The nodes that take callers, as the choice of senders sees them.
#[derive(Clone, Debug, Default)]
pub struct ColdSenders {
    rules: ColdRules,
    own: u64,
    others: Vec<u64>,
    /// What cold workers bear, by service.
    rates: BTreeMap<String, f64>,
}

impl ColdSenders {
    /// No service bears less while cold.
    pub fn new(rules: ColdRules, own: &NodeId) -> Self {
        Self {
            rules,
            own: key_of(own),
            ..Self::default()
        }
    }

    /// Takes the nodes that take callers.
    pub fn set_nodes<'a>(&mut self, nodes: impl Iterator<Item = &'a NodeId>) {
        let own = self.own;
        self.others = nodes.map(key_of).filter(|key| *key != own).collect();
    }

    /// Takes what cold workers of each service bear.
    pub fn set_rates(&mut self, rates: BTreeMap<String, f64>) {
        self.rates = rates;
    }

    /// What a cold worker of a service bears, if less than a warm one.
    pub fn rate(&self, service: &str) -> Option<f64> {
        self.rates.get(service).copied()
    }

    /// Shortest time between two requests of this node to a cold worker; `None` if this node may send
    /// it none.
    pub fn pause(&self, service: &str, worker: &str) -> Option<Duration> {
        let Some(rate) = self.rate(service) else {
            return Some(Duration::ZERO);
        };
        let senders = self.rules.senders(rate);
        let place = |node: u64| xxh3_64_with_seed(worker.as_bytes(), node);
        let own = place(self.own);
        let before = self.others.iter().filter(|node| place(**node) < own);
        if before.take(senders).count() >= senders {
            return None;
        }
        Some(self.rules.pause(rate, senders.min(self.others.len() + 1)))
    }
}

fn key_of(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}
