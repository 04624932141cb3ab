//! What is left of a tenant's quota, as one node counts it, and that node's part.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tenants::TenantKey;

use super::{
    ALONE_SHARE, Basis, Division, Fleet, HEARING_TIME, QuotaTracker, REPORT_INTERVAL, TOLD_AT_ONCE,
    UNTOLD_SHARE,
};

/// Reports after which one has reached a node, two lost ones included.
const REPORTS_TO_HEAR: u32 = 3;

/// What is left of a tenant's quota, and this node's part.
pub(super) struct Standing {
    /// Requests that all nodes may still send on, apart from this node's last ones.
    pub(super) free: f64,
    /// This node's part of the demand, from 0 to 1.
    pub(super) part: f64,
    /// What it rests on.
    pub(super) basis: Basis,
}

/// Share of the operator's tolerance that was surely not used before a start.
const SURELY_UNUSED: f64 = 0.06;

impl QuotaTracker {
    /// As every node that decides without a lessor counts, with `limit` requests in a window.
    pub(super) fn standing(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        fleet: Fleet,
        limit: f64,
    ) -> Standing {
        if self.division == Division::Even {
            return self.even_standing(now, tenant, fleet, limit, Basis::Even);
        }
        if self.is_alone(now, fleet) {
            return self.even_standing(now, tenant, fleet, limit * ALONE_SHARE, Basis::Alone);
        }
        self.standing_within(now, tenant, fleet, limit)
    }

    fn even_standing(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        fleet: Fleet,
        limit: f64,
        basis: Basis,
    ) -> Standing {
        let account = &self.accounts[&tenant];
        let recent = f64::from(self.recent(now, tenant, fleet));
        let unknown = self.unknown_before_start(now, account.limit, fleet);
        let own = f64::from(account.sent.total()) + unknown;
        let nodes = f64::from(fleet.nodes.max(1));
        Standing {
            free: limit - (own - recent) * nodes,
            part: 1.0 / nodes,
            basis,
        }
    }

    /// What `limit` leaves by what the nodes have told each other.
    pub(super) fn standing_within(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        fleet: Fleet,
        limit: f64,
    ) -> Standing {
        let account = &self.accounts[&tenant];
        let recent = f64::from(self.recent(now, tenant, fleet));
        let unknown = self.unknown_before_start(now, account.limit, fleet);
        let own = f64::from(account.sent.total()) + unknown;
        let nodes = f64::from(fleet.nodes.max(1));
        let mut told = 0.0;
        let mut reporting_nodes = 0.0;
        let asked_here = f64::from(account.asked.total()) + 1.0;
        let mut asked = asked_here;
        for report in self.reports.values() {
            if now.since(report.at) >= self.rules.window {
                continue;
            }
            let Some(used) = report.uses.get(&tenant) else {
                continue;
            };
            reporting_nodes += 1.0;
            told += f64::from(used.sent);
            // Also of one that has fallen silent: it may be cut off and go on with its part.
            asked += f64::from(used.asked);
        }
        let untold = (nodes - 1.0 - reporting_nodes).max(0.0) * most_untold(account.limit, fleet);
        Standing {
            free: limit - (own - recent) - told - untold,
            part: asked_here / asked,
            basis: Basis::Told,
        }
    }

    /// Whether one more than this node's last ones is within its `share`.
    pub(super) fn fits(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet, share: f64) -> bool {
        let recent = self.recent(now, tenant, fleet);
        f64::from(recent) + 1.0 <= share + self.rounding(now, tenant, fleet)
    }

    /// What this node has sent on since what the others have heard of it for certain.
    pub(super) fn recent(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet) -> u32 {
        let fresh = fresh(fleet).min(self.rules.window);
        self.accounts[&tenant]
            .sent
            .since(self.slots.first_within(now, fresh))
    }

    /// Whether this node hears too few others to go by what they tell: it is cut off, or has only
    /// just started.
    pub(super) fn is_alone(&self, now: Timestamp, fleet: Fleet) -> bool {
        let may_be = fleet.is_cut_off || now.since(self.started) < HEARING_TIME;
        if !may_be || fleet.nodes <= 1 {
            return false;
        }
        let fresh = fresh(fleet).min(self.rules.window);
        let heard = self.reports.values();
        let heard = heard.filter(|report| now.since(report.at) < fresh).count();
        heard * 2 < usize::try_from(fleet.nodes - 1).unwrap_or(usize::MAX)
    }

    /// What may have been sent on here before this process started, as if every node had used its
    /// part of the quota. Becomes nothing over one window.
    pub(super) fn unknown_before_start(&self, now: Timestamp, limit: f64, fleet: Fleet) -> f64 {
        if !self.has_past {
            return 0.0;
        }
        let window = self.rules.window.as_secs_f64();
        let left = 1.0 - now.since(self.started).as_secs_f64() / window;
        let unused = self.rules.tolerance(limit) * SURELY_UNUSED;
        (limit - unused).max(0.0) * left.max(0.0) / f64::from(fleet.nodes.max(1))
    }

    /// From 0 to 1: parts of a request add up over nodes and times to what is left.
    fn rounding(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet) -> f64 {
        let span = fresh(fleet).min(self.rules.window);
        let period = now.0 / u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let hash = xxh3_64_with_seed(&tenant.0.to_le_bytes(), self.seed ^ period);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A report has reached every node within this time. What a node has sent on since is not known to
/// all.
pub(super) fn fresh(fleet: Fleet) -> Duration {
    let others = fleet.nodes.saturating_sub(1);
    let turns = others.div_ceil(TOLD_AT_ONCE).max(1);
    // With several turns, one lost report is made up for by the next turn.
    REPORT_INTERVAL * REPORTS_TO_HEAR.max(2 * turns)
}

/// Requests from which a node tells.
pub(super) fn untold(limit: f64, fleet: Fleet) -> f64 {
    limit * UNTOLD_SHARE / f64::from(fleet.nodes.max(1))
}

/// Most requests that a node may have sent on without telling.
fn most_untold(limit: f64, fleet: Fleet) -> f64 {
    (untold(limit, fleet).ceil() - 1.0).max(0.0)
}
