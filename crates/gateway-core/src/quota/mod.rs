//! Distributed enforcement of request quotas per tenant.
//!
//! Every node counts the requests that it forwards for each tenant and reports the counts to the
//! other nodes several times a second. A tenant's lessor decides on its requests ([`grant`]); while
//! usage is low, nodes admit requests without asking it.
//!
//! Without a lessor, each node may forward a share of the remaining quota that is proportional to
//! its share of the reported demand. As long as reports arrive in time, the nodes together never
//! exceed the quota. Errors due to late reports are bounded by the operator's tolerance. See
//! decisions 0093 and 0098.
//!
//! [`grant`]: QuotaTracker::grant

mod allowance;
mod fleet_sizes;
mod history;
mod lessor;
mod recorded;
mod reports;
mod sliding;
mod started_programs;
mod turns;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::tenants::{Quota, TenantKey};

use fleet_sizes::RecentFleetSizes;
use history::Predecessor;
use lessor::Grants;
use recorded::{RecordedUse, WrittenRecord};
use reports::Report;
use sliding::{SlidingCount, Slots};

pub use history::{AgedCount, HistoryRounds, UseHistory};
pub use lessor::lessor_of;
pub use recorded::{RecordGroup, UseRecord};
pub use reports::MAX_REPORTED_TENANTS;
pub use sliding::Slot;
pub use started_programs::StartedPrograms;
pub use turns::ReportTurns;

/// Interval between two reports of a node.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of nodes that receive one report. In larger fleets, reports rotate over the
/// nodes.
pub const MAX_REPORT_TARGETS: u32 = 64;

/// Time over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of an even share of the quota below which a node does not report a tenant. The other
/// nodes reserve this much for it.
const UNREPORTED_FRACTION: f64 = 0.1;

/// Fraction of the operator's tolerance that is added to the limit, so that counting errors fall
/// equally above and below the quota. The rest allows for late reports.
const USED_TOLERANCE_FRACTION: f64 = 0.3;

/// Fraction of an even share that a node uses while it receives no reports from the others.
const ISOLATED_FRACTION: f64 = 0.4;

/// Time after its start within which a node may not have received the other nodes' reports yet.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// Time after its start within which the other nodes may not have detected this node yet. They reserve
/// nothing for it.
const JOIN_TIME: Duration = Duration::from_secs(2);

/// Minimum retry delay of a refused request.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum retry delay of a refused request.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Fraction of a quota that requests of new programs must leave to programs that have started while
/// demand exceeds the quota.
const STARTED_RESERVE_FRACTION: f64 = 0.2;

/// Rules by which the operator measures compliance with quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the sliding window in which a tenant's requests must be within its quota.
    pub window: Duration,
    /// Tolerated excess as a fraction of the quota.
    pub overshoot: f64,
    /// Tolerated excess in requests, in addition to `overshoot`.
    pub slack: f64,
}

/// The fleet as seen by the deciding node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Number of nodes that accept callers, including the deciding one. At least 1.
    pub nodes: u32,
    /// Whether the deciding node cannot reach the log and may be partitioned from all other nodes.
    pub is_cut_off: bool,
}

/// How a quota is divided between nodes that decide without a lessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// In proportion to the demand that nodes report.
    Reported,
    /// Evenly.
    Even,
}

/// Priority of a request while its tenant's quota is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The request starts a program.
    NewProgram,
    /// The request continues a started program or belongs to none. It takes precedence.
    Continuation,
}

/// Information that a refusal is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The decision of the tenant's lessor.
    Lessor,
    /// This node's share of the quota according to the nodes' reports.
    Reported,
    /// A reduced even share, because this node receives reports from too few others.
    Isolated,
    /// This node's even share.
    Even,
}

impl Basis {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lessor => "lessor",
            Self::Reported => "told",
            Self::Isolated => "alone",
            Self::Even => "even",
        }
    }
}

/// A request was refused because its tenant's quota is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Delay after which the quota is likely to allow the request.
    pub retry_after: Duration,
    /// Information that the decision is based on.
    pub basis: Basis,
    /// Whether the remaining quota is reserved for programs that have started.
    pub is_held_back: bool,
}

