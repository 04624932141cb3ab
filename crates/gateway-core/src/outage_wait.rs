//! Limits how long a turn waits for a silent log before it is refused.
//!
//! A turn whose result must be stored cannot finish while the log is silent, so it is not started.
//! It waits as long as its caller has time for the turn itself and for a retry, and is then refused
//! with the time after which to retry. The wait ends early when the log answers again.

use std::time::Duration;

/// Time after which to retry a turn that was refused after an unsuccessful wait. Outages last
/// seconds, and callers with less time retry sooner.
pub const RETRY_AFTER: Duration = Duration::from_millis(900);

/// Minimum time reserved for running the turn once the log answers again.
const MIN_TURN_TIME: Duration = Duration::from_millis(150);

/// Returns how long a turn with `left` until its deadline waits for a silent log if `fraction` of that
/// time may be spent on waiting.
pub fn outage_wait(left: Duration, fraction: f64) -> Duration {
    let wait = left.mul_f64(fraction.clamp(0.0, 1.0));
    wait.min(left.saturating_sub(MIN_TURN_TIME))
}
