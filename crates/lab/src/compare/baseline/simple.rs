//! Random, round robin and least loaded.

use elderworks_placement::event::ReadyCall;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineView, Strategy};

/// Any engine, with equal chances.
pub struct RandomChoice {
    random: ChaCha8Rng,
}

impl RandomChoice {
    /// Draws from this seed.
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

/// Each engine in turn.
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Nodes with different seeds begin at different engines.
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

/// The engine with the fewest requests.
pub struct LeastLoaded;

impl Strategy for LeastLoaded {
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize {
        least_loaded(call, engines, |_| true).expect("there are engines")
    }
}

/// Index of the engine with the fewest requests among those that qualify; ties fall by chance.
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
            let chance = xxh3_64_with_seed(engines[*index].engine.as_str().as_bytes(), seed);
            (engines[*index].requests(), chance)
        })
}
