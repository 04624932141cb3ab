//! Random, round-robin and least-loaded selection.

use elderworks_placement::event::ReadyCall;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineView, Strategy};

/// Chooses engines uniformly at random.
pub struct RandomChoice {
    random: ChaCha8Rng,
}

impl RandomChoice {
    /// Creates a strategy with a seeded random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Strategy for RandomChoice {
    fn choose(&mut self, _call: &ReadyCall, engines: &[EngineView]) -> usize {
        self.random.random_range(0..engines.len())
    }
}

/// Chooses the engines in rotation.
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Creates a rotation; the seed determines the first engine, so that nodes start at different
    /// ones.
    pub fn new(seed: u64) -> Self {
        let next = (seed % 1_024) as usize;
        Self { next }
    }
}

impl Strategy for RoundRobin {
    fn choose(&mut self, _call: &ReadyCall, engines: &[EngineView]) -> usize {
        self.next += 1;
        self.next % engines.len()
    }
}

/// Chooses the engine with the fewest requests.
pub struct LeastLoaded;

impl Strategy for LeastLoaded {
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize {
        least_loaded(call, engines, |_| true).expect("there are engines")
    }
}

/// Returns the index of the engine with the fewest requests among those that qualify. Ties are
/// broken by a hash of the call and the engine.
pub fn least_loaded(
    call: &ReadyCall,
    engines: &[EngineView],
    qualifies: impl Fn(usize) -> bool,
) -> Option<usize> {
    let id = call.ticket.call;
    let seed = id.run.root ^ id.run.child ^ u64::from(id.number.0);
    (0..engines.len())
        .filter(|index| qualifies(*index))
        .min_by_key(|index| {
            let tie_breaker = xxh3_64_with_seed(engines[*index].engine.as_str().as_bytes(), seed);
            (engines[*index].requests(), tie_breaker)
        })
}
