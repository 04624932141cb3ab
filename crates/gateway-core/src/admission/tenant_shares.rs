//! Recent token usage by tenant, and by how much a tenant exceeds an equal share of it.
//!
//! A variant of the virtual token counter (Sheng et al., "Fairness in Serving Large Language
//! Models", 2024), in which the least served tenant goes first. Counters decay, so that an idle
//! tenant accumulates no credit, and all tenants at or below an equal share rank the same, so that
//! unused capacity is available to any of them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::peer_loads::REPORT_LIFETIME;
use crate::tenants::TenantKey;

/// Half-life of the token counters. A tenant over its share ranks behind within a second or two, and no
/// longer some seconds after.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Maximum number of tenants with a counter; beyond it, the smallest counter is dropped. One node serves no
/// more in some seconds, and the table takes some 100 KB.
const MAX_TENANTS: usize = 2_048;

/// Maximum number of tenants in a report to other nodes, those with the most tokens. What the others got
/// puts none of them over its share.
const MAX_REPORTED_TENANTS: usize = 24;

/// Counters below this many tokens, which is less than any prompt, are dropped.
const MIN_TOKENS: f64 = 16.0;

/// Highest excess level; each level corresponds to twice the usage of the one below.
const MAX_EXCESS: u8 = 4;

/// Decaying counts of the tokens that one node served, by tenant.
#[derive(Clone, Debug, Default)]
struct Counters {
    tokens: HashMap<TenantKey, f64>,
    at: Timestamp,
}

impl Counters {
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.at).as_secs_f64();
        // Exponential decay doesn't depend on the step length, so short steps can be combined.
        if elapsed < HALF_LIFE.as_secs_f64() / 30.0 {
            return;
        }
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.at = now;
        self.tokens.retain(|_, tokens| {
            *tokens *= factor;
            *tokens >= MIN_TOKENS
        });
    }

    fn forget_smallest(&mut self) {
        let smallest = self.tokens.iter().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some(key) = smallest.map(|(key, _)| *key) {
            self.tokens.remove(&key);
        }
    }
}

/// Tokens served to tenants by this node and, as reported, by the others.
#[derive(Debug, Default)]
pub(super) struct TenantShares {
    own: Counters,
    reported: BTreeMap<NodeId, (Timestamp, BTreeMap<TenantKey, u64>)>,
}

impl TenantShares {
    /// Adds tokens to the counter of a tenant.
    pub(super) fn charge(&mut self, now: Timestamp, tenant: Option<TenantKey>, tokens: u64) {
        let Some(tenant) = tenant.filter(|_| tokens > 0) else {
            return;
        };
        self.own.decay(now);
        if self.own.tokens.len() >= MAX_TENANTS && !self.own.tokens.contains_key(&tenant) {
            self.own.forget_smallest();
        }
        *self.own.tokens.entry(tenant).or_default() += tokens as f64;
    }

    /// Returns by how much a tenant exceeds an equal share: 0 up to twice the share, then 1 more
    /// for each doubling, up to [`MAX_EXCESS`].
    pub(super) fn excess(&mut self, now: Timestamp, tenant: Option<TenantKey>) -> u8 {
        let Some(tenant) = tenant else {
            return 0;
        };
        self.own.decay(now);
        let mut all = self.own.tokens.clone();
        for (_, reported) in self.reported.values() {
            for (key, tokens) in reported {
                *all.entry(*key).or_default() += *tokens as f64;
            }
        }
        let had = all.get(&tenant).copied().unwrap_or(0.0);
        let share = all.values().sum::<f64>() / all.len().max(1) as f64;
        doublings_beyond(had, share)
    }

    /// Returns the tenants that this node served the most tokens, for a report to other nodes.
    pub(super) fn most_served(&mut self, now: Timestamp) -> Vec<(TenantKey, u64)> {
        self.own.decay(now);
        let tokens = self.own.tokens.iter();
        let mut served: Vec<(TenantKey, u64)> = tokens
            .map(|(tenant, tokens)| (*tenant, *tokens as u64))
            .collect();
        served.sort_unstable_by_key(|(tenant, tokens)| (std::cmp::Reverse(*tokens), *tenant));
        served.truncate(MAX_REPORTED_TENANTS);
        served
    }

    /// Replaces a node's report; an empty one removes it.
    pub(super) fn apply_report(
        &mut self,
        now: Timestamp,
        node: NodeId,
        served: Vec<(TenantKey, u64)>,
    ) {
        if served.is_empty() {
            self.reported.remove(&node);
            return;
        }
        let served = served.into_iter().take(MAX_REPORTED_TENANTS).collect();
        self.reported.insert(node, (now, served));
    }

    /// Drops expired reports.
    pub(super) fn drop_old(&mut self, now: Timestamp) {
        self.reported
            .retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
    }
}

fn doublings_beyond(had: f64, share: f64) -> u8 {
    let mut excess = 0;
    let mut bound = share * 2.0;
    while excess < MAX_EXCESS && had > bound {
        excess += 1;
        bound *= 2.0;
    }
    excess
}
