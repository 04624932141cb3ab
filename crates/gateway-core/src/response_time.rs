//! How long to wait for an answer, from how long answers have taken.

use std::time::Duration;

/// Shortest time-out: answers may be held up by our own processor for a while.
const SHORTEST: Duration = Duration::from_millis(150);

/// Longest time-out.
const LONGEST: Duration = Duration::from_millis(1_200);

/// Time-out before the first answer.
const INITIAL: Duration = Duration::from_millis(300);

/// A time-out of a few deviations above the smoothed response time (after RFC 6298).
///
/// It does not grow while nothing is answered: calls that were given up go on, and the time of an
/// answer that comes late counts like any other, so the estimate follows a service that has become
/// slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimer {
    estimate: Option<Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    smoothed: Duration,
    deviation: Duration,
}

impl ResponseTimer {
    /// How long to wait for the next answer.
    pub fn timeout(&self) -> Duration {
        let base = match self.estimate {
            Some(estimate) => estimate.smoothed + estimate.deviation * 4,
            None => INITIAL,
        };
        base.clamp(SHORTEST, LONGEST)
    }

    /// Notes how long an answer took.
    pub fn note_answer(&mut self, took: Duration) {
        let estimate = match self.estimate {
            None => Estimate {
                smoothed: took,
                deviation: took / 2,
            },
            Some(known) => Estimate {
                smoothed: known.smoothed * 7 / 8 + took / 8,
                deviation: known.deviation * 3 / 4 + known.smoothed.abs_diff(took) / 4,
            },
        };
        self.estimate = Some(estimate);
    }
}
