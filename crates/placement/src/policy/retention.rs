//! What engines keep for paused runs, and what they drop.

use std::time::Duration;

use elderworks_types::{RunId, Timestamp};

use super::Placement;
use crate::Effect;
use crate::runs::KnownRun;

/// Paused blocks are kept for this many expected pauses.
const LEASE_PAUSES: u32 = 4;
const SHORTEST_LEASE: Duration = Duration::from_secs(2);
const LONGEST_LEASE: Duration = Duration::from_secs(60);

impl Placement {
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
            lease: (pause * LEASE_PAUSES).clamp(SHORTEST_LEASE, LONGEST_LEASE),
        });
    }

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
        self.estimates.run_ended(&known.program, known.turns);
        self.drop_blocks(run, &known, effects);
    }

    pub(super) fn drop_blocks(&self, run: RunId, known: &KnownRun, effects: &mut Vec<Effect>) {
        for slot in &known.holders {
            effects.push(Effect::Drop {
                run,
                engine: self.engines.get(*slot).id.clone(),
            });
        }
    }
}
