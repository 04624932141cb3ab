//! Quotas of tenants over all nodes, without a question to anybody before a request.
//!
//! Every node counts what it sends on for each tenant and tells the others a few times a second.
//! While all nodes grant, the one that is the tenant's lessor decides on its requests ([`grant`]),
//! but for the first ones in a quota that is hardly used. Without a lessor, what a node may send
//! until the others have heard of it is its part of what the tenant's quota still leaves: its part
//! of the demand, as all have told it. So the parts of all nodes together never exceed what is left
//! as long as reports arrive in time; what may go wrong beyond that is bounded by the operator's
//! tolerance, see decisions 0093 and 0098.
//!
//! [`grant`]: QuotaBook::grant

mod begun;
mod lessor;
mod sliding;
mod standing;
mod turns;
mod widths;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::tenants::{Quota, TenantKey};

use lessor::Grants;
use sliding::{SlidingCount, Slots};
use widths::Widths;

pub use begun::StartedPrograms;
pub use lessor::lessor_of;
pub use sliding::Slot;
pub use turns::ReportTurns;

/// Interval at which nodes tell each other what they have sent on.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Most nodes that one report goes to at a time; with more, they take turns.
pub const TOLD_AT_ONCE: u32 = 64;

/// Time over which demand is counted.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// A node that has sent on less than this share of its even part does not tell; the others reserve
/// as much for it.
const UNTOLD_SHARE: f64 = 0.1;

/// Share of the operator's tolerance that requests may use: errors of the shared account then
/// fall to either side of the quota alike. The rest is for reports that come late.
const TOLERANCE_USED: f64 = 0.3;

/// Share of its even part that a node takes which cannot hear the others.
const ALONE_SHARE: f64 = 0.4;

/// A node that has started less than this ago may not have heard of the others yet.
const HEARING_TIME: Duration = Duration::from_secs(1);

/// Shortest and longest time after which a refused caller is asked to come back.
const SHORTEST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Share of a quota that requests which begin a program leave to the others while more are
/// asked for than a window holds.
const HELD_BACK_SHARE: f64 = 0.2;

/// Most tenants in one report: those nearest to their quotas.
pub const MOST_TOLD: usize = 1_000;

/// How the operator measures quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// In any span of this length a tenant's requests are within its quota for that span.
    pub window: Duration,
    /// Share of a quota by which it may be exceeded.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// The nodes as the deciding one knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Nodes that take callers, the deciding one included. At least 1.
    pub nodes: u32,
    /// Whether the deciding node cannot reach the log: it may be cut off from everybody.
    pub is_cut_off: bool,
}

/// How the quota is divided between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// By what nodes tell each other.
    Told,
    /// Even parts.
    Even,
}

/// Which requests go first while a quota is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// It begins a program.
    NewProgram,
    /// It goes on with a program that has begun, or belongs to none.
    Continuation,
}

/// What a refusal rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The tenant's lessor has decided.
    Lessor,
    /// This node's part, as the nodes have told each other.
    Told,
    /// This node hears too few others, and keeps to a small even part.
    Alone,
    /// This node's even part.
    Even,
}

impl Basis {
    /// As it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lessor => "lessor",
            Self::Told => "told",
            Self::Alone => "alone",
            Self::Even => "even",
        }
    }
}

/// Why a request is refused: its tenant's quota holds no more now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// When the quota is likely to hold it.
    pub retry_after: Duration,
    /// Who has decided by what.
    pub basis: Basis,
    /// Whether there is room, but only for programs that have begun.
    pub is_held_back: bool,
}

/// A request that was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    tenant: TenantKey,
    slot: Slot,
}

/// What one node has sent on for a tenant, as it tells the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantUse {
    /// Requests in the last window.
    pub sent: u32,
    /// Requests that were asked for in the last second, refused ones included.
    pub asked: u32,
}

#[derive(Clone, Debug)]
struct Account {
    limit: f64,
    sent: SlidingCount,
    asked: SlidingCount,
    /// Refused as lessor in the last second for want of room.
    refused: SlidingCount,
}

#[derive(Clone, Debug)]
struct Report {
    at: Timestamp,
    uses: HashMap<TenantKey, TenantUse>,
}

/// One node's account of every tenant's quota.
#[derive(Clone, Debug)]
pub struct QuotaTracker {
    rules: QuotaRules,
    division: Division,
    slots: Slots,
    /// Differs between nodes, so that not all round the same way.
    seed: u64,
    started: Timestamp,
    /// Whether another process may have sent requests on from this machine before.
    has_past: bool,
    accounts: HashMap<TenantKey, Account>,
    reports: BTreeMap<NodeId, Report>,
    /// What this node has granted to others as lessor.
    grants: Grants,
    /// Whether requests that begin programs leave some of a short quota to the others.
    orders: bool,
    /// How many nodes there were.
    widths: Widths,
}

impl QuotaTracker {
    /// Knows of no request yet. `seed` should differ between nodes.
    pub fn new(rules: QuotaRules, division: Division, seed: u64, started: Timestamp) -> Self {
        Self {
            rules,
            division,
            slots: Slots::of_window(rules.window),
            seed,
            started,
            has_past: true,
            accounts: HashMap::new(),
            reports: BTreeMap::new(),
            grants: Grants::default(),
            orders: false,
            widths: Widths::default(),
        }
    }

    /// While a quota is short, requests that begin programs leave some of it to the others.
    #[must_use]
    pub fn with_program_priority(mut self, is_on: bool) -> Self {
        self.orders = is_on;
        self
    }

    /// Nothing was sent on here before this process: the machine is new.
    pub fn note_new_machine(&mut self) {
        self.has_past = false;
    }