/// Handle to a counted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    tenant: TenantKey,
    slot: Slot,
}

/// One node's usage of a tenant's quota, as reported to the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantUse {
    /// Requests forwarded in the last window.
    pub sent: u32,
    /// Requests received in the last second, including refused ones.
    pub asked: u32,
}

/// This node's counts for one tenant.
#[derive(Clone, Debug)]
struct Account {
    /// Requests allowed per window, including the used part of the tolerance.
    limit: f64,
    sent: SlidingCount,
    asked: SlidingCount,
    /// Requests that this node refused as lessor in the last second because the quota was
    /// exhausted.
    refused: SlidingCount,
}

/// One node's view of every tenant's quota usage.
#[derive(Clone, Debug)]
pub struct QuotaTracker {
    rules: QuotaRules,
    division: Division,
    slots: Slots,
    /// Seed for rounding. Differs between nodes so that they do not all round the same way.
    seed: u64,
    started: Timestamp,
    /// The earlier process that may have forwarded requests from this machine.
    predecessor: Predecessor,
    /// Whether this node accepts callers. Others have no share of a quota.
    accepts_callers: bool,
    /// Use by all nodes before this process started; `None` until the records were read.
    recorded: Option<RecordedUse>,
    /// Records that this node has written last.
    written: HashMap<RecordGroup, WrittenRecord>,
    accounts: HashMap<TenantKey, Account>,
    reports: BTreeMap<NodeId, Report>,
    /// Other nodes whose process has restarted within the last window, and when that was noticed.
    restarted: HashMap<NodeId, Timestamp>,
    /// Grants that this node made to others as lessor.
    grants: Grants,
    /// Whether requests of new programs leave part of a short quota to started programs.
    prioritizes_started: bool,
    /// Fleet sizes within the last window.
    fleet_sizes: RecentFleetSizes,
}

impl QuotaTracker {
    /// Creates a tracker without any counted request. `seed` should differ between nodes.
    pub fn new(rules: QuotaRules, division: Division, seed: u64, started: Timestamp) -> Self {
        Self {
            rules,
            division,
            slots: Slots::of_window(rules.window),
            seed,
            started,
            predecessor: Predecessor::Unknown,
            accepts_callers: true,
            recorded: None,
            written: HashMap::new(),
            accounts: HashMap::new(),
            reports: BTreeMap::new(),
            restarted: HashMap::new(),
            grants: Grants::default(),
            prioritizes_started: false,
            fleet_sizes: RecentFleetSizes::default(),
        }
    }

    /// Sets whether requests of new programs leave part of a short quota to started programs.
    #[must_use]
    pub fn with_program_priority(mut self, is_on: bool) -> Self {
        self.prioritizes_started = is_on;
        self
    }

    /// Records that no earlier process forwarded requests from this machine.
    pub fn note_new_machine(&mut self) {
        self.predecessor = Predecessor::None;
    }

    /// Records whether this node accepts callers, as one of [`Fleet::nodes`].
    pub fn note_accepts_callers(&mut self, accepts: bool) {
        self.accepts_callers = accepts;
    }

    /// Records the demand of one request, whether or not it will be admitted.
    pub fn note_asked(&mut self, now: Timestamp, tenant: TenantKey, quota: Quota) {
        let slot = self.slots.at(now);
        self.account(now, tenant, quota).asked.add(slot);
    }

    /// Records the demand of a request and decides on it without a lessor.
    ///
    /// # Errors
    ///
    /// Returns [`OverQuota`] if the request exceeds this node's share of the quota.
    pub fn admit(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
    ) -> Result<Ticket, OverQuota> {
        self.note_asked(now, tenant, quota);
        self.admit_by_reports(now, tenant, quota, fleet)
    }

    /// Decides without a lessor whether a request may be forwarded, and counts it if so. Its demand
    /// must have been recorded with [`Self::note_asked`].
    ///
    /// # Errors
    ///
    /// Returns [`OverQuota`] if the request exceeds this node's share of the quota.
    pub fn admit_by_reports(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
    ) -> Result<Ticket, OverQuota> {
        let fleet = self.fleet_sizes.note(now, fleet, self.rules.window);
        let limit = self.account(now, tenant, quota).limit;
        let allowance = self.allowance(now, tenant, fleet, limit);
        if self.fits(now, tenant, fleet, allowance.free * allowance.share) {
            return Ok(self.count(now, tenant));
        }
        Err(OverQuota {
            retry_after: self.retry_delay(limit * allowance.share),
            basis: allowance.basis,
            is_held_back: false,
        })
    }

