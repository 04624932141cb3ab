//! Central admission: one node per tenant, the lessor, grants the remaining quota request by
//! request.
//!
//! The lessor knows its own grants immediately and learns from reports what other nodes forwarded
//! without a grant. Unlike nodes that decide independently, it needs no reserve for requests that
//! are not yet reported.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tenants::{Quota, TenantKey};

use super::history::Predecessor;
use super::{
    Basis, DEMAND_WINDOW, Fleet, LEARNING_TIME, Order, OverQuota, QuotaTracker,
    STARTED_RESERVE_FRACTION, Ticket,
};

/// Time after which a grant is included in the reports of the node that received it.
const GRANT_REPORT_DELAY: Duration = Duration::from_millis(30);

/// Fraction of a quota up to which nodes admit requests without asking the lessor. The lessor
/// reserves this fraction.
const LOW_USAGE_FRACTION: f64 = 0.5;

/// Fraction of the operator's tolerance that the lessor reserves for requests that are forgotten
/// when machines fail.
const LOSS_TOLERANCE_FRACTION: f64 = 0.1;

/// Returns the node that grants a tenant's requests, by rendezvous hashing.
pub fn lessor_of<'a>(
    tenant: TenantKey,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let weight = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), tenant.0);
    nodes.into_iter().max_by_key(|node| (weight(node), *node))
}

/// Times of the grants to other nodes within the last two windows.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    by_tenant: HashMap<TenantKey, BTreeMap<NodeId, GrantTimes>>,
    /// Grants to processes that have since ended. No node reports these.
    to_ended_processes: HashMap<TenantKey, GrantTimes>,
}

/// Times of one tenant's grants to one node, in ascending order.
#[derive(Clone, Debug, Default)]
struct GrantTimes(VecDeque<Timestamp>);

impl GrantTimes {
    /// Returns the number of grants up to and including `time`.
    fn until(&self, time: Timestamp) -> usize {
        self.0.partition_point(|at| *at <= time)
    }

    /// Drops grants that are at least `age` old. Returns whether any remain.
    fn retain_recent(&mut self, now: Timestamp, age: Duration) -> bool {
        let has_expired = |at: &Timestamp| now.since(*at) >= age;
        while self.0.front().is_some_and(has_expired) {
            self.0.pop_front();
        }
        !self.0.is_empty()
    }

    /// Returns the number of grants later than `after`, up to and including `until`.
    fn between(&self, after: Timestamp, until: Timestamp) -> usize {
        self.until(until).saturating_sub(self.until(after))
    }
}

impl Grants {
    /// Records a grant to a node.
    fn note(&mut self, now: Timestamp, tenant: TenantKey, to: &NodeId) {
        let nodes = self.by_tenant.entry(tenant).or_default();
        if !nodes.contains_key(to) {
            nodes.insert(to.clone(), GrantTimes::default());
        }
        if let Some(grants) = nodes.get_mut(to) {
            grants.0.push_back(now);
        }
    }

    /// Returns the grants of a tenant for each node.
    fn of(&self, tenant: TenantKey) -> impl Iterator<Item = (&NodeId, &GrantTimes)> {
        self.by_tenant.get(&tenant).into_iter().flatten()
    }

    /// Moves a node's grants after `reported_until` to those of ended processes. Its new process does
    /// not report them: it learns only what the earlier one had reported.
    fn note_restart(&mut self, node: &NodeId, reported_until: Timestamp) {
        for (tenant, nodes) in &mut self.by_tenant {
            let Some(mut grants) = nodes.remove(node) else {
                continue;
            };
            let unreported = grants.0.split_off(grants.until(reported_until));
            let ended = self.to_ended_processes.entry(*tenant).or_default();
            ended.0.extend(unreported);
            ended.0.make_contiguous().sort_unstable();
        }
    }

    /// Returns the number of grants to ended processes later than `after`, up to and including
    /// `until`.
    fn to_ended_processes(&self, tenant: TenantKey, after: Timestamp, until: Timestamp) -> usize {
        let ended = self.to_ended_processes.get(&tenant);
        ended.map_or(0, |grants| grants.between(after, until))
    }

    /// Drops grants that no report can include any more.
    pub(super) fn forget(&mut self, now: Timestamp, window: Duration) {
        for nodes in self.by_tenant.values_mut() {
            nodes.retain(|_, grants| grants.retain_recent(now, 2 * window));
        }
        self.by_tenant.retain(|_, nodes| !nodes.is_empty());
        self.to_ended_processes
            .retain(|_, grants| grants.retain_recent(now, window));
    }
}

impl QuotaTracker {
    /// Admits and counts a request if the tenant's usage is low enough to skip the lessor. Returns
    /// `None` if the lessor must decide.
    pub fn admit_low_usage(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
    ) -> Option<Ticket> {
        let fleet = self.fleet_sizes.note(now, fleet, self.rules.window);
        let limit = self.account(now, tenant, quota).limit * LOW_USAGE_FRACTION;
        if self.is_isolated(now, fleet) {
            return None;
        }
        let allowance = self.reported_allowance(now, tenant, fleet, limit);
        let share = 1.0 / f64::from(fleet.nodes.max(1));
        let fits = self.fits(now, tenant, fleet, allowance.free * share);
        fits.then(|| self.count(now, tenant))
    }

