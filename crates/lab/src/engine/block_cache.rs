//! Cached prompt blocks, evicted least recently used first.

use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
struct Held {
    used: u64,
    pins: u32,
}

/// Blocks held in KV memory. Blocks of running requests are pinned and not evicted.
#[derive(Debug, Default)]
pub struct BlockCache {
    capacity: usize,
    held: HashMap<u64, Held>,
    /// Unpinned blocks by last use.
    idle: BTreeMap<u64, u64>,
    uses: u64,
    evictions: u64,
}

impl BlockCache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        BlockCache { capacity, ..BlockCache::default() }
    }

    /// Number of blocks held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Blocks evicted so far.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Leading blocks of a chain that are held.
    pub fn prefix_length(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.held.contains_key(block)).count()
    }

    /// Holds a block and pins it, evicting idle ones when there is no room. Returns false when
    /// everything is pinned.
    pub fn pin(&mut self, block: u64) -> bool {
        self.uses += 1;
        if let Some(held) = self.held.get_mut(&block) {
            if held.pins == 0 {
                self.idle.remove(&held.used);
            }
            held.used = self.uses;
            held.pins += 1;
            return true;
        }
        if self.held.len() >= self.capacity && !self.evict() {
            return false;
        }
        self.held.insert(block, Held { used: self.uses, pins: 1 });
        true
    }

    /// Lets go of a pinned block; it stays until its room is needed. The end of a chain should be
    /// let go first, so that it is evicted first.
    pub fn unpin(&mut self, block: u64) {
        self.uses += 1;
        let Some(held) = self.held.get_mut(&block) else { return };
        held.pins = held.pins.saturating_sub(1);
        if held.pins == 0 {
            held.used = self.uses;
            self.idle.insert(self.uses, block);
        }
    }

    fn evict(&mut self) -> bool {
        let Some((_, block)) = self.idle.pop_first() else { return false };
        self.held.remove(&block);
        self.evictions += 1;
        true
    }
}
