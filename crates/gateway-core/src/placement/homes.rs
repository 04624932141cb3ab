//! Which engines are home to each prompt prefix.
//!
//! The homes of a prefix are the first engines in its rendezvous hashing order, which is the same
//! on every node; only their number depends on demand. When an engine leaves, each prefix that it
//! was home to gets one other engine, and no other prefix moves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::demand::PrefixKey;

/// Minimum number of homes of a prefix, so that the loss of one engine leaves another.
const MIN_HOMES: f64 = 2.0;

/// Number of bisection steps in [`home_fractions`].
const SEARCH_STEPS: u32 = 24;

/// Length and relative demand of one prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixLoad {
    /// Length of the prefix in tokens.
    pub tokens: f64,
    /// Demand relative to the other prefixes.
    pub weight: f64,
}

/// Returns the fraction of engines that are home to each prefix.
///
/// Fractions are proportional to demand, to spread the load evenly over the homes, and as large as
/// `room_tokens` of each engine's memory allow.
pub fn home_fractions(prefixes: &[PrefixLoad], room_tokens: f64, engines: usize) -> Vec<f64> {
    let min_fraction = (MIN_HOMES / engines.max(1) as f64).min(1.0);
    let fraction =
        |prefix: &PrefixLoad, scale: f64| (prefix.weight * scale).clamp(min_fraction, 1.0);
    let needed = |scale: f64| -> f64 {
        let tokens = prefixes
            .iter()
            .map(|prefix| prefix.tokens * fraction(prefix, scale));
        tokens.sum()
    };
    let smallest = prefixes
        .iter()
        .map(|prefix| prefix.weight)
        .fold(f64::MAX, f64::min);
    let mut low = 0.0;
    let mut high = 1.0 / smallest.max(f64::MIN_POSITIVE);
    if needed(high) > room_tokens {
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            if needed(middle) > room_tokens {
                high = middle;
            } else {
                low = middle;
            }
        }
        high = low;
    }
    prefixes
        .iter()
        .map(|prefix| fraction(prefix, high))
        .collect()
}

/// Returns the rank of an engine in a prefix's rendezvous order; the lowest is the first home.
pub fn rendezvous_rank(prefix: PrefixKey, engine: &str) -> u64 {
    xxh3_64_with_seed(engine.as_bytes(), u64::from(prefix.0))
}

/// Returns the number of homes for a fraction of `engines`, at least `MIN_HOMES` if there are
/// that many.
pub fn home_count(fraction: f64, engines: usize) -> usize {
    let homes = (fraction * engines as f64).ceil().max(MIN_HOMES);
    (homes as usize).min(engines)
}
