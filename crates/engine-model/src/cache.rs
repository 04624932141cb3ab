//! Prefix cache of blocks with leases and least-recently-used eviction.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::text::{BlockHash, BlockMap, BlockSet};
use elderworks_types::{RunId, Timestamp};

/// Blocks and lease of a run in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The run.
    pub run: RunId,
    /// Number of cached blocks that the run has used.
    pub blocks: u32,
    /// End of the run's lease. Leased blocks are evicted only after all others.
    pub lease_until: Option<Timestamp>,
}

/// Statistics since the creation of a cache.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CacheStatistics {
    /// Time between the last use of blocks and their removal, in block-seconds.
    pub unused_block_seconds: f64,
    /// Number of blocks evicted to make room.
    pub evicted_blocks: u64,
}

/// Changes to the cache that have not been published yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingChanges {
    pub(crate) stored: Vec<BlockHash>,
    pub(crate) evicted: Vec<BlockHash>,
}

#[derive(Debug)]
struct Block {
    /// Number of running sequences that use the block.
    references: u32,
    /// Number of runs with an active lease on the block.
    leases: u32,
    /// Position in eviction order; blocks with smaller values are evicted first.
    order: u64,
    last_used: Timestamp,
    owners: Vec<RunId>,
    /// Whether runs with different roots have used the block. The release of a run does not remove a
    /// shared block.
    shared: bool,
}

impl Block {
    fn remove_owner(&mut self, run: RunId) {
        if let Some(position) = self.owners.iter().position(|owner| *owner == run) {
            self.owners.swap_remove(position);
        }
    }
}

#[derive(Debug, Default)]
struct RunBlocks {
    blocks: BlockSet,
    lease_until: Option<Timestamp>,
}

