//! One node a tenant that grants what the quota still holds, request by request.
//!
//! The lessor knows what it has granted at once, and what others sent without a grant from their
//! reports. So it need not leave room for what is not told yet, as nodes must that decide apart.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tenants::{Quota, TenantKey};

use super::{
    Basis, DEMAND_SPAN, Fleet, HEARING_TIME, HELD_BACK_SHARE, Order, OverQuota, QuotaTracker,
    Ticket,
};

/// Time from a grant until it counts in the reports of the node that has it.
const GRANT_DELAY: Duration = Duration::from_millis(30);

/// Share of a quota that one request at a time may take of what is granted without a question: the
/// lessor always leaves it.
const CALM_SHARE: f64 = 0.5;

/// Share of the operator's tolerance that a lessor leaves to what is forgotten when machines are lost.
const LEFT_TO_LOSSES: f64 = 0.1;

/// The node that grants a tenant's requests: the first one in the tenant's rendezvous order.
pub fn lessor_of<'a>(
    tenant: TenantKey,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let weight = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), tenant.0);
    nodes.into_iter().max_by_key(|node| (weight(node), *node))
}

/// When requests were granted to other nodes, within the last two windows.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    by_tenant: HashMap<TenantKey, BTreeMap<NodeId, GrantTimes>>,
    /// Grants to processes that have ended, which nobody reports.
    to_ended: HashMap<TenantKey, GrantTimes>,
}

/// When requests of one tenant were granted to one node, in order.
#[derive(Clone, Debug, Default)]
struct GrantTimes(VecDeque<Timestamp>);

impl GrantTimes {
    /// How many were granted at a time or before.
    fn until(&self, time: Timestamp) -> usize {
        self.0.partition_point(|at| *at <= time)
    }

    /// Drops those that are older; tells whether any is left.
    fn keep_since(&mut self, now: Timestamp, age: Duration) -> bool {
        let is_over = |at: &Timestamp| now.since(*at) >= age;
        while self.0.front().is_some_and(is_over) {
            self.0.pop_front();
        }
        !self.0.is_empty()
    }

    /// How many were granted after one time, and at another or before.
    fn between(&self, after: Timestamp, until: Timestamp) -> usize {
        self.until(until).saturating_sub(self.until(after))
    }
}

impl Grants {
    fn note(&mut self, now: Timestamp, tenant: TenantKey, to: &NodeId) {
        let nodes = self.by_tenant.entry(tenant).or_default();
        if !nodes.contains_key(to) {
            nodes.insert(to.clone(), GrantTimes::default());
        }
        if let Some(grants) = nodes.get_mut(to) {
            grants.0.push_back(now);
        }
    }

    fn of(&self, tenant: TenantKey) -> impl Iterator<Item = (&NodeId, &GrantTimes)> {
        self.by_tenant.get(&tenant).into_iter().flatten()
    }

    /// What a node was granted before it started anew is in no report of its own.
    fn note_restart(&mut self, node: &NodeId) {
        for (tenant, nodes) in &mut self.by_tenant {
            let Some(grants) = nodes.remove(node) else {
                continue;
            };
            let ended = self.to_ended.entry(*tenant).or_default();
            ended.0.extend(grants.0);
            ended.0.make_contiguous().sort_unstable();
        }
    }

    /// Grants after one time and at another or before to processes that have ended.
    fn to_ended(&self, tenant: TenantKey, after: Timestamp, until: Timestamp) -> usize {
        let ended = self.to_ended.get(&tenant);
        ended.map_or(0, |grants| grants.between(after, until))
    }

    /// Forgets grants that are in nobody's report any more.
    pub(super) fn forget(&mut self, now: Timestamp, window: Duration) {
        for nodes in self.by_tenant.values_mut() {
            nodes.retain(|_, grants| grants.keep_since(now, 2 * window));
        }
        self.by_tenant.retain(|_, nodes| !nodes.is_empty());
        self.to_ended
            .retain(|_, grants| grants.keep_since(now, window));
    }
}

impl QuotaTracker {
    /// Counts a request if the tenant has used so little that nobody need be asked.
    pub fn admit_low_usage(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
    ) -> Option<Ticket> {
        let fleet = self.widths.note(now, fleet, self.rules.window);
        let limit = self.account(now, tenant, quota).limit * CALM_SHARE;
        if self.is_alone(now, fleet) {
            return None;
        }
        let standing = self.standing_within(now, tenant, fleet, limit);
        let part = 1.0 / f64::from(fleet.nodes.max(1));
        let fits = self.fits(now, tenant, fleet, standing.free * part);
        fits.then(|| self.count(now, tenant))
    }

