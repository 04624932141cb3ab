//! The unused part of a tenant's quota as one node estimates it, and that node's share of it.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tenants::TenantKey;

use super::{
    Basis, Division, Fleet, ISOLATED_FRACTION, LEARNING_TIME, MAX_REPORT_TARGETS, QuotaTracker,
    REPORT_INTERVAL, UNREPORTED_FRACTION,
};

/// Number of report intervals after which a report has reached a node, assuming at most two lost
/// reports.
const REPORTS_TO_PROPAGATE: u32 = 3;

/// Unused quota of a tenant and this node's share of it.
pub(super) struct Allowance {
    /// Requests that all nodes together may still forward, not counting this node's unconfirmed
    /// ones.
    pub(super) free: f64,
    /// This node's share of the demand, from 0 to 1.
    pub(super) share: f64,
    /// Information that the estimate is based on.
    pub(super) basis: Basis,
}

/// Fraction of the operator's tolerance that is assumed unused before a process start.
const UNUSED_TOLERANCE_FRACTION: f64 = 0.06;

impl QuotaTracker {
    /// Returns what is left of `limit` requests per window when deciding without a lessor.
    pub(super) fn allowance(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        fleet: Fleet,
        limit: f64,
    ) -> Allowance {
        if self.division == Division::Even {
            return self.even_allowance(now, tenant, fleet, limit, Basis::Even);
        }
        if self.is_isolated(now, fleet) {
            // A process that has read the records is in contact with the log.
            let knows_use = self.has_record_of(tenant) && !fleet.is_cut_off;
            let fraction = if knows_use { 1.0 } else { ISOLATED_FRACTION };
            return self.even_allowance(now, tenant, fleet, limit * fraction, Basis::Isolated);
        }
        self.reported_allowance(now, tenant, fleet, limit)
    }

    /// Returns what is left of `limit` if every node forwards as much as this one.
    fn even_allowance(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        fleet: Fleet,
        limit: f64,
        basis: Basis,
    ) -> Allowance {
        let account = &self.accounts[&tenant];
        let before_start = self
            .recorded_share(tenant, account.limit, fleet)
            .unwrap_or_else(|| self.before_start(now, tenant, account.limit, fleet));
        let unconfirmed = f64::from(self.unconfirmed(now, tenant, fleet));
        let confirmed = f64::from(account.sent.total()) + before_start - unconfirmed;
        let nodes = f64::from(fleet.nodes.max(1));
        Allowance {
            free: limit - confirmed * nodes,
            share: 1.0 / nodes,
            basis,
        }
    }

    /// Returns what is left of `limit` according to the reports of all nodes.
    pub(super) fn reported_allowance(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        fleet: Fleet,
        limit: f64,
    ) -> Allowance {
        let account = &self.accounts[&tenant];
        let unconfirmed = f64::from(self.unconfirmed(now, tenant, fleet));
        let before_start = self.before_start(now, tenant, account.limit, fleet);
        let own = f64::from(account.sent.total()) + before_start;
        let nodes = f64::from(fleet.nodes.max(1));
        let mut reported = 0.0;
        let mut reporting = 0.0;
        let asked_here = f64::from(account.asked.total()) + 1.0;
        let mut asked = asked_here;
        for (node, report) in &self.reports {
            if now.since(report.at) >= self.rules.window {
                continue;
            }
            let Some(used) = self.reported_use(now, node, report, tenant) else {
                continue;
            };
            reporting += 1.0;
            reported += f64::from(used.sent);
            // Includes nodes that stopped reporting: they may be partitioned and still use their
            // share.
            asked += f64::from(used.asked);
        }
        let unreported = (nodes - 1.0 - reporting).max(0.0) * max_unreported(account.limit, fleet);
        let used = (own + reported + unreported).max(self.min_use(tenant, account.limit));
        Allowance {
            free: limit - (used - unconfirmed),
            share: asked_here / asked,
            basis: Basis::Reported,
        }
    }

