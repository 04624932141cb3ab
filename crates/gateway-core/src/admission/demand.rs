//! Turns that wait at other nodes, from their periodic reports.

use std::collections::BTreeMap;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::peer_loads::REPORT_LIFETIME;

/// Number of urgency levels; higher ranks count as the last level.
pub const URGENCY_LEVELS: usize = 10;

/// Returns the urgency level of a rank.
pub(super) fn level_of(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_LEVELS - 1)
}

/// A hash that identifies a service in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// Returns the key of a service.
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()))
    }
}

/// The number of waiting turns at each urgency level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting(pub [u32; URGENCY_LEVELS]);

impl Waiting {
    /// Returns the number of turns at all levels.
    pub fn total(&self) -> u32 {
        self.0
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the number of turns at the level of a rank.
    pub(super) fn same_level(&self, urgency: u8) -> u32 {
        self.0[level_of(urgency)]
    }

    /// Returns the number of turns at more urgent levels than that of a rank.
    pub(super) fn more_urgent_than(&self, urgency: u8) -> u32 {
        let levels = self.0.iter().take(level_of(urgency));
        levels.fold(0, |sum, count| sum.saturating_add(*count))
    }

    fn add(&mut self, other: &Self) {
        for (own, more) in self.0.iter_mut().zip(other.0) {
            *own = own.saturating_add(more);
        }
    }
}

/// The latest report of every other node, until it expires.
#[derive(Debug, Default)]
pub(super) struct PeerDemand {
    reports: BTreeMap<NodeId, (Timestamp, BTreeMap<ServiceKey, Waiting>)>,
}

impl PeerDemand {
    pub(super) fn apply_report(
        &mut self,
        now: Timestamp,
        node: NodeId,
        waiting: BTreeMap<ServiceKey, Waiting>,
    ) {
        if waiting.is_empty() {
            self.reports.remove(&node);
        } else {
            self.reports.insert(node, (now, waiting));
        }
    }

    pub(super) fn drop_old(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
    }

    /// Returns the turns that wait for a service at all other nodes.
    pub(super) fn waiting(&self, service: ServiceKey) -> Waiting {
        let mut sum = Waiting::default();
        for (_, services) in self.reports.values() {
            if let Some(waiting) = services.get(&service) {
                sum.add(waiting);
            }
        }
        sum
    }
}