    /// Decides as the tenant's lessor on a request of node `to`, or of this node if `to` is `None`.
    /// Returns `None` if this node cannot know the current usage of the other nodes.
    pub fn grant(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
        to: Option<&NodeId>,
        order: Order,
    ) -> Option<Result<(), OverQuota>> {
        let fleet = self.fleet_sizes.note(now, fleet, self.rules.window);
        // A lessor needs exact counts.
        let learning_time = match self.predecessor {
            Predecessor::Unknown if !self.has_record_of(tenant) => self.rules.window,
            _ => LEARNING_TIME,
        };
        let is_new = now.since(self.started) < learning_time && fleet.nodes > 1;
        let may_be_minority = !self.fleet_sizes.is_majority(fleet);
        if is_new || may_be_minority || self.is_isolated(now, fleet) {
            return None;
        }
        let account_limit = self.account(now, tenant, quota).limit;
        let limit = account_limit - self.rules.tolerance(account_limit) * LOSS_TOLERANCE_FRACTION;
        let used = self.used_or_reserved(now, tenant, fleet, limit);
        let is_full = used + 1.0 > limit;
        let is_held_back =
            !is_full && used + 1.0 > limit * self.usable_fraction(now, tenant, order);
        if is_full || is_held_back {
            return Some(Err(self.refuse(now, tenant, is_held_back)));
        }
        if let Some(node) = to {
            self.grants.note(now, tenant, node);
        }
        Some(Ok(()))
    }

    /// Records that another node's process restarted and lost its record of received grants.
    pub fn note_restart(&mut self, now: Timestamp, node: &NodeId) {
        self.restarted.insert(node.clone(), now);
        let report = self.reports.get(node);
        let reported_until = report.map_or(Timestamp(0), |report| report.at - GRANT_REPORT_DELAY);
        self.grants.note_restart(node, reported_until);
    }

    /// Counts a request that the lessor granted.
    pub fn record_granted(&mut self, now: Timestamp, tenant: TenantKey, quota: Quota) -> Ticket {
        self.account(now, tenant, quota);
        self.count(now, tenant)
    }

    /// Returns the fraction of the quota that requests of this priority may use. Under overload,
    /// requests of new programs must leave a reserve for programs that have started.
    fn usable_fraction(&self, now: Timestamp, tenant: TenantKey, order: Order) -> f64 {
        let Some(account) = self.accounts.get(&tenant) else {
            return 1.0;
        };
        if order == Order::Continuation || !self.prioritizes_started {
            return 1.0;
        }
        let received = self.reports.values();
        let recent = received.filter(|report| now.since(report.at) < DEMAND_WINDOW);
        let reported = recent.filter_map(|report| report.uses.get(&tenant));
        let asked = account.asked.total() + reported.map(|used| used.asked).sum::<u32>();
        let demand_windows = self.rules.window.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        let was_full = account.refused.total() > 0;
        if was_full && f64::from(asked) * demand_windows > account.limit {
            1.0 - STARTED_RESERVE_FRACTION
        } else {
            1.0
        }
    }

    /// Returns the requests that count against the quota: those already forwarded, but at least the
    /// fraction that nodes may use without asking.
    fn used_or_reserved(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet, limit: f64) -> f64 {
        let allowance = self.reported_allowance(now, tenant, fleet, limit);
        let unconfirmed = self.unconfirmed(now, tenant, fleet);
        let reported = limit - allowance.free + f64::from(unconfirmed);
        let reserved = if fleet.nodes > 1 {
            limit * LOW_USAGE_FRACTION
        } else {
            0.0
        };
        reported.max(reserved) + self.grant_correction(now, tenant)
    }

    /// Returns the correction that grants make to the reported usage: grants that are not reported
    /// yet, minus reported grants that have left the window since the report.
    fn grant_correction(&self, now: Timestamp, tenant: TenantKey) -> f64 {
        let window = self.rules.window;
        let window_start = now - window;
        let mut unreported = self.grants.to_ended_processes(tenant, window_start, now);
        let mut reported_expired = 0;
        for (node, grants) in self.grants.of(tenant) {
            let report = self.reports.get(node);
            let Some(report) = report.filter(|report| now.since(report.at) < window) else {
                unreported += grants.between(window_start, now);
                continue;
            };
            let reported_until = report.at - GRANT_REPORT_DELAY;
            unreported += grants.between(window_start.max(reported_until), now);
            reported_expired +=
                grants.between(report.at - window, window_start.min(reported_until));
        }
        unreported as f64 - reported_expired as f64
    }

    /// Builds a refusal. Its retry delay spreads refused requests evenly over the quota's rate.
    fn refuse(&mut self, now: Timestamp, tenant: TenantKey, is_held_back: bool) -> OverQuota {
        let slot = self.slots.at(now);
        let refused = match self.accounts.get_mut(&tenant) {
            Some(account) if is_held_back => account.refused.total(),
            Some(account) => {
                account.refused.add(slot);
                account.refused.total()
            }
            None => 1,
        };
        let limit = self.accounts.get(&tenant).map_or(1.0, |known| known.limit);
        let retry_after = self.retry_delay(limit / f64::from(refused.max(1)));
        OverQuota {
            retry_after,
            basis: Basis::Lessor,
            is_held_back,
        }
    }
}
