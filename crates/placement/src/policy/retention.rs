//! Retention of the blocks of paused runs, and their release when a run ends.

use std::time::Duration;

use elderworks_types::{RunId, Timestamp};

use super::Placement;
use crate::Effect;
use crate::runs::KnownRun;

/// Length of a lease, as a multiple of the expected pause.
const LEASE_PAUSE_MULTIPLE: u32 = 4;
/// Minimum length of a lease.
const MIN_LEASE: Duration = Duration::from_secs(2);
/// Maximum length of a lease.
const MAX_LEASE: Duration = Duration::from_secs(60);

impl Placement {
    /// Retains the blocks of a paused run on the engine of its last call.
    pub(super) fn run_paused(
        &mut self,
        now: Timestamp,
        run: RunId,
        expected_reuse: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.runs.get_mut(run) else {
            return;
        };
        let Some(home) = known.home else {
            return;
        };
        if known.paused_at.replace(now).is_none() {
            self.engines.get_mut(home).paused_blocks += known.blocks;
        }
        let pause = expected_reuse.unwrap_or_else(|| self.estimates.pause(&known.program));
        effects.push(Effect::Retain {
            run,
            engine: self.engines.get(home).id.clone(),
            lease: (pause * LEASE_PAUSE_MULTIPLE).clamp(MIN_LEASE, MAX_LEASE),
        });
    }

    /// Records the end of a run and releases its blocks.
    pub(super) fn run_ended(&mut self, run: RunId, effects: &mut Vec<Effect>) {
        let Some(known) = self.runs.remove(run) else {
            return;
        };
        if known.paused_at.is_some()
            && let Some(home) = known.home
        {
            let engine = self.engines.get_mut(home);
            engine.paused_blocks = engine.paused_blocks.saturating_sub(known.blocks);
        }
        self.estimates.record_run(&known.program, known.turns);
        self.drop_blocks(run, &known, effects);
    }

    /// Releases the blocks of a run on all engines that may hold them.
    pub(super) fn drop_blocks(&self, run: RunId, known: &KnownRun, effects: &mut Vec<Effect>) {
        for slot in &known.holders {
            effects.push(Effect::Drop {
                run,
                engine: self.engines.get(*slot).id.clone(),
            });
        }
    }
}
