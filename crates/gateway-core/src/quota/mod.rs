//! Quotas of tenants over all nodes, without a question to anybody before a request.
//!
//! Every node counts what it sends on for each tenant and tells the others a few times a second.
//! What a node may send until the others have heard of it is its part of what the tenant's quota
//! still leaves: its part of the demand, as all have told it. So the parts of all nodes together
//! never exceed what is left, however old the reports are, as long as reports arrive within
//! [`FRESH`]; what may go wrong beyond that is bounded by the operator's tolerance, see decision
//! 0093.

mod sliding;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tenants::{Quota, TenantKey};

use sliding::{SlidingCount, Slots};

pub use sliding::Slot;

/// Interval at which nodes tell each other what they have sent on.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A report has reached every node within this time, two lost ones included. What a node has sent
/// on since is not known to all.
const FRESH: Duration = Duration::from_millis(600);

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

/// Why a request is refused: its tenant's quota holds no more now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// When the quota is likely to hold it.
    pub retry_after: Duration,
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
}

#[derive(Clone, Debug)]
struct Report {
    at: Timestamp,
    uses: HashMap<TenantKey, TenantUse>,
}

/// What is left of a tenant's quota, and this node's part.
struct Standing {
    /// Requests that all nodes may still send on, apart from this node's last ones.
    free: f64,
    /// This node's part of the demand, from 0 to 1.
    part: f64,
}

/// One node's account of every tenant's quota.
#[derive(Clone, Debug)]
pub struct QuotaBook {
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
}

impl QuotaBook {
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
        }
    }

    /// Nothing was sent on here before this process: the machine is new.
    pub fn note_new_machine(&mut self) {
        self.has_past = false;
    }

    /// Decides whether a request may be sent on, and counts it if so.
    pub fn admit(
        &mut self,
        now: Timestamp,
        tenant: TenantKey,
        quota: Quota,
        fleet: Fleet,
    ) -> Result<Ticket, OverQuota> {
        let slot = self.slots.at(now);
        let account = self.account(now, tenant, quota);
        account.asked.add(slot);
        let standing = self.standing(now, tenant, fleet);
        let recent = self.accounts[&tenant]
            .sent
            .since(self.slots.first_within(now, FRESH));
        if f64::from(recent) + 1.0 > standing.free * standing.part + self.rounding(now, tenant) {
            let limit = self.accounts[&tenant].limit;
            return Err(self.over_quota(limit * standing.part));
        }
        let account = self.account(now, tenant, quota);
        account.sent.add(slot);
        Ok(Ticket { tenant, slot })
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
    pub fn note_further_send(&mut self, now: Timestamp, ticket: Ticket) {
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
        self.reports
            .retain(|_, report| now.since(report.at) < window);
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
            if f64::from(own.sent) >= untold(account.limit, fleet) {
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
    pub fn tellers(&self) -> impl Iterator<Item = &NodeId> {
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
        });
        account.limit = limit;
        account.forget(first, first_asked);
        account
    }

    fn standing(&self, now: Timestamp, tenant: TenantKey, fleet: Fleet) -> Standing {
        let account = &self.accounts[&tenant];
        let limit = account.limit;
        let all = &account.sent;
        let recent = f64::from(all.since(self.slots.first_within(now, FRESH)));
        let unknown = self.unknown_before_start(now, limit, fleet);
        let own = f64::from(all.total()) + unknown;
        let nodes = f64::from(fleet.nodes.max(1));
        if self.division == Division::Even || self.is_alone(now, fleet) {
            let share = match self.division {
                Division::Even => 1.0,
                Division::Told => ALONE_SHARE,
            };
            return Standing {
                free: limit * share - (own - recent) * nodes,
                part: 1.0 / nodes,
            };
        }
        let mut told = 0.0;
        let mut tellers = 0.0;
        let asked_here = f64::from(account.asked.total()) + 1.0;
        let mut asked = asked_here;
        for report in self.reports.values() {
            if now.since(report.at) >= self.rules.window {
                continue;
            }
            let Some(used) = report.uses.get(&tenant) else {
                continue;
            };
            tellers += 1.0;
            told += f64::from(used.sent);
            // Also of one that has fallen silent: it may be cut off and go on with its part.
            asked += f64::from(used.asked);
        }
        let untold = (nodes - 1.0 - tellers).max(0.0) * untold(limit, fleet);
        Standing {
            free: limit - (own - recent) - told - untold,
            part: asked_here / asked,
        }
    }

    /// Whether this node hears too few others to go by what they tell: it is cut off, or has only
    /// just started.
    fn is_alone(&self, now: Timestamp, fleet: Fleet) -> bool {
        let may_be = fleet.is_cut_off || now.since(self.started) < HEARING_TIME;
        if !may_be || fleet.nodes <= 1 {
            return false;
        }
        let heard = self.reports.values();
        let fresh = heard.filter(|report| now.since(report.at) < FRESH).count();
        fresh * 2 < usize::try_from(fleet.nodes - 1).unwrap_or(usize::MAX)
    }

    /// What may have been sent on here before this process started, as if every node had used its
    /// part of the quota. Becomes nothing over one window.
    fn unknown_before_start(&self, now: Timestamp, limit: f64, fleet: Fleet) -> f64 {
        if !self.has_past {
            return 0.0;
        }
        let window = self.rules.window.as_secs_f64();
        let left = 1.0 - now.since(self.started).as_secs_f64() / window;
        let known = self.rules.tolerance(limit) * TOLERANCE_USED;
        (limit - known).max(0.0) * left.max(0.0) / f64::from(fleet.nodes.max(1))
    }

    /// From 0 to 1: parts of a request add up over nodes and times to what is left.
    fn rounding(&self, now: Timestamp, tenant: TenantKey) -> f64 {
        let period = now.0 / u64::try_from(FRESH.as_micros()).unwrap_or(u64::MAX);
        let hash = xxh3_64_with_seed(&tenant.0.to_le_bytes(), self.seed ^ period);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Refuses for as long as it takes until one more fits, if `part` fit into a window.
    fn over_quota(&self, part: f64) -> OverQuota {
        let pause = self.rules.window.as_secs_f64() / part.max(f64::MIN_POSITIVE);
        let longest = LONGEST_PAUSE.as_secs_f64();
        let pause = Duration::from_secs_f64(pause.min(longest));
        OverQuota {
            retry_after: pause.max(SHORTEST_PAUSE),
        }
    }
}

impl Account {
    fn forget(&mut self, first: Slot, first_asked: Slot) {
        self.sent.forget_before(first);
        self.asked.forget_before(first_asked);
    }

    fn is_empty(&self) -> bool {
        self.sent.total() == 0 && self.asked.total() == 0
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

/// Requests that a node may have sent on without telling.
fn untold(limit: f64, fleet: Fleet) -> f64 {
    limit * UNTOLD_SHARE / f64::from(fleet.nodes.max(1))
}
