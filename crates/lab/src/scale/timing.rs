//! Processor time by event.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

/// A sample longer than this was interrupted by other work of the machine; it is left out of the
/// mean and counted.
const INTERRUPTED: Duration = Duration::from_millis(2);

/// If more than one in so many samples are that long, the event itself is slow: all are counted.
const SLOW_ONE_IN: u64 = 20;

/// Collects samples by event.
#[derive(Debug, Default)]
pub struct EventTimer {
    samples: BTreeMap<&'static str, Samples>,
}

#[derive(Debug, Default)]
struct Samples {
    count: u64,
    total: Duration,
    interrupted: u64,
    interrupted_total: Duration,
}

impl Samples {
    fn is_slow(&self) -> bool {
        self.interrupted * SLOW_ONE_IN > self.count + self.interrupted
    }

    fn time_of(&self, event: &'static str) -> EventTime {
        let (count, total, interrupted) = if self.is_slow() {
            let count = self.count + self.interrupted;
            (count, self.total + self.interrupted_total, 0)
        } else {
            (self.count, self.total, self.interrupted)
        };
        EventTime {
            event,
            count,
            mean_micros: total.as_secs_f64() * 1e6 / (count.max(1) as f64),
            interrupted,
        }
    }

    fn whole(&self) -> Duration {
        if self.is_slow() {
            return self.total + self.interrupted_total;
        }
        let share = (self.count + self.interrupted) as f64 / (self.count.max(1) as f64);
        self.total.mul_f64(share)
    }
}

/// Mean processor time of one kind of event.
#[derive(Clone, Debug, Serialize)]
pub struct EventTime {
    /// Which kind.
    pub event: &'static str,
    /// Samples in the mean.
    pub count: u64,
    /// Mean in microseconds.
    pub mean_micros: f64,
    /// Samples left out as interrupted.
    pub interrupted: u64,
}

impl EventTimer {
    /// Processor time of all events, those that were interrupted counted with the mean.
    pub fn total(&self) -> Duration {
        self.samples.values().map(Samples::whole).sum()
    }

    /// Runs `work` and counts its time under `event`.
    pub fn time<R>(&mut self, event: &'static str, work: impl FnOnce() -> R) -> R {
        let started = Instant::now();
        let result = work();
        let elapsed = started.elapsed();
        let samples = self.samples.entry(event).or_default();
        if elapsed > INTERRUPTED {
            samples.interrupted += 1;
            samples.interrupted_total += elapsed;
        } else {
            samples.count += 1;
            samples.total += elapsed;
        }
        result
    }

    /// Means by event, in order of name.
    pub fn means(&self) -> Vec<EventTime> {
        self.samples
            .iter()
            .map(|(event, samples)| samples.time_of(event))
            .collect()
    }
}
