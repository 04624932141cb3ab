//! Consistent hashing of the run with bounded load.

use elderworks_placement::event::ReadyCall;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineView, Strategy};

/// No engine gets a call while it has more than this many times the mean number of requests.
const LOAD_BOUND: f64 = 1.25;

/// The engine that the run's root hashes to; the next in the run's order where that one is over
/// its bound.
pub struct ConsistentHashing;

impl Strategy for ConsistentHashing {
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize {
        let total: usize = engines.iter().map(EngineView::requests).sum();
        let bound = ((total + 1) as f64 * LOAD_BOUND / engines.len() as f64).ceil() as usize;
        let root = call.ticket.call.run.root;
        let mut order: Vec<usize> = (0..engines.len()).collect();
        let weight = |view: &EngineView| xxh3_64_with_seed(view.engine.as_str().as_bytes(), root);
        order.sort_by_key(|index| weight(&engines[*index]));
        let within = order
            .iter()
            .copied()
            .find(|index| engines[*index].requests() < bound);
        within.unwrap_or(order[0])
    }
}
