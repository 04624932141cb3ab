//! Durable records of how much of their quotas tenants use, for the case that all nodes restart.
//!
//! One node at a time records the use of a group of tenants: by its own counts and the reports of the
//! others, at most once in [`RECORD_INTERVAL`], earlier if much was used since. Tenants with low use are
//! omitted, so that their use costs no writes and a missing entry shows that it was low.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tenants::{Quota, TenantKey};

use super::history::{AgedCount, Predecessor, group_by_age};
use super::sliding::SlidingCount;
use super::{Fleet, LEARNING_TIME, QuotaTracker, Slot, lessor_of};

/// Number of groups of tenants. Each group is recorded by one node.
pub const RECORD_GROUPS: u64 = 8;

/// Maximum interval between two records of a group while its tenants use their quotas.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two records of a group.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Fraction of a quota whose use since the last record makes the next one due early.
const EARLY_RECORD_FRACTION: f64 = 0.1;

/// Fraction of the operator's tolerance up to which use is not recorded.
const UNRECORDED_TOLERANCE_FRACTION: f64 = 0.3;

/// Mean time before the loss of all nodes that the last record doesn't cover: half of the interval of
/// records, and the time that reports take to reach the recording node. The operator's tolerance covers
/// the rest.
const UNCOVERED_TIME: Duration = Duration::from_millis(800);

/// Group of tenants whose use is recorded together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordGroup(pub u64);

impl RecordGroup {
    /// Returns the group of a tenant.
    pub fn of(tenant: TenantKey) -> Self {
        Self(tenant.0 % RECORD_GROUPS)
    }

    /// Returns all groups.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RECORD_GROUPS).map(Self)
    }

    /// Returns the node that records the group.
    pub fn recorder<'a>(self, nodes: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
        lessor_of(TenantKey(self.0), nodes)
    }
}

/// Requests that all nodes have forwarded in the last window for the tenants of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UseRecord {
    /// Requests of each tenant, oldest first.
    pub tenants: Vec<(TenantKey, Vec<AgedCount>)>,
}

/// A record that this node has written.
#[derive(Clone, Debug)]
pub(super) struct WrittenRecord {
    at: Timestamp,
    totals: HashMap<TenantKey, u32>,
    /// Whether the write failed, so that the log may hold an older record.
    has_failed: bool,
}

/// Use of quotas by all nodes before this process started, as recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordedUse {
    /// Groups of which there was a record.
    groups: BTreeSet<RecordGroup>,
    sent: HashMap<TenantKey, SlidingCount>,
}

impl RecordedUse {
    pub(super) fn forget_before(&mut self, first: Slot) {
        for sent in self.sent.values_mut() {
            sent.forget_before(first);
        }
        self.sent.retain(|_, sent| sent.total() > 0);
    }

    /// Returns the requests of a tenant, or `None` if there was no record of its group.
    fn total(&self, tenant: TenantKey) -> Option<u32> {
        let is_covered = self.groups.contains(&RecordGroup::of(tenant));
        is_covered.then(|| self.sent.get(&tenant).map_or(0, SlidingCount::total))
    }

    fn tenants(&self) -> impl Iterator<Item = TenantKey> {
        self.sent.keys().copied()
    }
}

impl QuotaTracker {
    /// Returns the record of a group that this node should write, if one is due. A new process waits until
    /// it has heard the other nodes' reports.
    pub fn record_due(
        &mut self,
        now: Timestamp,
        group: RecordGroup,
        quota_of: impl Fn(TenantKey) -> Option<Quota>,
    ) -> Option<UseRecord> {
        if now.since(self.started) < LEARNING_TIME {
            return None;
        }
        let written = self.written.get(&group);
        let since = written.map(|written| now.since(written.at));
        if since.is_some_and(|since| since < MIN_RECORD_INTERVAL) {
            return None;
        }
        let totals = self.use_to_record(group, &quota_of);
        let is_due = self.is_record_due(written, since, &totals, &quota_of);
        if !is_due {
            return None;
        }
        let tenants = totals
            .keys()
            .map(|tenant| (*tenant, self.aged_use(now, *tenant)));
        let record = UseRecord {
            tenants: tenants.collect(),
        };
        let written = WrittenRecord {
            at: now,
            totals,
            has_failed: false,
        };
        self.written.insert(group, written);
        Some(record)
    }

