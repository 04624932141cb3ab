//! How long a turn waits for a silent log before it is begun or refused.
//!
//! A turn whose end must be durable cannot end while the log is silent. It is not begun: it waits while
//! its caller has time for the turn itself and for another try, and is then refused, with when to come
//! back. The wait ends with the silence.

use std::time::Duration;

/// When to come back after a wait in vain: an outage lasts seconds rather than moments, and a caller
/// with less time comes back sooner.
pub const RETRY_AFTER: Duration = Duration::from_millis(900);

/// What a turn needs at least once the log is back.
const TIME_TO_RUN: Duration = Duration::from_millis(150);

/// How long a turn that has `left` until its deadline waits for a silent log, if `share` of that is for
/// waiting.
pub fn outage_wait(left: Duration, share: f64) -> Duration {
    let wait = left.mul_f64(share.clamp(0.0, 1.0));
    wait.min(left.saturating_sub(TIME_TO_RUN))
}