    /// Notes that a request is asked for.
    pub fn note_asked(&mut self, now: Timestamp, tenant: TenantKey, quota: Quota) {
        let slot = self.slots.at(now);
        self.account(now, tenant, quota).asked.add(slot);
    }

    /// Decides on a request that goes on with something, without a lessor.
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

    /// Decides without a lessor whether a request may be sent on, and counts it if so. It was noted
    /// with [`Self::note_asked`].
    pub fn admit_by_reports(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
    ) -> Result<Ticket, OverQuota> {
        let fleet = self.widths.note(now, fleet, self.rules.window);
        let limit = self.account(now, tenant, quota).limit;
        let standing = self.standing(now, tenant, fleet, limit);
        if self.fits(now, tenant, fleet, standing.free * standing.part) {
            return Ok(self.count(now, tenant));
        }
        Err(OverQuota {
            retry_after: self.pause(limit * standing.part),
            basis: standing.basis,
            is_held_back: false,
        })
    }

    /// An admitted request was not sent on after all.
    pub fn give_back(&mut self, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(&ticket.tenant) {
            account.sent.take_back(ticket.slot);
        }
    }

    /// An admitted request is sent on for the first time: it counts from now on.
    pub fn note_send(&mut self, now: Timestamp, ticket: Ticket) {
        let slot = self.slots.at(now);
        if slot == ticket.slot {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&ticket.tenant) {
            account.sent.take_back(ticket.slot);
            account.sent.add(slot);
        }
    }

    /// An admitted request is sent on once more, to another worker or to take a stream up.
    pub fn note_resend(&mut self, now: Timestamp, ticket: Ticket) {
        let slot = self.slots.at(now);
        if let Some(account) = self.accounts.get_mut(&ticket.tenant) {
            account.sent.add(slot);
        }
    }

    /// Takes what another node tells in place of its earlier report.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        node: NodeId,
        uses: impl IntoIterator<Item = (TenantKey, TenantUse)>,
    ) {
        let uses = uses.into_iter().collect();
        self.reports.insert(node, Report { at: now, uses });
    }

    /// What to tell the others now; also forgets what no longer counts.
    pub fn report(&mut self, now: Timestamp, fleet: Fleet) -> Vec<(TenantKey, TenantUse)> {
        let window = self.rules.window;
        let fleet = self.widths.note(now, fleet, window);
        self.reports
            .retain(|_, report| now.since(report.at) < window);
        self.grants.forget(now, window);
        let first = self.slots.first_within(now, window);
        let first_asked = self.slots.first_within(now, DEMAND_SPAN);
        for account in self.accounts.values_mut() {
            account.forget(first, first_asked);
        }
        self.accounts.retain(|_, account| !account.is_empty());
        let mut told: Vec<(f64, TenantKey, TenantUse)> = Vec::new();
        for (tenant, account) in &self.accounts {
            let unknown = self.unknown_before_start(now, account.limit, fleet);
            let own = TenantUse {
                sent: account.sent.total() + unknown.ceil() as u32,
                asked: account.asked.total(),
            };
            if f64::from(own.sent) >= standing::untold(account.limit, fleet) {
                told.push((f64::from(own.sent) / account.limit, *tenant, own));
            }
        }
        told.sort_by(|left, right| right.0.total_cmp(&left.0));
        told.truncate(MOST_TOLD);
        told.into_iter()
            .map(|(_, tenant, own)| (tenant, own))
            .collect()
    }

    /// Nodes that have told within the last window.
    pub fn reporting_nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reports.keys()
    }

    /// Requests of a tenant in the last window, of all nodes as far as they have told.
    pub fn used_by(&self, tenant: TenantKey) -> u32 {
        let own = self
            .accounts
            .get(&tenant)
            .map_or(0, |account| account.sent.total());
        let told = self
            .reports
            .values()
            .filter_map(|report| report.uses.get(&tenant));
        own + told.map(|told| told.sent).sum::<u32>()
    }

    /// Requests of a tenant that a window holds, as this node counts.
    pub fn limit_of(&self, quota: Quota) -> f64 {
        self.rules.limit(quota)
    }

    /// The tenants that have used the largest part of their quota here, at most `most` of them,
    /// each with that part.
    pub fn most_used(&self, most: usize) -> Vec<(TenantKey, f64)> {
        let mut used: Vec<(TenantKey, f64)> = self
            .accounts
            .iter()
            .map(|(tenant, account)| (*tenant, f64::from(self.used_by(*tenant)) / account.limit))
            .collect();
        used.sort_by(|left, right| right.1.total_cmp(&left.1));
        used.truncate(most);
        used
    }

    fn account(&mut self, now: Timestamp, tenant: TenantKey, quota: Quota) -> &mut Account {
        let first = self.slots.first_within(now, self.rules.window);
        let first_asked = self.slots.first_within(now, DEMAND_SPAN);
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

    fn count(&mut self, now: Timestamp, tenant: TenantKey) -> Ticket {
        let slot = self.slots.at(now);
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.sent.add(slot);
        }
        Ticket { tenant, slot }
    }

    /// How long it takes until one more fits, if `part` fit into a window.
    fn pause(&self, part: f64) -> Duration {
        let pause = self.rules.window.as_secs_f64() / part.max(f64::MIN_POSITIVE);
        let longest = LONGEST_PAUSE.as_secs_f64();
        Duration::from_secs_f64(pause.min(longest)).max(SHORTEST_PAUSE)
    }
}

impl Account {
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
    /// Requests that a quota holds in one window, with the part of the tolerance that is used.
    fn limit(&self, quota: Quota) -> f64 {
        let exact = quota.per_second * self.window.as_secs_f64() + quota.burst;
        exact + self.tolerance(exact) * TOLERANCE_USED
    }

    fn tolerance(&self, limit: f64) -> f64 {
        limit * self.overshoot + self.slack
    }
}
