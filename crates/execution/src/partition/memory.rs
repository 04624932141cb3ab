//! Release of ended runs' engine memory, and removal of ended runs from the state.

use elderworks_protocol::journal::JournalBody;
use elderworks_types::{EngineId, RunId, Timestamp};

use super::Partition;
use crate::Effect;
use crate::soft_state::MemoryRelease;

/// Maximum number of runs removed by one record.
const MAX_FORGOTTEN_PER_RECORD: usize = 256;

impl Partition {
    /// Starts to release the engine memory of an ended run.
    pub(super) fn start_memory_release(&mut self, now: Timestamp, run: RunId) {
        if !self.journal.unreleased.contains(&run) {
            return;
        }
        let Some(state) = self.journal.runs.get(&run) else {
            return;
        };
        let release = MemoryRelease {
            engines: state.engines.clone(),
            repeat_at: now,
            backoff: self.settings.memory_backoff,
            appended: false,
        };
        self.soft.memory.insert(run, release);
        self.send_memory_releases(now, run);
    }

    /// Repeats the releases that are due.
    pub(super) fn repeat_memory_releases(&mut self, now: Timestamp) {
        let due: Vec<RunId> = self
            .soft
            .memory
            .iter()
            .filter(|(_, release)| !release.appended && release.repeat_at <= now)
            .map(|(run, _)| *run)
            .collect();
        for run in due {
            self.send_memory_releases(now, run);
        }
    }

    fn send_memory_releases(&mut self, now: Timestamp, run: RunId) {
        let limit = self.settings.memory_backoff_limit;
        let assume_acknowledged = self.settings.faults.release_not_retried();
        let Some(release) = self.soft.memory.get_mut(&run) else {
            return;
        };
        release.repeat_at = now + release.backoff;
        release.backoff = (release.backoff * 2).min(limit);
        let engines: Vec<EngineId> = release.engines.iter().cloned().collect();
        for engine in engines {
            self.counters.memory_releases_sent += 1;
            self.emit(Effect::ReleaseMemory {
                run,
                engine: engine.clone(),
            });
            if assume_acknowledged {
                self.on_memory_released(run, &engine);
            }
        }
    }

    pub(super) fn on_memory_released(&mut self, run: RunId, engine: &EngineId) {
        let Some(release) = self.soft.memory.get_mut(&run) else {
            return;
        };
        release.engines.remove(engine);
        if release.engines.is_empty() && !release.appended {
            release.appended = true;
            self.append(JournalBody::MemoryReleased { run });
        }
    }

    pub(super) fn on_engine_gone(&mut self, engine: &EngineId) {
        let holding: Vec<RunId> = self
            .soft
            .memory
            .iter()
            .filter(|(_, release)| release.engines.contains(engine))
            .map(|(run, _)| *run)
            .collect();
        for run in holding {
            self.on_memory_released(run, engine);
        }
    }

    pub(super) fn on_memory_release_journalled(&mut self, run: RunId) {
        self.soft.memory.remove(&run);
    }

    /// Removes ended runs that exceed the maximum number or age, if their memory was released.
    pub(super) fn forget_ended(&mut self, now: Timestamp) {
        if !self.is_serving() || self.soft.forget_in_flight || !self.log_reachable {
            return;
        }
        let surplus = self
            .journal
            .ended
            .len()
            .saturating_sub(self.settings.max_ended_runs);
        let runs: Vec<RunId> = self
            .journal
            .ended
            .iter()
            .enumerate()
            .take_while(|(position, (at, _))| {
                *position < surplus || now.since(*at) >= self.settings.retain_ended
            })
            .map(|(_, (_, run))| *run)
            .filter(|run| !self.journal.unreleased.contains(run))
            .take(MAX_FORGOTTEN_PER_RECORD)
            .collect();
        if runs.is_empty() {
            return;
        }
        self.soft.forget_in_flight = true;
        self.append(JournalBody::RunsForgotten { runs });
    }

    pub(super) fn on_runs_forgotten(&mut self, count: usize) {
        self.soft.forget_in_flight = false;
        self.counters.runs_forgotten += count as u64;
    }
}
