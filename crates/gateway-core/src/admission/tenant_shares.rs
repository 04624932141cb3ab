//! Which tenants have had more than their share of what engines served lately.
//!
//! After the idea of the virtual token counter (Sheng et al., "Fairness in Serving Large Language
//! Models", 2024): the tenant that was served least goes first. Counters here decay, so a tenant
//! that was idle gathers no claim on later room, and all tenants at or below an equal share are
//! alike, so room that one leaves is lent to whoever asks.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::peer_loads::REPORT_LIFETIME;
use crate::tenants::TenantKey;

/// Time in which what was served counts half: a hot tenant is behind within a second or two, and
/// forgiven some seconds after.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Most tenants that are remembered: those served least are forgotten beyond that. As many are
/// served in some seconds by one node at the most; the table is some 100 KB.
const MOST_TENANTS: usize = 2_048;

/// Most tenants that are told of: what is served to the others makes no one hot.
const MOST_TOLD: usize = 24;

/// Counters below this many tokens are forgotten: less than any prompt.
const LEAST_TOKENS: f64 = 16.0;

/// Greatest excess that is told apart; each step is twice as much as the one before.
const MOST_EXCESS: u8 = 4;

/// Tokens served by one node, by tenant; all counters decay alike.
#[derive(Clone, Debug, Default)]
struct Counters {
    tokens: HashMap<TenantKey, f64>,
    at: Timestamp,
}

impl Counters {
    fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        // Decay is the same in steps; steps shorter than this are left to add up.
        if passed < HALF_LIFE.as_secs_f64() / 30.0 {
            return;
        }
        let factor = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.at = now;
        self.tokens.retain(|_, tokens| {
            *tokens *= factor;
            *tokens >= LEAST_TOKENS
        });
    }

    fn forget_least(&mut self) {
        let least = self.tokens.iter().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.tokens.remove(&key);
        }
    }
}

/// What was served to tenants, here and elsewhere.
#[derive(Debug, Default)]
pub(super) struct TenantShares {
    own: Counters,
    told: BTreeMap<NodeId, (Timestamp, BTreeMap<TenantKey, u64>)>,
}

impl TenantShares {
    /// Counts tokens served to a tenant.
    pub(super) fn charge(&mut self, now: Timestamp, tenant: Option<TenantKey>, tokens: u64) {
        let Some(tenant) = tenant.filter(|_| tokens > 0) else {
            return;
        };
        self.own.decay(now);
        if self.own.tokens.len() >= MOST_TENANTS && !self.own.tokens.contains_key(&tenant) {
            self.own.forget_least();
        }
        *self.own.tokens.entry(tenant).or_default() += tokens as f64;
    }

    /// By how much a tenant has had more than an equal share: 0 up to twice the share, then one
    /// more for each doubling.
    pub(super) fn excess(&mut self, now: Timestamp, tenant: Option<TenantKey>) -> u8 {
        let Some(tenant) = tenant else {
            return 0;
        };
        self.own.decay(now);
        let mut all = self.own.tokens.clone();
        for (_, told) in self.told.values() {
            for (key, tokens) in told {
                *all.entry(*key).or_default() += *tokens as f64;
            }
        }
        let had = all.get(&tenant).copied().unwrap_or(0.0);
        let share = all.values().sum::<f64>() / all.len().max(1) as f64;
        doublings_beyond(had, share)
    }

    /// The tenants that were served most by this node.
    pub(super) fn most_served(&mut self, now: Timestamp) -> Vec<(TenantKey, u64)> {
        self.own.decay(now);
        let tokens = self.own.tokens.iter();
        let mut served: Vec<(TenantKey, u64)> = tokens
            .map(|(tenant, tokens)| (*tenant, *tokens as u64))
            .collect();
        served.sort_unstable_by_key(|(tenant, tokens)| (std::cmp::Reverse(*tokens), *tenant));
        served.truncate(MOST_TOLD);
        served
    }

    /// Takes what another node has served.
    pub(super) fn take(&mut self, now: Timestamp, node: NodeId, served: Vec<(TenantKey, u64)>) {
        if served.is_empty() {
            self.told.remove(&node);
            return;
        }
        let served = served.into_iter().take(MOST_TOLD).collect();
        self.told.insert(node, (now, served));
    }

    /// Drops what was told too long ago.
    pub(super) fn drop_old(&mut self, now: Timestamp) {
        self.told
            .retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
    }
}

fn doublings_beyond(had: f64, share: f64) -> u8 {
    let mut excess = 0;
    let mut bound = share * 2.0;
    while excess < MOST_EXCESS && had > bound {
        excess += 1;
        bound *= 2.0;
    }
    excess
}