    /// Returns whether use has changed enough since the last record, or it has become too old.
    fn is_record_due(
        &self,
        written: Option<&WrittenRecord>,
        since: Option<Duration>,
        totals: &HashMap<TenantKey, u32>,
        quota_of: &impl Fn(TenantKey) -> Option<Quota>,
    ) -> bool {
        let (Some(written), Some(since)) = (written, since) else {
            // Replaces what another node recorded before.
            return true;
        };
        if written.has_failed {
            return since >= RECORD_INTERVAL;
        }
        if totals.is_empty() && written.totals.is_empty() {
            return false;
        }
        let has_grown = totals.iter().any(|(tenant, total)| {
            let before = written.totals.get(tenant).copied().unwrap_or_default();
            let limit = quota_of(*tenant).map_or(0.0, |quota| self.rules.limit(quota));
            f64::from(total.saturating_sub(before)) >= limit * EARLY_RECORD_FRACTION
        });
        since >= RECORD_INTERVAL || has_grown
    }

    /// Records that a group's record was not written. It is due again after [`RECORD_INTERVAL`], also if use
    /// has ended, since the log may hold an older record.
    pub fn note_record_failed(&mut self, group: RecordGroup) {
        if let Some(written) = self.written.get_mut(&group) {
            written.has_failed = true;
        }
    }

    /// Records that another node records a group. If this node takes over again, a record is due at once.
    pub fn stop_recording(&mut self, group: RecordGroup) {
        self.written.remove(&group);
    }

    /// Returns whether the records should be read.
    pub fn needs_records(&self, now: Timestamp) -> bool {
        !matches!(self.predecessor, Predecessor::None)
            && self.recorded.is_none()
            && now.since(self.started) < self.rules.window
    }

    /// Takes over a group's record that was written before this process started. Its age is unknown, so
    /// the requests are not taken to be older than they were when it was written.
    pub fn take_record(&mut self, now: Timestamp, group: RecordGroup, record: &UseRecord) {
        if matches!(self.predecessor, Predecessor::None) {
            return;
        }
        let slots = self.slots;
        let start = self.started;
        let recorded = self.recorded.get_or_insert_default();
        recorded.groups.insert(group);
        for (tenant, counts) in &record.tenants {
            let mut sent = SlidingCount::default();
            for AgedCount { age, count } in counts {
                sent.add_many(slots.at(start - *age), *count);
            }
            let recent = counts.iter().filter(|aged| aged.age < RECORD_INTERVAL);
            let recent: u32 = recent.map(|aged| aged.count).sum();
            let uncovered =
                f64::from(recent) * UNCOVERED_TIME.as_secs_f64() / RECORD_INTERVAL.as_secs_f64();
            sent.add_many(slots.at(start), uncovered.ceil() as u32);
            recorded.sent.insert(*tenant, sent);
        }
        recorded.forget_before(slots.first_within(now, self.rules.window));
    }

    /// Returns whether this process has read what was recorded of a tenant's use.
    pub(super) fn has_record_of(&self, tenant: TenantKey) -> bool {
        let recorded = self.recorded.as_ref();
        recorded.is_some_and(|recorded| recorded.total(tenant).is_some())
    }

    /// Returns the least that all nodes have used of a tenant's quota, by what was recorded and this process
    /// has forwarded since. Used while other nodes' reports may lack parts of it, because they have restarted
    /// or do not know what this node forwarded before.
    pub(super) fn min_use(&self, tenant: TenantKey, limit: f64) -> f64 {
        let is_unknown = matches!(self.predecessor, Predecessor::Unknown);
        let recorded = self.recorded.as_ref().filter(|_| is_unknown);
        let recorded = recorded.and_then(|recorded| recorded.total(tenant));
        let own = self
            .accounts
            .get(&tenant)
            .map(|account| account.sent.total());
        recorded.map_or(0.0, |recorded| {
            f64::from(recorded).min(limit) + f64::from(own.unwrap_or_default())
        })
    }