    /// Removes an admitted request that was not forwarded.
    pub fn give_back(&mut self, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(&ticket.tenant) {
            account.sent.remove(ticket.slot);
        }
    }

    /// Records the first send of an admitted request, which counts from the time of the send.
    pub fn note_send(&mut self, now: Timestamp, ticket: Ticket) {
        let slot = self.slots.at(now);
        if slot == ticket.slot {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&ticket.tenant) {
            account.sent.remove(ticket.slot);
            account.sent.add(slot);
        }
    }

    /// Counts a further send of an admitted request, to another worker or to resume a stream.
    pub fn note_resend(&mut self, now: Timestamp, ticket: Ticket) {
        let slot = self.slots.at(now);
        if let Some(account) = self.accounts.get_mut(&ticket.tenant) {
            account.sent.add(slot);
        }
    }

    /// Returns the requests per window that this node allows for a quota.
    pub fn limit_of(&self, quota: Quota) -> f64 {
        self.rules.limit(quota)
    }

    /// Returns the tenants with the highest usage relative to their quotas, at most `max_count` of
    /// them, each with the used fraction.
    pub fn most_used(&self, max_count: usize) -> Vec<(TenantKey, f64)> {
        let mut used: Vec<(TenantKey, f64)> = self
            .accounts
            .iter()
            .map(|(tenant, account)| (*tenant, f64::from(self.used_by(*tenant)) / account.limit))
            .collect();
        used.sort_by(|left, right| right.1.total_cmp(&left.1));
        used.truncate(max_count);
        used
    }

    /// Returns a tenant's account after dropping expired counts.
    fn account(&mut self, now: Timestamp, tenant: TenantKey, quota: Quota) -> &mut Account {
        let first = self.slots.first_within(now, self.rules.window);
        let first_asked = self.slots.first_within(now, DEMAND_WINDOW);
        let limit = self.rules.limit(quota);
        let account = self.accounts.entry(tenant).or_insert_with(|| Account {
            limit,
            sent: SlidingCount::default(),
            asked: SlidingCount::default(),
            refused: SlidingCount::default(),
        });
        account.limit = limit;
        account.forget(first, first_asked);
        account
    }

    /// Counts a request that is forwarded now.
    fn count(&mut self, now: Timestamp, tenant: TenantKey) -> Ticket {
        let slot = self.slots.at(now);
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.sent.add(slot);
        }
        Ticket { tenant, slot }
    }

    /// Returns the delay until one more request fits at a rate of `per_window` requests per window.
    fn retry_delay(&self, per_window: f64) -> Duration {
        let retry_delay = self.rules.window.as_secs_f64() / per_window.max(f64::MIN_POSITIVE);
        let max = MAX_RETRY_DELAY.as_secs_f64();
        Duration::from_secs_f64(retry_delay.min(max)).max(MIN_RETRY_DELAY)
    }
}

impl Account {
    /// Drops counts before the first slot of the window and of the demand window.
    fn forget(&mut self, first: Slot, first_asked: Slot) {
        self.sent.forget_before(first);
        self.asked.forget_before(first_asked);
        self.refused.forget_before(first_asked);
    }

    fn is_empty(&self) -> bool {
        self.sent.total() == 0 && self.asked.total() == 0 && self.refused.total() == 0
    }
}

impl QuotaRules {
    /// Returns the requests per window that are allowed, including the used part of the tolerance.
    fn limit(&self, quota: Quota) -> f64 {
        let exact = quota.per_second * self.window.as_secs_f64() + quota.burst;
        exact + self.tolerance(exact) * USED_TOLERANCE_FRACTION
    }

    /// Returns the tolerated excess over `limit` requests.
    fn tolerance(&self, limit: f64) -> f64 {
        limit * self.overshoot + self.slack
    }
}
