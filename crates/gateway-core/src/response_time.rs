//! Adaptive time-outs based on observed response times.

use std::time::Duration;

/// Minimum time-out, to tolerate scheduling delays of this process.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time-out.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time-out before the first response.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Computes a time-out from the smoothed response time and its deviation (see RFC 6298).
///
/// The time-out doesn't back off while there are no responses. Calls continue after their time-out,
/// and late responses are recorded too, so the estimate adapts to a service that has become slow.
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
    /// Returns how long to wait for the next response.
    pub fn timeout(&self) -> Duration {
        let base = match self.estimate {
            Some(estimate) => estimate.smoothed + estimate.deviation * 4,
            None => INITIAL_TIMEOUT,
        };
        base.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Records how long a response took.
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
