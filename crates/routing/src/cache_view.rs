//! What a node believes replicas hold in their caches, learned from their answers.
//!
//! An entry names the incarnation of the engine that it was learned from and counts only while
//! that incarnation runs. The view is a hint: the engine's own report of cached tokens settles
//! what was found.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{Incarnation, Time};

/// Replicas remembered per block.
const HOLDERS_PER_BLOCK: usize = 6;

/// A replica that held a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    replica: u32,
    incarnation: Incarnation,
    used_at: Time,
}

/// Blocks and who holds them, bounded by two generations: when the young one is full it becomes the
/// old one, and what is not used again is forgotten with it.
#[derive(Debug)]
pub struct CacheView {
    generation_capacity: usize,
    young: HashMap<u64, Vec<Holder>>,
    old: HashMap<u64, Vec<Holder>>,
}

impl CacheView {
    /// A view of at most about `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        CacheView {
            generation_capacity: (capacity / 2).max(1),
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes that a replica holds these blocks.
    pub fn record(&mut self, blocks: &[u64], replica: u32, incarnation: Incarnation, now: Time) {
        for block in blocks {
            let holders = self.holders_mut(*block);
            holders.retain(|holder| holder.replica != replica);
            if holders.len() >= HOLDERS_PER_BLOCK {
                let oldest = holders.iter().enumerate().min_by_key(|(_, holder)| holder.used_at);
                let oldest = oldest.map_or(0, |(position, _)| position);
                holders.swap_remove(oldest);
            }
            holders.push(Holder { replica, incarnation, used_at: now });
        }
    }

    /// Notes that a replica turned out not to hold these blocks.
    pub fn remove(&mut self, blocks: &[u64], replica: u32) {
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(holders) = generation.get_mut(block) {
                    holders.retain(|holder| holder.replica != replica);
                }
            }
        }
    }

    /// For each replica known to hold a part of the chain: how many leading blocks, and the age of
    /// the last of them. `incarnation_of` gives a replica's present incarnation. Calls `found` for
    /// growing depths, so the last call for a replica counts.
    pub fn cached_replicas(
        &self,
        blocks: &[u64],
        now: Time,
        incarnation_of: impl Fn(u32) -> Option<Incarnation>,
        mut found: impl FnMut(u32, usize, Duration),
    ) {
        for (position, block) in blocks.iter().enumerate() {
            let Some(holders) = self.young.get(block).or_else(|| self.old.get(block)) else {
                break;
            };
            for holder in holders {
                if incarnation_of(holder.replica) == Some(holder.incarnation) {
                    found(holder.replica, position + 1, now.since(holder.used_at));
                }
            }
        }
    }

    fn holders_mut(&mut self, block: u64) -> &mut Vec<Holder> {
        if !self.young.contains_key(&block) {
            if self.young.len() >= self.generation_capacity {
                self.old = std::mem::take(&mut self.young);
            }
            let holders = self.old.remove(&block).unwrap_or_default();
            self.young.insert(block, holders);
        }
        self.young.entry(block).or_default()
    }
}
