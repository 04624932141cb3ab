//! What other nodes know of the requests that an earlier process of a node forwarded.
//!
//! A process that starts has lost its counts. The other nodes still have the last reports of the
//! process before it, which are at most a few report intervals old, and return them.

use std::collections::HashMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use crate::tenants::TenantKey;

use super::QuotaTracker;
use super::sliding::{SlidingCount, Slot};

/// Maximum time for which a process may have been unheard before the next one started. After a
/// longer time it may have been partitioned and have forwarded requests that nobody knows of.
const MAX_UNHEARD_TIME: Duration = Duration::from_millis(1_500);

/// Interval between two rounds of questions for the history of an earlier process.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of rounds. If no node answers, all of them have probably restarted too.
const MAX_ASK_ROUNDS: u32 = 6;

/// Resolution of the ages of requests in a [`UseHistory`].
const AGE_RESOLUTION: Duration = Duration::from_millis(250);

/// Requests of about the same age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedCount {
    /// Time since the requests were forwarded. They may be older by some report intervals.
    pub age: Duration,
    /// Number of requests.
    pub count: u32,
}

/// Requests that a process has forwarded in the last window, as far as another node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UseHistory {
    /// Time since the last report of the process.
    pub report_age: Duration,
    /// Requests of each reported tenant, oldest first.
    pub tenants: Vec<(TenantKey, Vec<AgedCount>)>,
}

/// Schedule of the questions for the history of an earlier process.
#[derive(Clone, Copy, Debug, Default)]
pub struct HistoryRounds {
    asked_at: Option<Timestamp>,
    rounds: u32,
}

impl HistoryRounds {
    /// Returns whether a round of questions is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let is_early = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        !is_early && self.rounds < MAX_ASK_ROUNDS
    }

    /// Records that a round of questions is sent.
    pub fn note_asked(&mut self, now: Timestamp) {
        self.asked_at = Some(now);
        self.rounds += 1;
    }
}

/// Knowledge about the process that ran on this machine before.
#[derive(Clone, Debug)]
pub(super) enum Predecessor {
    /// There was none.
    None,
    /// It may have forwarded requests.
    Unknown,
    /// It forwarded these requests.
    Known(HashMap<TenantKey, SlidingCount>),
}

impl Predecessor {
    /// Drops requests that were forwarded before the first slot of the window.
    pub(super) fn forget_before(&mut self, first: Slot) {
        let Self::Known(counts) = self else {
            return;
        };
        for count in counts.values_mut() {
            count.forget_before(first);
        }
        counts.retain(|_, count| count.total() > 0);
    }

    /// Returns the known requests of each tenant.
    pub(super) fn counts(&self) -> impl Iterator<Item = (TenantKey, u32)> {
        let known = match self {
            Self::Known(counts) => Some(counts),
            Self::None | Self::Unknown => None,
        };
        let counts = known.into_iter().flatten();
        counts.map(|(tenant, count)| (*tenant, count.total()))
    }

    /// Returns the known requests of a tenant by time.
    pub(super) fn count(&self, tenant: TenantKey) -> Option<&SlidingCount> {
        match self {
            Self::Known(counts) => counts.get(&tenant),
            Self::None | Self::Unknown => None,
        }
    }

    /// Returns the requests of a tenant if they are known.
    pub(super) fn known(&self, tenant: TenantKey) -> Option<u32> {
        match self {
            Self::None => Some(0),
            Self::Unknown => None,
            Self::Known(counts) => Some(counts.get(&tenant).map_or(0, SlidingCount::total)),
        }
    }
}

/// Groups counts into spans of [`AGE_RESOLUTION`]. Each group gets the lowest age of its span, so that no
/// request is taken to be older than it is. Expects the oldest first, and returns them so.
pub(super) fn group_by_age(counts: impl Iterator<Item = (Duration, u32)>) -> Vec<AgedCount> {
    let mut groups: Vec<AgedCount> = Vec::new();
    for (exact, count) in counts {
        let spans = exact.as_micros() / AGE_RESOLUTION.as_micros();
        let age = AGE_RESOLUTION * u32::try_from(spans).unwrap_or(u32::MAX);
        match groups.last_mut() {
            Some(last) if last.age == age => last.count += count,
            _ => groups.push(AgedCount { age, count }),
        }
    }
    groups
}

impl QuotaTracker {
    /// Drops requests before the first slot of the window from the histories of other nodes.
    pub(super) fn forget_histories(&mut self, first: Slot) {
        for report in self.reports.values_mut() {
            for sent in report.history.values_mut() {
                sent.forget_before(first);
            }
            report.history.retain(|_, sent| sent.total() > 0);
            report.heard.forget_before(first);
        }
    }

    /// Returns the time since this process started.
    pub fn uptime(&self, now: Timestamp) -> Duration {
        now.since(self.started)
    }

    /// Returns whether other nodes should be asked what an earlier process on this machine forwarded.
    pub fn needs_history(&self, now: Timestamp) -> bool {
        matches!(self.predecessor, Predecessor::Unknown)
            && now.since(self.started) < self.rules.window
    }

    /// Returns what is known of the requests that a node forwarded before its current process started,
    /// `uptime` ago. Returns `None` if this process was not running then or has not heard from the node
    /// within the last window before.
    pub fn history_of(
        &self,
        now: Timestamp,
        node: &NodeId,
        uptime: Duration,
    ) -> Option<UseHistory> {
        if now.since(self.started) <= uptime {
            return None;
        }
        let report = self.reports.get(node)?;
        let slots = self.slots;
        let first = slots.first_within(now, self.rules.window);
        let end = slots.at(now - uptime);
        let before_start = |(slot, _): &(Slot, u32)| *slot <= end;
        let heard = report.heard.slots_from(first).filter(before_start);
        let (last_heard, _) = heard.last()?;
        let tenants = report.history.iter().filter_map(|(tenant, sent)| {
            let counts = sent.slots_from(first).filter(before_start);
            let aged = counts.map(|(slot, count)| (slots.age_of(now, slot), count));
            let aged = group_by_age(aged);
            (!aged.is_empty()).then_some((*tenant, aged))
        });
        Some(UseHistory {
            report_age: slots.age_of(now, last_heard),
            tenants: tenants.collect(),
        })
    }

    /// Records what another node knows of the requests that the earlier process on this machine
    /// forwarded. Of several answers the one with the most requests of a tenant counts, since reports
    /// can be lost.
    pub fn take_history(&mut self, now: Timestamp, history: &UseHistory) {
        let uptime = now.since(self.started);
        let unheard = history.report_age.saturating_sub(uptime);
        if unheard > MAX_UNHEARD_TIME || matches!(self.predecessor, Predecessor::None) {
            return;
        }
        if matches!(self.predecessor, Predecessor::Unknown) {
            self.predecessor = Predecessor::Known(HashMap::new());
        }
        let slots = self.slots;
        let Predecessor::Known(known) = &mut self.predecessor else {
            return;
        };
        for (tenant, counts) in &history.tenants {
            let mut told = SlidingCount::default();
            for AgedCount { age, count } in counts {
                told.add_many(slots.at(now - *age), *count);
            }
            let before = known.entry(*tenant).or_default();
            if told.total() > before.total() {
                *before = told;
            }
        }
    }
}
