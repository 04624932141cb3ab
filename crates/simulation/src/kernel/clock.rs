//! Virtual time, and the inaccurate clocks of simulated processes.

use std::time::Duration;

use elderworks_types::Timestamp;

/// True virtual time, in microseconds since the start of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the instant `duration` later, saturating at the maximum.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::fmt::Display for Instant {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = self.0 / 1_000_000;
        let micros = self.0 % 1_000_000;
        write!(formatter, "{seconds:4}.{micros:06}")
    }
}

const PARTS_PER_MILLION: i128 = 1_000_000;

/// Clock of one process, with an initial offset and a constant drift.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Reading at the start of the simulation.
    pub offset: Duration,
    /// Drift relative to true time in parts per million; positive if the clock runs fast.
    pub drift_ppm: i64,
}

impl Clock {
    /// Returns the reading of this clock at true time `now`.
    pub fn read(&self, now: Instant) -> Timestamp {
        let gained = i128::from(now.0) * i128::from(self.drift_ppm) / PARTS_PER_MILLION;
        let elapsed = (i128::from(now.0) + gained).max(0);
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        Timestamp(elapsed) + self.offset
    }

    /// Returns the true time that passes while this clock advances by `interval`.
    pub fn true_duration(&self, interval: Duration) -> Duration {
        let scaled = interval.as_micros() as i128 * PARTS_PER_MILLION;
        let micros = scaled / (PARTS_PER_MILLION + i128::from(self.drift_ppm));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
