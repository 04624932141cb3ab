//! How fast the turns of a service end.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::demand::URGENCY_LEVELS;

/// Weight of the latest turn in the mean. Some thirty turns outweigh the past; a node sees as many
/// in a second of load.
const WEIGHT: f64 = 0.03;

/// Time of a turn before any has ended.
const FIRST_GUESS: Duration = Duration::from_millis(250);

/// Turns that must have ended before anything is refused by their mean.
const EVIDENCE: u32 = 8;

/// Part of the mean below which turns hardly ever end.
const LEAST_PART: f64 = 0.5;

/// Least mean time of a turn that is reckoned with, in seconds.
const SHORTEST: f64 = 0.001;

/// The mean time of a turn at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    mean: f64,
    seen: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            mean: FIRST_GUESS.as_secs_f64(),
            seen: 0,
        }
    }
}

impl Pace {
    pub(super) fn note(&mut self, took: Duration) {
        self.seen = self.seen.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.seen));
        self.mean += (took.as_secs_f64() - self.mean) * weight;
    }

    /// Whether the mean rests on enough turns to refuse others by it.
    pub(super) fn is_known(&self) -> bool {
        self.seen >= EVIDENCE
    }

    /// The least time that a turn takes.
    pub(super) fn least_turn(&self) -> Duration {
        Duration::from_secs_f64(self.mean * LEAST_PART)
    }

    /// How many of the turns that occupy `taken` places end within a time.
    pub(super) fn ends_within(&self, time: Duration, taken: f64) -> f64 {
        taken * time.as_secs_f64() / self.mean.max(time.as_secs_f64())
    }

    /// Turns that end in a second while `places` are all taken.
    pub(super) fn rate(&self, places: f64) -> f64 {
        places.max(1.0) / self.mean.max(SHORTEST)
    }
}

/// Time in which arrivals count half: long enough for a steady figure, short enough that the end of
/// a burst is seen while turns of the burst still wait.
const HALF_LIFE_S: f64 = 0.3;

/// How many turns arrive in a second, by level of urgency.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Inflow {
    recent: [f64; URGENCY_LEVELS],
    at: Timestamp,
}

impl Inflow {
    pub(super) fn note(&mut self, now: Timestamp, level: usize) {
        let passed = now.since(self.at).as_secs_f64();
        if passed > 0.0 {
            let factor = 0.5_f64.powf(passed / HALF_LIFE_S);
            self.recent.iter_mut().for_each(|count| *count *= factor);
            self.at = now;
        }
        self.recent[level] += 1.0;
    }

    /// Turns that are more urgent than those of a level.
    pub(super) fn more_urgent_than(&self, level: usize) -> f64 {
        let recent: f64 = self.recent.iter().take(level).sum();
        recent * std::f64::consts::LN_2 / HALF_LIFE_S
    }
}
