//! Which engine holds which block, as far as is known.
//!
//! One entry a block with a bit for each engine, so that a prompt is matched against all engines in
//! one pass. Entries live in two generations; the older one is dropped when the younger is full.

use elderworks_types::text::{BlockHash, BlockMap};

/// Engines that can be indexed; further ones count as holding nothing.
pub(crate) const MAX_SLOTS: usize = 128;

/// Entries in one generation.
const GENERATION_ENTRIES: usize = 262_144;

type EngineBits = u128;

/// The index.
#[derive(Debug, Default)]
pub(crate) struct CacheIndex {
    young: BlockMap<EngineBits>,
    old: BlockMap<EngineBits>,
}

impl CacheIndex {
    /// Leading blocks of a prompt that each slot holds.
    pub(crate) fn matches(&self, blocks: &[BlockHash], slots: usize) -> Vec<u32> {
        let mut matched = vec![0; slots];
        let mut holding = all_slots(slots);
        for (depth, hash) in blocks.iter().enumerate() {
            let still = holding & self.holders(*hash);
            for slot in bits(holding & !still) {
                matched[slot] = depth as u32;
            }
            holding = still;
            if holding == 0 {
                return matched;
            }
        }
        for slot in bits(holding) {
            matched[slot] = blocks.len() as u32;
        }
        matched
    }

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

    pub(crate) fn evict(&mut self, slot: usize, blocks: &[BlockHash]) {
        if slot >= MAX_SLOTS {
            return;
        }
        for hash in blocks {
            clear_bit(&mut self.young, hash, slot);
            clear_bit(&mut self.old, hash, slot);
        }
    }

    /// Forgets all that a slot holds.
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

fn bits(mut mask: EngineBits) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if mask == 0 {
            return None;
        }
        let slot = mask.trailing_zeros() as usize;
        mask &= mask - 1;
        Some(slot)
    })
}

fn clear_bit(generation: &mut BlockMap<EngineBits>, hash: &BlockHash, slot: usize) {
    let Some(holders) = generation.get_mut(hash) else {
        return;
    };
    *holders &= !(1 << slot);
    if *holders == 0 {
        generation.remove(hash);
    }
}
