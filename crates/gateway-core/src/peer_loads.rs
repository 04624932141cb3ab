//! Requests that other nodes have under way at workers, as those nodes tell now and then.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// A report counts for this long; nodes repeat theirs more often, also when nothing changes.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1_200);

/// Stands for a worker's id in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u32);

impl WorkerKey {
    /// The key of a worker. Two workers may share one, which only blurs their load.
    pub fn of(id: &str) -> Self {
        let hash = xxh3_64(id.as_bytes());
        Self(u32::try_from(hash >> 32).expect("the upper half of 64 bits"))
    }
}

/// What one node has under way, by worker.
#[derive(Clone, Debug)]
struct Report {
    at: Timestamp,
    counts: BTreeMap<WorkerKey, u32>,
}

/// The latest report of every node that has told lately.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: BTreeMap<NodeId, Report>,
    totals: BTreeMap<WorkerKey, u32>,
}

impl PeerLoads {
    /// Takes a node's report in place of its earlier one.
    pub fn take(&mut self, now: Timestamp, node: NodeId, counts: BTreeMap<WorkerKey, u32>) {
        self.drop_node(&node);
        for (key, count) in &counts {
            *self.totals.entry(*key).or_default() += count;
        }
        self.reports.insert(node, Report { at: now, counts });
    }

    /// Drops reports that are too old to count.
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

    /// Drops what was told of a worker that has started again.
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

    /// Requests of the nodes that have told, at one worker.
    pub fn at(&self, key: WorkerKey) -> u32 {
        self.totals.get(&key).copied().unwrap_or(0)
    }
}

/// Whose turn it is to be told, where not all can be told at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rota {
    next: usize,
}

impl Rota {
    /// As many of all as are told at a time, beginning behind those who were told last.
    pub fn pick<T>(&mut self, mut all: Vec<T>, most: usize) -> Vec<T> {
        if all.len() > most {
            let start = self.next % all.len();
            all.rotate_left(start);
            all.truncate(most);
            self.next = start + most;
        }
        all
    }
}