    /// Returns whether one more request, on top of the unconfirmed ones, is within this node's
    /// `share`.
    pub(super) fn fits(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet, share: f64) -> bool {
        let unconfirmed = self.unconfirmed(now, tenant, fleet);
        f64::from(unconfirmed) + 1.0 <= share + self.rounding(now, tenant, fleet)
    }

    /// Returns the number of requests that this node has forwarded and that other nodes may not
    /// know of yet.
    pub(super) fn unconfirmed(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet) -> u32 {
        let propagation = propagation_time(fleet).min(self.rules.window);
        self.accounts[&tenant]
            .sent
            .since(self.slots.first_within(now, propagation))
    }

    /// Returns whether this node receives reports from too few others to rely on them, because it
    /// is partitioned or has just started.
    pub(super) fn is_isolated(&self, now: Timestamp, fleet: Fleet) -> bool {
        let may_be_isolated = fleet.is_cut_off || now.since(self.started) < LEARNING_TIME;
        if !may_be_isolated || fleet.nodes <= 1 {
            return false;
        }
        let propagation = propagation_time(fleet).min(self.rules.window);
        let received = self.reports.values();
        let received = received
            .filter(|report| now.since(report.at) < propagation)
            .count();
        received * 2 < usize::try_from(fleet.nodes - 1).unwrap_or(usize::MAX)
    }

    /// Returns the requests in the window that an earlier process forwarded on this machine. While they
    /// are unknown, an even part of what was recorded for all nodes is assumed, or else an even share of
    /// the quota that decreases to zero over one window.
    pub(super) fn before_start(
        &self,
        now: Timestamp,
        tenant: TenantKey,
        limit: f64,
        fleet: Fleet,
    ) -> f64 {
        if let Some(known) = self.predecessor.known(tenant) {
            return f64::from(known);
        }
        let window = self.rules.window.as_secs_f64();
        let remaining_fraction = 1.0 - now.since(self.started).as_secs_f64() / window;
        if let Some(share) = self.recorded_share(tenant, limit, fleet) {
            return share;
        }
        let unused_tolerance = self.rules.tolerance(limit) * UNUSED_TOLERANCE_FRACTION;
        (limit - unused_tolerance).max(0.0) * remaining_fraction.max(0.0)
            / f64::from(fleet.nodes.max(1))
    }

    /// Returns [`Self::before_start`] as a whole number.
    pub(super) fn whole_before_start(&self, tenant: TenantKey, before_start: f64) -> u32 {
        match self.has_record_of(tenant) {
            true => self.round_share(tenant, before_start),
            false => before_start.ceil() as u32,
        }
    }

    /// Returns a pseudo-random number from 0 to 1 that rounds a fractional share up or down. Over
    /// all nodes and periods the rounded shares add up to the remaining quota.
    fn rounding(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet) -> f64 {
        let span = propagation_time(fleet).min(self.rules.window);
        let period = now.0 / u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let hash = xxh3_64_with_seed(&tenant.0.to_le_bytes(), self.seed ^ period);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Returns the time within which a report reaches every node. Requests forwarded since then may be
/// unknown to some nodes.
pub(super) fn propagation_time(fleet: Fleet) -> Duration {
    let others = fleet.nodes.saturating_sub(1);
    let rotations = others.div_ceil(MAX_REPORT_TARGETS).max(1);
    // When reports rotate over the nodes, two rotations allow for one lost report.
    REPORT_INTERVAL * REPORTS_TO_PROPAGATE.max(2 * rotations)
}

/// Returns the number of requests in a window from which a node reports a tenant.
pub(super) fn report_threshold(limit: f64, fleet: Fleet) -> f64 {
    limit * UNREPORTED_FRACTION / f64::from(fleet.nodes.max(1))
}

/// Returns the maximum number of requests that a node may have forwarded without reporting them.
fn max_unreported(limit: f64, fleet: Fleet) -> f64 {
    (report_threshold(limit, fleet).ceil() - 1.0).max(0.0)
}
