//! Prefix affinity, as used by common cache-aware routers.

use std::collections::BTreeMap;

use elderworks_placement::event::{CacheChange, ReadyCall};
use elderworks_types::EngineId;
use elderworks_types::text::{BlockHash, BlockSet};

use super::simple::least_loaded;
use super::{EngineView, Strategy};

/// Minimum fraction of the prompt that must match. Shorter matches are ignored: they are usually
/// the system prompt, which most engines hold.
const MIN_MATCH_FRACTION: f64 = 0.5;
/// Load difference, in requests, between the most and the least loaded engine above which affinity
/// is ignored, provided that `IMBALANCE_RATIO` is exceeded as well.
const IMBALANCE_REQUESTS: usize = 32;
/// Ratio between the highest and the lowest load above which affinity is ignored, provided that
/// `IMBALANCE_REQUESTS` is exceeded as well.
const IMBALANCE_RATIO: f64 = 1.5;

/// Chooses the engine that caches the longest prefix of the prompt, or the least loaded engine if
/// no engine caches at least half of it or the load is imbalanced.
#[derive(Default)]
pub struct PrefixAffinity {
    cached: BTreeMap<EngineId, BlockSet>,
}

impl PrefixAffinity {
    /// Returns how many leading blocks of the prompt the engine caches.
    fn matching_blocks(&self, engine: &EngineId, blocks: &[BlockHash]) -> usize {
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
    let highest = loads.clone().max().unwrap_or(0);
    let lowest = loads.min().unwrap_or(0);
    highest > lowest + IMBALANCE_REQUESTS && highest as f64 > lowest as f64 * IMBALANCE_RATIO
}

impl Strategy for PrefixAffinity {
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize {
        let matches: Vec<usize> = engines
            .iter()
            .map(|view| self.matching_blocks(&view.engine, &call.blocks))
            .collect();
        let longest = matches.iter().copied().max().unwrap_or(0);
        let enough = longest as f64 >= call.blocks.len() as f64 * MIN_MATCH_FRACTION;
        let use_affinity = enough && !is_imbalanced(engines);
        let chosen = least_loaded(call, engines, |index| {
            !use_affinity || matches[index] == longest
        })
        .expect("some engine has the longest match");
        // Assume that the prompt is cached from now on; cache events correct the assumption.
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
