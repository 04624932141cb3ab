//! How many engines are home to each first part of the prompts, and which.
//!
//! The engines of a part are the first ones in its rendezvous order, which is the same on every
//! node; only how far the homes reach in it follows from demand. If an engine goes, the parts
//! that it was home to move on by one engine each, and no other part moves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::demand::PrefixKey;

/// Fewest homes of a part, so that one engine's loss or spell of noise leaves another one.
const FEWEST_HOMES: f64 = 2.0;

/// Steps of the search for the shares; each halves the error.
const SEARCH_STEPS: u32 = 24;

/// One part as the search for homes sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartLoad {
    /// Its length in tokens.
    pub tokens: f64,
    /// How much it is asked for, compared with other parts.
    pub weight: f64,
}

/// The share of all engines that is home to each part: in proportion to demand, so that homes are
/// asked alike, as far as `room_tokens` of each engine's memory hold the parts.
pub fn home_shares(parts: &[PartLoad], room_tokens: f64, engines: usize) -> Vec<f64> {
    let least = (FEWEST_HOMES / engines.max(1) as f64).min(1.0);
    let share = |part: &PartLoad, scale: f64| (part.weight * scale).clamp(least, 1.0);
    let needed = |scale: f64| -> f64 {
        let tokens = parts.iter().map(|part| part.tokens * share(part, scale));
        tokens.sum()
    };
    let smallest = parts
        .iter()
        .map(|part| part.weight)
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
    parts.iter().map(|part| share(part, high)).collect()
}

/// Place of an engine in a part's order; the least is the part's first home.
pub fn place(part: PrefixKey, engine: &str) -> u64 {
    xxh3_64_with_seed(engine.as_bytes(), u64::from(part.0))
}

/// How many of so many engines a share stands for.
pub fn home_count(share: f64, engines: usize) -> usize {
    let homes = (share * engines as f64).ceil().max(FEWEST_HOMES);
    (homes as usize).min(engines)
}
