//! Selection of the snapshots that a reader reports to the other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::snapshots::{MemorySnapshot, SNAPSHOT_LIFETIME};
use crate::peer_loads::WorkerKey;

/// Maximum number of prefixes in the report on one engine, those with the highest demand.
pub const MAX_REPORTED_PREFIXES: usize = 32;

/// Maximum number of engines in one report; the rest is reported in the following ones.
pub const MAX_REPORTED_ENGINES: usize = 16;

/// Interval at which unchanged snapshots are reported.
const REPEAT_INTERVAL: Duration = SNAPSHOT_LIFETIME.checked_div(3).expect("three is not zero");

/// Minimum time between two reports on one engine.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// The last reported snapshot of each engine.
#[derive(Clone, Debug, Default)]
pub struct MemoryReporter {
    last_reports: BTreeMap<WorkerKey, (Timestamp, MemorySnapshot)>,
}

impl MemoryReporter {
    /// Returns the current snapshots that should be reported now, the least recently reported first.
    pub fn due(
        &mut self,
        now: Timestamp,
        current: BTreeMap<WorkerKey, MemorySnapshot>,
    ) -> Vec<(WorkerKey, MemorySnapshot)> {
        self.last_reports
            .retain(|engine, _| current.contains_key(engine));
        let mut due: Vec<(WorkerKey, MemorySnapshot)> = current
            .into_iter()
            .filter(|(engine, snapshot)| self.is_due(now, *engine, snapshot))
            .collect();
        due.sort_by_key(|(engine, _)| self.last_reports.get(engine).map(|(at, _)| *at));
        due.truncate(MAX_REPORTED_ENGINES);
        for (engine, snapshot) in &due {
            self.last_reports.insert(*engine, (now, snapshot.clone()));
        }
        due
    }

    fn is_due(&self, now: Timestamp, engine: WorkerKey, snapshot: &MemorySnapshot) -> bool {
        let Some((at, last)) = self.last_reports.get(&engine) else {
            return true;
        };
        let has_changed = last.born != snapshot.born || last.prefixes != snapshot.prefixes;
        let since = now.since(*at);
        let is_repeat = since >= REPEAT_INTERVAL && last.observed_at < snapshot.observed_at;
        is_repeat || has_changed && since >= CHANGE_INTERVAL
    }
}
