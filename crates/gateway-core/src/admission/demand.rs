//! What waits at other nodes, as they tell it now and then.

use std::collections::BTreeMap;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::peer_loads::REPORT_LIFETIME;

/// Levels of urgency that are told apart; ranks beyond them count as the last.
pub const URGENCY_LEVELS: usize = 10;

/// The level of a rank.
pub(super) fn level_of(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_LEVELS - 1)
}

/// Stands for a service's name in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The key of a service.
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()))
    }
}

/// How many turns wait, by level of urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting(pub [u32; URGENCY_LEVELS]);

impl Waiting {
    /// All levels together.
    pub fn total(&self) -> u32 {
        self.0
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// The level of a rank.
    pub(super) fn alike(&self, urgency: u8) -> u32 {
        self.0[level_of(urgency)]
    }

    /// Levels that are more urgent than a rank.
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

/// The latest word of every node that has told lately.
#[derive(Debug, Default)]
pub(super) struct PeerDemand {
    reports: BTreeMap<NodeId, (Timestamp, BTreeMap<ServiceKey, Waiting>)>,
}

impl PeerDemand {
    pub(super) fn take(
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

    /// What waits at the others for one service.
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
