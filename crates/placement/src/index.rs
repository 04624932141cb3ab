//! Index of the blocks in the prefix caches of the engines.
//!
//! Each block maps to a set of engines with one bit per engine, so that a prompt is matched against all
//! engines in one pass. Two generations bound the size: when the young one is full, it replaces the old
//! one, whose entries are discarded. Storing a block moves its entry to the young generation.

use elderworks_types::text::{BlockHash, BlockMap};

/// Number of engines that can be indexed. Engines in higher slots count as holding no blocks.
pub(crate) const MAX_SLOTS: usize = 128;

/// Maximum number of entries in one generation.
const GENERATION_ENTRIES: usize = 262_144;

/// Set of engine slots.
type EngineBits = u128;

/// Maps block hashes to the slots of the engines that hold them.
#[derive(Debug, Default)]
pub(crate) struct CacheIndex {
    young: BlockMap<EngineBits>,
    old: BlockMap<EngineBits>,
}

impl CacheIndex {
    /// Returns for each slot the number of leading blocks of a prompt that it holds.
    pub(crate) fn matches(&self, blocks: &[BlockHash], slots: usize) -> Vec<u32> {
        let mut matched = vec![0; slots];
        let mut holding = all_slots(slots);
        for (depth, hash) in blocks.iter().enumerate() {
            let still_holding = holding & self.holders(*hash);
            for slot in set_bits(holding & !still_holding) {
                matched[slot] = depth as u32;
            }
            holding = still_holding;
            if holding == 0 {
                return matched;
            }
        }
        for slot in set_bits(holding) {
            matched[slot] = blocks.len() as u32;
        }
        matched
    }

    /// Records that the engine in `slot` holds `blocks`.
    pub(crate) fn store(&mut self, slot: usize, blocks: &[BlockHash]) {
        if slot >= MAX_SLOTS {
            return;
        }
        for hash in blocks {
            if let Some(holders) = self.young.get_mut(hash) {
                *holders |= 1 << slot;
                continue;
            }
            self.make_room();
            let carried = self.old.remove(hash).unwrap_or(0);
            self.young.insert(*hash, carried | (1 << slot));
        }
    }

    /// Records that the engine in `slot` no longer holds `blocks`.
    pub(crate) fn evict(&mut self, slot: usize, blocks: &[BlockHash]) {
        if slot >= MAX_SLOTS {
            return;
        }
        for hash in blocks {
            clear_slot(&mut self.young, hash, slot);
            clear_slot(&mut self.old, hash, slot);
        }
    }

    /// Removes all blocks of the engine in `slot`.
    pub(crate) fn clear(&mut self, slot: usize) {
        if slot >= MAX_SLOTS {
            return;
        }
        for generation in [&mut self.young, &mut self.old] {
            generation.retain(|_, holders| {
                *holders &= !(1 << slot);
                *holders != 0
            });
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn holders(&self, hash: BlockHash) -> EngineBits {
        let young = self.young.get(&hash).copied().unwrap_or(0);
        young | self.old.get(&hash).copied().unwrap_or(0)
    }

    fn make_room(&mut self) {
        if self.young.len() >= GENERATION_ENTRIES {
            self.old = std::mem::take(&mut self.young);
        }
    }
}

fn all_slots(slots: usize) -> EngineBits {
    if slots >= MAX_SLOTS {
        EngineBits::MAX
    } else {
        (1 << slots) - 1
    }
}

/// Returns the indices of the set bits in ascending order.
fn set_bits(mut mask: EngineBits) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if mask == 0 {
            return None;
        }
        let slot = mask.trailing_zeros() as usize;
        mask &= mask - 1;
        Some(slot)
    })
}

fn clear_slot(generation: &mut BlockMap<EngineBits>, hash: &BlockHash, slot: usize) {
    let Some(holders) = generation.get_mut(hash) else {
        return;
    };
    *holders &= !(1 << slot);
    if *holders == 0 {
        generation.remove(hash);
    }
}