/// The cache of one engine. The working memory of running sequences counts towards its capacity.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    blocks: BlockMap<Block>,
    /// Blocks that no sequence uses, in eviction order: unleased ones first, then by `order`.
    evictable: BTreeSet<(bool, u64, BlockHash)>,
    runs: BTreeMap<RunId, RunBlocks>,
    lease_ends: BTreeSet<(Timestamp, RunId)>,
    /// Number of partly filled blocks of running sequences.
    partial_blocks: usize,
    next_order: u64,
    changes: PendingChanges,
    statistics: CacheStatistics,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: BlockMap::default(),
            evictable: BTreeSet::new(),
            runs: BTreeMap::new(),
            lease_ends: BTreeSet::new(),
            partial_blocks: 0,
            next_order: 0,
            changes: PendingChanges::default(),
            statistics: CacheStatistics::default(),
        }
    }

    pub(crate) fn used(&self) -> usize {
        self.blocks.len() + self.partial_blocks
    }

    /// Returns the number of blocks that running sequences use.
    pub(crate) fn referenced(&self) -> usize {
        self.used() - self.evictable.len()
    }

    /// Returns the number of blocks that are free or evictable.
    pub(crate) fn available(&self) -> usize {
        self.capacity.saturating_sub(self.used()) + self.evictable.len()
    }

    /// Returns the number of leading blocks of a chain that are cached.
    pub(crate) fn cached_prefix_len(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count()
    }

    /// Reserves memory for a sequence's partly filled block. Returns `false` if there is none.
    pub(crate) fn reserve_partial(&mut self, now: Timestamp) -> bool {
        if !self.make_room(now) {
            return false;
        }
        self.partial_blocks += 1;
        true
    }

    pub(crate) fn free_partial(&mut self) {
        self.partial_blocks -= 1;
    }

    /// Adds a reference to a block for a run, inserting the block if it is not cached. Returns `false`
    /// if there is no memory.
    pub(crate) fn acquire(&mut self, now: Timestamp, hash: BlockHash, run: RunId) -> bool {
        if !self.blocks.contains_key(&hash) {
            if !self.make_room(now) {
                return false;
            }
            self.insert(now, hash);
        }
        let block = self.blocks.get_mut(&hash).expect("block was just inserted");
        if block.references == 0 {
            self.evictable
                .remove(&(block.leases > 0, block.order, hash));
        }
        block.references += 1;
        block.last_used = now;
        self.add_owner(hash, run);
        true
    }

    /// Drops references. Blocks at the end of the chain are evicted first.
    pub(crate) fn release_references(&mut self, now: Timestamp, held: &[BlockHash]) {
        for hash in held.iter().rev() {
            let order = self.next_order;
            let Some(block) = self.blocks.get_mut(hash) else {
                continue;
            };
            block.references -= 1;
            block.last_used = now;
            if block.references == 0 {
                block.order = order;
                self.next_order += 1;
                self.evictable.insert((block.leases > 0, order, *hash));
            }
        }
    }

    /// Inserts blocks without references. Stops when there is no memory.
    pub(crate) fn import(&mut self, now: Timestamp, run: RunId, chain: &[BlockHash]) {
        let mut held = Vec::new();
        for hash in chain {
            if !self.acquire(now, *hash, run) {
                break;
            }
            held.push(*hash);
        }
        self.release_references(now, &held);
    }

    /// Leases a run's blocks until `until`, so that they are evicted only after all unleased ones.
    pub(crate) fn retain(&mut self, run: RunId, until: Timestamp) {
        self.end_lease(run);
        let Some(holding) = self.runs.get_mut(&run) else {
            return;
        };
        holding.lease_until = Some(until);
        self.lease_ends.insert((until, run));
        let blocks: Vec<BlockHash> = holding.blocks.iter().copied().collect();
        for hash in blocks {
            self.change_leases(hash, 1);
        }
    }

    /// Removes expired leases.
    pub(crate) fn expire_leases(&mut self, now: Timestamp) {
        while let Some((_, run)) = self.lease_ends.first().copied().filter(|end| end.0 <= now) {
            self.end_lease(run);
        }
    }

    /// Removes a run's ownership and those of its unreferenced blocks that no other run owns and that
    /// are not shared. Returns the number of removed blocks.
    pub(crate) fn release_run(&mut self, now: Timestamp, run: RunId) -> u32 {
        self.end_lease(run);
        let Some(holding) = self.runs.remove(&run) else {
            return 0;
        };
        let mut freed = 0;
        let mut blocks: Vec<BlockHash> = holding.blocks.into_iter().collect();
        blocks.sort_unstable();
        for hash in blocks {
            let block = self.blocks.get_mut(&hash).expect("owned blocks are cached");
            block.remove_owner(run);
            if block.references == 0 && block.owners.is_empty() && !block.shared {
                self.remove(now, hash);
                freed += 1;
            }
        }
        freed
    }

    pub(crate) fn holdings(&self) -> Vec<Holding> {
        self.runs
            .iter()
            .map(|(run, holding)| Holding {
                run: *run,
                blocks: holding.blocks.len() as u32,
                lease_until: holding.lease_until,
            })
            .collect()
    }

    pub(crate) fn take_changes(&mut self) -> PendingChanges {
        std::mem::take(&mut self.changes)
    }

    /// Returns the statistics, counting unused blocks as if they were removed at `now`.
    pub(crate) fn statistics(&self, now: Timestamp) -> CacheStatistics {
        let mut statistics = self.statistics;
        for (_, _, hash) in &self.evictable {
            statistics.unused_block_seconds += idle_seconds(&self.blocks[hash], now);
        }
        statistics
    }

    fn insert(&mut self, now: Timestamp, hash: BlockHash) {
        let order = self.next_order;
        self.next_order += 1;
        let block = Block {
            references: 0,
            leases: 0,
            order,
            last_used: now,
            owners: Vec::new(),
            shared: false,
        };
        self.blocks.insert(hash, block);
        self.evictable.insert((false, order, hash));
        self.changes.stored.push(hash);
    }

    fn add_owner(&mut self, hash: BlockHash, run: RunId) {
        let holding = self.runs.entry(run).or_default();
        if !holding.blocks.insert(hash) {
            return;
        }
        let is_leased = holding.lease_until.is_some();
        let block = self
            .blocks
            .get_mut(&hash)
            .expect("only cached blocks are owned");
        block.shared |= block
            .owners
            .last()
            .is_some_and(|owner| owner.root != run.root);
        block.owners.push(run);
        if is_leased {
            self.change_leases(hash, 1);
        }
    }

    fn make_room(&mut self, now: Timestamp) -> bool {
        if self.used() < self.capacity {
            return true;
        }
        let Some((_, _, hash)) = self.evictable.first().copied() else {
            return false;
        };
        self.remove(now, hash);
        self.statistics.evicted_blocks += 1;
        true
    }

    fn remove(&mut self, now: Timestamp, hash: BlockHash) {
        let block = self
            .blocks
            .remove(&hash)
            .expect("only cached blocks are removed");
        self.evictable
            .remove(&(block.leases > 0, block.order, hash));
        self.statistics.unused_block_seconds += idle_seconds(&block, now);
        for run in &block.owners {
            self.remove_owner(*run, hash);
        }
        self.changes.evicted.push(hash);
    }

    fn remove_owner(&mut self, run: RunId, hash: BlockHash) {
        let Some(holding) = self.runs.get_mut(&run) else {
            return;
        };
        holding.blocks.remove(&hash);
        if holding.blocks.is_empty() {
            if let Some(until) = holding.lease_until {
                self.lease_ends.remove(&(until, run));
            }
            self.runs.remove(&run);
        }
    }

    fn end_lease(&mut self, run: RunId) {
        let Some(holding) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(until) = holding.lease_until.take() else {
            return;
        };
        self.lease_ends.remove(&(until, run));
        let blocks: Vec<BlockHash> = holding.blocks.iter().copied().collect();
        for hash in blocks {
            self.change_leases(hash, -1);
        }
    }

    fn change_leases(&mut self, hash: BlockHash, change: i32) {
        let block = self
            .blocks
            .get_mut(&hash)
            .expect("leased blocks are cached");
        let before = (block.leases > 0, block.order, hash);
        block.leases = block.leases.saturating_add_signed(change);
        if block.references == 0 {
            self.evictable.remove(&before);
            self.evictable.insert((block.leases > 0, block.order, hash));
        }
    }
}

fn idle_seconds(block: &Block, now: Timestamp) -> f64 {
    now.since(block.last_used).as_secs_f64()
}
