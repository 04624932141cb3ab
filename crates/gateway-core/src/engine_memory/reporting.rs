//! What a reader tells the other nodes, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use super::snapshots::{BELIEF_LIFETIME, MemorySnapshot};
use crate::peer_loads::WorkerKey;

/// Most parts of one engine that are told, those asked for most.
pub const MAX_REPORTED_PREFIXES: usize = 32;

/// Most engines that are told of at a time; the rest follow.
pub const MOST_ENGINES_TOLD: usize = 16;

/// What has not changed is told again after this long.
const REPEAT_INTERVAL: Duration = BELIEF_LIFETIME.checked_div(3).expect("three is not zero");

/// Shortest time between two words on one engine.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// What was told last of each engine.
#[derive(Clone, Debug, Default)]
pub struct MemoryReporter {
    told: BTreeMap<WorkerKey, (Timestamp, MemorySnapshot)>,
}

impl MemoryReporter {
    /// Those of the present beliefs that others are to be told now, the longest untold first.
    pub fn due(
        &mut self,
        now: Timestamp,
        present: BTreeMap<WorkerKey, MemorySnapshot>,
    ) -> Vec<(WorkerKey, MemorySnapshot)> {
        self.told.retain(|engine, _| present.contains_key(engine));
        let mut due: Vec<(WorkerKey, MemorySnapshot)> = present
            .into_iter()
            .filter(|(engine, belief)| self.is_due(now, *engine, belief))
            .collect();
        due.sort_by_key(|(engine, _)| self.told.get(engine).map(|(at, _)| *at));
        due.truncate(MOST_ENGINES_TOLD);
        for (engine, belief) in &due {
            self.told.insert(*engine, (now, belief.clone()));
        }
        due
    }

    fn is_due(&self, now: Timestamp, engine: WorkerKey, belief: &MemorySnapshot) -> bool {
        let Some((at, told)) = self.told.get(&engine) else {
            return true;
        };
        let has_changed = told.born != belief.born || told.prefixes != belief.prefixes;
        let since = now.since(*at);
        let is_repeat = since >= REPEAT_INTERVAL && told.observed_at < belief.observed_at;
        is_repeat || has_changed && since >= CHANGE_INTERVAL
    }
}
