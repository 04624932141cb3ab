//! How many requests of a service a node has under way, smoothed.

use std::time::Duration;

use elderworks_types::Timestamp;

/// A change of the number shows in the smoothed one to two thirds after this long.
const SMOOTHING: Duration = Duration::from_millis(1_000);

/// Requests of one service under way from this node, wherever they run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    in_flight: u32,
    smoothed: f64,
    updated: Timestamp,
}

impl Demand {
    /// Notes that a request starts.
    pub fn note_start(&mut self, now: Timestamp) {
        self.advance(now);
        self.in_flight += 1;
    }

    /// Notes that a request ends.
    pub fn note_end(&mut self, now: Timestamp) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The smoothed number of requests under way.
    pub fn smoothed(&self, now: Timestamp) -> f64 {
        let mut present = *self;
        present.advance(now);
        present.smoothed
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let kept = (-elapsed / SMOOTHING.as_secs_f64()).exp();
        let target = f64::from(self.in_flight);
        self.smoothed = target + (self.smoothed - target) * kept;
        self.updated = now;
    }
}
