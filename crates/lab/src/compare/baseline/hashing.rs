//! Consistent hashing of runs with bounded loads.

use elderworks_placement::event::ReadyCall;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{EngineView, Strategy};

/// Maximum ratio between an engine's requests and the mean over all engines.
const MAX_LOAD_RATIO: f64 = 1.25;

/// Chooses the first engine below the load bound, in an order derived from the hash of the root
/// run.
pub struct ConsistentHashing;

impl Strategy for ConsistentHashing {
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize {
        let total: usize = engines.iter().map(EngineView::requests).sum();
        let bound = ((total + 1) as f64 * MAX_LOAD_RATIO / engines.len() as f64).ceil() as usize;
        let root = call.ticket.call.run.root;
        let mut order: Vec<usize> = (0..engines.len()).collect();
        let weight = |view: &EngineView| xxh3_64_with_seed(view.engine.as_str().as_bytes(), root);
        order.sort_by_key(|index| weight(&engines[*index]));
        let below_bound = order
            .iter()
            .copied()
            .find(|index| engines[*index].requests() < bound);
        below_bound.unwrap_or(order[0])
    }
}
