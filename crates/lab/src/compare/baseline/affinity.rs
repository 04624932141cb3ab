//! Prefix affinity, as in common cache-aware routers.

use std::collections::BTreeMap;

use elderworks_placement::event::{CacheChange, ReadyCall};
use elderworks_types::EngineId;
use elderworks_types::text::{BlockHash, BlockSet};

use super::simple::least_loaded;
use super::{EngineView, Strategy};

/// Shorter matches count as none: they are the system prompt that most engines hold.
const LEAST_MATCH: f64 = 0.5;
/// Affinity gives way when the fullest engine has more than this many requests above the emptiest,
const IMBALANCE_REQUESTS: usize = 32;
/// and this many times as many.
const IMBALANCE_RATIO: f64 = 1.5;

/// The engine that holds the longest part of the prompt; the least loaded one if none holds half of
/// it, or if load has become uneven.
#[derive(Default)]
pub struct PrefixAffinity {
    cached: BTreeMap<EngineId, BlockSet>,
}

impl PrefixAffinity {
    fn matched(&self, engine: &EngineId, blocks: &[BlockHash]) -> usize {
        let Some(cached) = self.cached.get(engine) else {
            return 0;
        };
        blocks
            .iter()
            .take_while(|hash| cached.contains(hash))
            .count()
    }
}

fn is_imbalanced(engines: &[EngineView]) -> bool {
    let loads = engines.iter().map(EngineView::requests);
    let most = loads.clone().max().unwrap_or(0);
    let least = loads.min().unwrap_or(0);
    most > least + IMBALANCE_REQUESTS && most as f64 > least as f64 * IMBALANCE_RATIO
}

impl Strategy for PrefixAffinity {
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize {
        let matches: Vec<usize> = engines
            .iter()
            .map(|view| self.matched(&view.engine, &call.blocks))
            .collect();
        let longest = matches.iter().copied().max().unwrap_or(0);
        let enough = longest as f64 >= call.blocks.len() as f64 * LEAST_MATCH;
        let follows = enough && !is_imbalanced(engines);
        let chosen = least_loaded(call, engines, |index| !follows || matches[index] == longest)
            .expect("some engine has the longest match");
        // Counted as cached from now on; events correct it.
        let cached = self
            .cached
            .entry(engines[chosen].engine.clone())
            .or_default();
        cached.extend(call.blocks.iter().copied());
        chosen
    }

    fn cache_changed(&mut self, engine: &EngineId, change: &CacheChange) {
        let cached = self.cached.entry(engine.clone()).or_default();
        match change {
            CacheChange::Stored(blocks) => cached.extend(blocks.iter().copied()),
            CacheChange::Evicted(blocks) => blocks.iter().for_each(|hash| {
                cached.remove(hash);
            }),
            CacheChange::Cleared => cached.clear(),
            CacheChange::Gap { .. } => {}
        }
    }
}