    /// Returns this node's part of what all nodes used of a tenant's quota before it started, or `None`
    /// if no record was read.
    pub(super) fn recorded_share(
        &self,
        tenant: TenantKey,
        limit: f64,
        fleet: Fleet,
    ) -> Option<f64> {
        let recorded = self.recorded.as_ref()?;
        let total = f64::from(recorded.total(tenant)?).min(limit);
        if !self.accepts_callers {
            return Some(0.0);
        }
        Some(total / f64::from(fleet.nodes.max(1)))
    }

    /// Returns the recorded share of each tenant that this node has not received requests of. The
    /// fractions are rounded so that the shares of all nodes add up.
    pub(super) fn recorded_without_account(&self, fleet: Fleet) -> Vec<(TenantKey, u32)> {
        let recorded = self.recorded.iter().flat_map(RecordedUse::tenants);
        let others = recorded.filter(|tenant| !self.accounts.contains_key(tenant));
        let shares = others.filter_map(|tenant| {
            let share = self.recorded_share(tenant, f64::MAX, fleet)?;
            Some((tenant, self.round_share(tenant, share)))
        });
        shares.filter(|(_, share)| *share > 0).collect()
    }

    /// Rounds a share up or down at random, the same way each time.
    pub(super) fn round_share(&self, tenant: TenantKey, share: f64) -> u32 {
        let hash = xxh3_64_with_seed(&tenant.0.to_le_bytes(), !self.seed);
        let threshold = (hash >> 11) as f64 / (1u64 << 53) as f64;
        (share + threshold).floor() as u32
    }

    /// Returns the tenants of a group whose use is to be recorded, and their use.
    fn use_to_record(
        &self,
        group: RecordGroup,
        quota_of: &impl Fn(TenantKey) -> Option<Quota>,
    ) -> HashMap<TenantKey, u32> {
        let reported = self
            .reports
            .values()
            .flat_map(|report| report.history.keys());
        let recorded = self
            .recorded
            .iter()
            .flat_map(|recorded| recorded.sent.keys());
        let tenants = self.accounts.keys().chain(reported).chain(recorded);
        let tenants: BTreeSet<TenantKey> = tenants.copied().collect();
        let of_group = tenants
            .into_iter()
            .filter(|tenant| RecordGroup::of(*tenant) == group);
        let used = of_group.filter_map(|tenant| {
            let limit = self.rules.limit(quota_of(tenant)?);
            let total = self.total_use(tenant);
            let min = self.rules.tolerance(limit) * UNRECORDED_TOLERANCE_FRACTION;
            (f64::from(total) >= min).then_some((tenant, total))
        });
        used.collect()
    }

    /// Returns the known counts of a tenant at all nodes. After a restart, what was recorded before is
    /// included, although parts of it may be in the other nodes' reports too: a record may show more use
    /// than there was, but not less.
    fn counts_of(&self, tenant: TenantKey) -> impl Iterator<Item = &SlidingCount> {
        let recorded = self.recorded.as_ref();
        let recorded = recorded.filter(|_| matches!(self.predecessor, Predecessor::Unknown));
        let own = self.accounts.get(&tenant).map(|account| &account.sent);
        let reported = self.reports.values();
        let reported = reported.filter_map(move |report| report.history.get(&tenant));
        own.into_iter()
            .chain(self.predecessor.count(tenant))
            .chain(recorded.and_then(|recorded| recorded.sent.get(&tenant)))
            .chain(reported)
    }

    fn total_use(&self, tenant: TenantKey) -> u32 {
        self.counts_of(tenant).map(SlidingCount::total).sum()
    }

    fn aged_use(&self, now: Timestamp, tenant: TenantKey) -> Vec<AgedCount> {
        let first = self.slots.first_within(now, self.rules.window);
        let mut by_slot: BTreeMap<Slot, u32> = BTreeMap::new();
        for (slot, count) in self
            .counts_of(tenant)
            .flat_map(|sent| sent.slots_from(first))
        {
            *by_slot.entry(slot).or_default() += count;
        }
        let aged = by_slot.into_iter();
        group_by_age(aged.map(|(slot, count)| (self.slots.age_of(now, slot), count)))
    }
}
