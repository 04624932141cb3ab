//! Requests in flight of other nodes at the workers, from their periodic reports.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a report expires; nodes send reports more often, also when nothing changes.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1_200);

/// A hash that identifies a worker in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u32);

impl WorkerKey {
    /// Returns the key of a worker. Collisions make the load of two workers less
    /// accurate, and the end of one look like that of the other.
    pub fn of(id: &str) -> Self {
        let hash = xxh3_64(id.as_bytes());
        Self(u32::try_from(hash >> 32).expect("the upper half of 64 bits"))
    }
}

/// One node's requests in flight by worker.
#[derive(Clone, Debug)]
struct Report {
    at: Timestamp,
    counts: BTreeMap<WorkerKey, u32>,
}

/// The latest report of every other node, until it expires.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: BTreeMap<NodeId, Report>,
    totals: BTreeMap<WorkerKey, u32>,
}

impl PeerLoads {
    /// Replaces the report of a node.
    pub fn replace_report(
        &mut self,
        now: Timestamp,
        node: NodeId,
        counts: BTreeMap<WorkerKey, u32>,
    ) {
        self.drop_node(&node);
        for (key, count) in &counts {
            *self.totals.entry(*key).or_default() += count;
        }
        self.reports.insert(node, Report { at: now, counts });
    }

    /// Drops expired reports.
    pub fn drop_old(&mut self, now: Timestamp) {
        let is_old = |report: &Report| now.since(report.at) >= REPORT_LIFETIME;
        let reports = self.reports.iter();
        let old: Vec<NodeId> = reports
            .filter(|(_, report)| is_old(report))
            .map(|(node, _)| node.clone())
            .collect();
        for node in old {
            self.drop_node(&node);
        }
    }

    /// Drops the reported load of a worker that has restarted.
    pub fn forget_worker(&mut self, key: WorkerKey) {
        self.totals.remove(&key);
        for report in self.reports.values_mut() {
            report.counts.remove(&key);
        }
    }

    fn drop_node(&mut self, node: &NodeId) {
        let Some(report) = self.reports.remove(node) else {
            return;
        };
        for (key, count) in report.counts {
            if let Some(total) = self.totals.get_mut(&key) {
                *total = total.saturating_sub(count);
            }
        }
        self.totals.retain(|_, total| *total > 0);
    }

    /// Returns the reported requests in flight at a worker.
    pub fn at(&self, key: WorkerKey) -> u32 {
        self.totals.get(&key).copied().unwrap_or(0)
    }
}

/// Selects recipients in rotation if there are too many for one round.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Returns up to `max` elements, starting after those of the previous call.
    pub fn pick<T>(&mut self, mut all: Vec<T>, max: usize) -> Vec<T> {
        if all.len() > max {
            let start = self.next % all.len();
            all.rotate_left(start);
            all.truncate(max);
            self.next = start + max;
        }
        all
    }
}
