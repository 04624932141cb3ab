//! Reports of quota use: those of other nodes, and this node's own.

use std::collections::HashMap;

use elderworks_types::{NodeId, Timestamp};

use crate::tenants::TenantKey;

use super::history::Predecessor;
use super::sliding::SlidingCount;
use super::{DEMAND_WINDOW, Fleet, JOIN_TIME, QuotaTracker, TenantUse, allowance};

/// Maximum number of tenants in one report. Those nearest to their quotas are included first.
pub const MAX_REPORTED_TENANTS: usize = 1_000;

/// The latest report of another node.
#[derive(Clone, Debug)]
pub(super) struct Report {
    /// Time of receipt.
    pub(super) at: Timestamp,
    pub(super) uses: HashMap<TenantKey, TenantUse>,
    /// The forwarded requests by the time of the report that first included them.
    pub(super) history: HashMap<TenantKey, SlidingCount>,
    /// Times of this report and earlier ones.
    pub(super) heard: SlidingCount,
}

impl QuotaTracker {
    /// Replaces another node's report.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        node: NodeId,
        uses: impl IntoIterator<Item = (TenantKey, TenantUse)>,
    ) {
        let uses: HashMap<TenantKey, TenantUse> = uses.into_iter().collect();
        let before = self.reports.remove(&node);
        let (mut history, mut heard) = before
            .map(|report| (report.history, report.heard))
            .unwrap_or_default();
        let slot = self.slots.at(now);
        heard.add(slot);
        let first = self.slots.first_within(now, self.rules.window);
        for (tenant, used) in &uses {
            let sent: &mut SlidingCount = history.entry(*tenant).or_default();
            sent.forget_before(first);
            let new = used.sent.saturating_sub(sent.total());
            if new > 0 {
                sent.add_many(slot, new);
            }
        }
        let report = Report {
            at: now,
            uses,
            history,
            heard,
        };
        self.reports.insert(node, report);
    }

    /// Returns a tenant's requests at another node according to its last report, or `None` if it has not
    /// reported the tenant. For a window after a restart, the reports of the process before count as well:
    /// the new one may not know yet what that has forwarded.
    pub(super) fn reported_use(
        &self,
        now: Timestamp,
        node: &NodeId,
        report: &Report,
        tenant: TenantKey,
    ) -> Option<TenantUse> {
        let used = report.uses.get(&tenant).copied();
        let noticed = self.restarted.get(node);
        let Some(noticed) = noticed.filter(|noticed| now.since(**noticed) < self.rules.window)
        else {
            return used;
        };
        let end = self.slots.at(*noticed);
        let history = report.history.get(&tenant);
        let history = history.map_or(0, |sent| sent.before(end));
        let used = used.or((history > 0).then(TenantUse::default))?;
        Some(TenantUse {
            sent: used.sent.max(history),
            ..used
        })
    }

    /// Drops expired counts and returns this node's report.
    pub fn report(&mut self, now: Timestamp, fleet: Fleet) -> Vec<(TenantKey, TenantUse)> {
        let window = self.rules.window;
        let fleet = self.fleet_sizes.note(now, fleet, window);
        self.reports
            .retain(|_, report| now.since(report.at) < window);
        self.restarted
            .retain(|_, noticed| now.since(*noticed) < window);
        self.grants.forget(now, window);
        let first = self.slots.first_within(now, window);
        let first_asked = self.slots.first_within(now, DEMAND_WINDOW);
        for account in self.accounts.values_mut() {
            account.forget(first, first_asked);
        }
        self.accounts.retain(|_, account| !account.is_empty());
        self.predecessor.forget_before(first);
        self.forget_histories(first);
        if let Some(recorded) = &mut self.recorded {
            recorded.forget_before(first);
        }
        let mut reported: Vec<(f64, TenantKey, TenantUse)> = Vec::new();
        for (tenant, account) in &self.accounts {
            let before_start = self.before_start(now, *tenant, account.limit, fleet);
            let own = TenantUse {
                sent: account.sent.total() + self.whole_before_start(*tenant, before_start),
                asked: account.asked.total(),
            };
            let threshold = match now.since(self.started) < JOIN_TIME {
                true => 1.0,
                false => allowance::report_threshold(account.limit, fleet),
            };
            if f64::from(own.sent) >= threshold {
                reported.push((f64::from(own.sent) / account.limit, *tenant, own));
            }
        }
        reported.extend(self.used_without_account(fleet).map(|(tenant, sent)| {
            // The quota is unknown until a request arrives, so that the fraction cannot be computed.
            (f64::MAX, tenant, TenantUse { sent, asked: 0 })
        }));
        reported.sort_by(|left, right| right.0.total_cmp(&left.0));
        reported.truncate(MAX_REPORTED_TENANTS);
        reported
            .into_iter()
            .map(|(_, tenant, own)| (tenant, own))
            .collect()
    }

    /// Returns what an earlier process forwarded for tenants that this one has received no requests of.
    fn used_without_account(&self, fleet: Fleet) -> impl Iterator<Item = (TenantKey, u32)> {
        let known = self.predecessor.counts();
        let known = known.filter(|(tenant, _)| !self.accounts.contains_key(tenant));
        let recorded = match self.predecessor {
            Predecessor::Unknown => self.recorded_without_account(fleet),
            Predecessor::None | Predecessor::Known(_) => Vec::new(),
        };
        known.chain(recorded)
    }

    /// Returns the nodes whose reports arrived within the last window.
    pub fn reporting_nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reports.keys()
    }

    /// Returns a tenant's requests in the last window, summed over this node and all reports.
    pub fn used_by(&self, tenant: TenantKey) -> u32 {
        let own = self
            .accounts
            .get(&tenant)
            .map_or(0, |account| account.sent.total());
        let reported = self
            .reports
            .values()
            .filter_map(|report| report.uses.get(&tenant));
        own + reported.map(|reported| reported.sent).sum::<u32>()
    }
}
