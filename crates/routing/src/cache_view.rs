//! Expected cache contents of replicas, derived from their responses.
//!
//! An entry is valid only while the engine incarnation that reported it is running. Entries are
//! hints: a cached block may have been evicted since.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{Incarnation, Time};

/// Maximum number of replicas recorded per block.
const MAX_REPLICAS_PER_BLOCK: usize = 6;

/// A replica that has cached a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CachedReplica {
    replica: u32,
    incarnation: Incarnation,
    used_at: Time,
}

/// Blocks and the replicas that have cached them. Bounded by two generations: a full young
/// generation replaces the old one, which drops the blocks that were not used since.
#[derive(Debug)]
pub struct CacheView {
    generation_capacity: usize,
    young: HashMap<u64, Vec<CachedReplica>>,
    old: HashMap<u64, Vec<CachedReplica>>,
}

impl CacheView {
    /// Creates a view of about `capacity` blocks at most.
    pub fn new(capacity: usize) -> Self {
        CacheView {
            generation_capacity: (capacity / 2).max(1),
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the view is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a replica has cached these blocks.
    pub fn record(&mut self, blocks: &[u64], replica: u32, incarnation: Incarnation, now: Time) {
        for block in blocks {
            let replicas = self.replicas_mut(*block);
            replicas.retain(|cached| cached.replica != replica);
            if replicas.len() >= MAX_REPLICAS_PER_BLOCK {
                let oldest = replicas.iter().enumerate().min_by_key(|(_, cached)| cached.used_at);
                let oldest = oldest.map_or(0, |(position, _)| position);
                replicas.swap_remove(oldest);
            }
            replicas.push(CachedReplica { replica, incarnation, used_at: now });
        }
    }

    /// Records that a replica has not cached these blocks.
    pub fn remove(&mut self, blocks: &[u64], replica: u32) {
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(replicas) = generation.get_mut(block) {
                    replicas.retain(|cached| cached.replica != replica);
                }
            }
        }
    }

    /// Calls `found` with each replica that has cached leading blocks, their number, and the age of
    /// the last one. Depths are visited in ascending order: the last call for a replica is its
    /// deepest hit. `incarnation_of` returns the current incarnation of a replica.
    pub fn cached_replicas(
        &self,
        blocks: &[u64],
        now: Time,
        incarnation_of: impl Fn(u32) -> Option<Incarnation>,
        mut found: impl FnMut(u32, usize, Duration),
    ) {
        for (position, block) in blocks.iter().enumerate() {
            let Some(replicas) = self.young.get(block).or_else(|| self.old.get(block)) else {
                break;
            };
            for cached in replicas {
                if incarnation_of(cached.replica) == Some(cached.incarnation) {
                    found(cached.replica, position + 1, now.since(cached.used_at));
                }
            }
        }
    }

    fn replicas_mut(&mut self, block: u64) -> &mut Vec<CachedReplica> {
        if !self.young.contains_key(&block) {
            if self.young.len() >= self.generation_capacity {
                self.old = std::mem::take(&mut self.young);
            }
            let replicas = self.old.remove(&block).unwrap_or_default();
            self.young.insert(block, replicas);
        }
        self.young.entry(block).or_default()
    }
}
