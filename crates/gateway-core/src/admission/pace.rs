//! Estimates of how long turns run at a service and how fast new ones arrive.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::demand::URGENCY_LEVELS;

/// Weight of the latest turn in the moving average.
const MEAN_WEIGHT: f64 = 0.03;

/// Estimated turn time before any turn has completed.
const INITIAL_TURN_TIME: Duration = Duration::from_millis(250);

/// Number of completed turns before turns are refused on the basis of the estimate.
const MIN_SAMPLES: u32 = 8;

/// Fraction of the mean that is used as the minimum turn time.
const MIN_TURN_FRACTION: f64 = 0.5;

/// Lower bound of the mean in rate calculations, in seconds.
const MIN_MEAN_S: f64 = 0.001;

/// Moving average of the time that a turn runs at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct TurnTime {
    mean_s: f64,
    samples: u32,
}

impl Default for TurnTime {
    fn default() -> Self {
        Self {
            mean_s: INITIAL_TURN_TIME.as_secs_f64(),
            samples: 0,
        }
    }
}

impl TurnTime {
    pub(super) fn record(&mut self, took: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_s += (took.as_secs_f64() - self.mean_s) * weight;
    }

    /// Returns whether the estimate is based on enough turns to refuse others because of it.
    pub(super) fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the minimum time that a turn is expected to run.
    pub(super) fn min_turn_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s * MIN_TURN_FRACTION)
    }

    /// Returns how many of the turns that occupy `taken` places are expected to complete within
    /// `time`.
    pub(super) fn completions_within(&self, time: Duration, taken: f64) -> f64 {
        taken * time.as_secs_f64() / self.mean_s.max(time.as_secs_f64())
    }

    /// Returns the turns that complete per second while all `places` are taken.
    pub(super) fn completion_rate(&self, places: f64) -> f64 {
        places.max(1.0) / self.mean_s.max(MIN_MEAN_S)
    }
}

/// Half-life of the arrival counts in seconds. Short enough to detect the end of a burst while
/// turns of the burst still wait.
const HALF_LIFE_S: f64 = 0.3;

/// Decaying counts of arrived turns, by urgency level.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    recent: [f64; URGENCY_LEVELS],
    at: Timestamp,
}

impl ArrivalRate {
    pub(super) fn record(&mut self, now: Timestamp, level: usize) {
        let elapsed = now.since(self.at).as_secs_f64();
        if elapsed > 0.0 {
            let factor = 0.5_f64.powf(elapsed / HALF_LIFE_S);
            self.recent.iter_mut().for_each(|count| *count *= factor);
            self.at = now;
        }
        self.recent[level] += 1.0;
    }

    /// Returns the rate at which more urgent turns than those of `level` arrive, in turns per
    /// second.
    pub(super) fn more_urgent_than(&self, level: usize) -> f64 {
        let recent: f64 = self.recent.iter().take(level).sum();
        recent * std::f64::consts::LN_2 / HALF_LIFE_S
    }
}
