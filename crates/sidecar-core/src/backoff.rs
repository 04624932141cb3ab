//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Delay after the first failure.
pub const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Upper limit of the delay.
pub const MAX_DELAY: Duration = Duration::from_secs(1);

/// Returns the delay before the next attempt after `failures` consecutive failures.
///
/// The delay doubles with each failure and is then shortened at random by up to half, so that
/// sidecars don't retry in lockstep.
pub fn delay(failures: u32, random: &mut impl Rng) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let full = INITIAL_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
    full.mul_f64(random.random_range(0.5..=1.0))
}