    /// Decides as the tenant's lessor on a request of another node, or of this one if `to` is
    /// `None`. No decision if this node cannot know what the others do.
    pub fn grant(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
        to: Option<&NodeId>,
        order: Order,
    ) -> Option<Result<(), OverQuota>> {
        let fleet = self.widths.note(now, fleet, self.rules.window);
        // What was sent on before a start is only guessed; a lessor must know.
        let learning = match self.has_past {
            true => self.rules.window,
            false => HEARING_TIME,
        };
        let is_new = now.since(self.started) < learning && fleet.nodes > 1;
        let may_be_few = !self.widths.has_most(fleet);
        if is_new || may_be_few || self.is_alone(now, fleet) {
            return None;
        }
        let account_limit = self.account(now, tenant, quota).limit;
        let limit = account_limit - self.rules.tolerance(account_limit) * LEFT_TO_LOSSES;
        let used = self.used_or_reserved(now, tenant, fleet, limit);
        let is_full = used + 1.0 > limit;
        let is_held_back = !is_full && used + 1.0 > limit * self.share_of(now, tenant, order);
        if is_full || is_held_back {
            return Some(Err(self.refuse(now, tenant, is_held_back)));
        }
        if let Some(node) = to {
            self.grants.note(now, tenant, node);
        }
        Some(Ok(()))
    }

    /// Another node has started anew: it has forgotten what it was granted.
    pub fn note_restart(&mut self, node: &NodeId) {
        self.grants.note_restart(node);
    }

    /// Counts a request that the lessor has granted.
    pub fn record_granted(&mut self, now: Timestamp, tenant: TenantKey, quota: Quota) -> Ticket {
        self.account(now, tenant, quota);
        self.count(now, tenant)
    }

    /// Share of the quota that requests of one order may use: while more are asked for than a window
    /// holds and some did not fit, what begins a program leaves some to programs that have begun.
    fn share_of(&self, now: Timestamp, tenant: TenantKey, order: Order) -> f64 {
        let Some(account) = self.accounts.get(&tenant) else {
            return 1.0;
        };
        if order == Order::Continuation || !self.orders {
            return 1.0;
        }
        let heard = self.reports.values();
        let fresh = heard.filter(|report| now.since(report.at) < DEMAND_SPAN);
        let told = fresh.filter_map(|report| report.uses.get(&tenant));
        let asked = account.asked.total() + told.map(|used| used.asked).sum::<u32>();
        let spans = self.rules.window.as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        let was_full = account.refused.total() > 0;
        if was_full && f64::from(asked) * spans > account.limit {
            1.0 - HELD_BACK_SHARE
        } else {
            1.0
        }
    }

    /// What all have sent on, and may send without a question until it is told.
    fn used_or_reserved(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet, limit: f64) -> f64 {
        let standing = self.standing_within(now, tenant, fleet, limit);
        let recent = self.recent(now, tenant, fleet);
        let told = limit - standing.free + f64::from(recent);
        let unasked = if fleet.nodes > 1 {
            limit * CALM_SHARE
        } else {
            0.0
        };
        told.max(unasked) + self.grants_beside_reports(now, tenant)
    }

    /// What grants add to the reports: those that these do not hold yet, less those that they still
    /// hold and that have left the window since.
    fn grants_beside_reports(&self, now: Timestamp, tenant: TenantKey) -> f64 {
        let window = self.rules.window;
        let begin = now - window;
        let mut untold = self.grants.to_ended(tenant, begin, now);
        let mut told_past = 0;
        for (node, grants) in self.grants.of(tenant) {
            let report = self.reports.get(node);
            let Some(report) = report.filter(|report| now.since(report.at) < window) else {
                untold += grants.between(begin, now);
                continue;
            };
            let told_until = report.at - GRANT_DELAY;
            untold += grants.between(begin.max(told_until), now);
            told_past += grants.between(report.at - window, begin.min(told_until));
        }
        untold as f64 - told_past as f64
    }

    /// A refusal, with the time at which the window is likely to have room for this request behind
    /// those refused before.
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
        let retry_after = self.pause(limit / f64::from(refused.max(1)));
        OverQuota {
            retry_after,
            basis: Basis::Lessor,
            is_held_back,
        }
    }
}
