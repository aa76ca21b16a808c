//! Records of which prompt parts each replica has cached or is reading.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_routing::CacheView;
use topazmount_types::{Incarnation, Time};

const MAX_PARTS: usize = 20_000;
/// Age after which a cached part is assumed to be evicted.
const MAX_CACHE_AGE: Duration = Duration::from_secs(12);
/// Time after which an unconfirmed read of a part is dropped.
const MAX_READ_TIME: Duration = Duration::from_secs(3);

/// The part of a prompt that a replica has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CachedPrefix {
    /// Number of leading parts.
    pub(super) parts: usize,
    /// Time since the deepest of them was last read or used.
    pub(super) age: Duration,
}

/// A read of a part in progress at a replica.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    slot: u32,
    incarnation: Incarnation,
    at: Time,
}

/// Cache contents of replicas, from all nodes that send updates.
pub(super) struct CacheRecords {
    view: CacheView,
    pending_reads: HashMap<u64, PendingRead>,
}

impl Default for CacheRecords {
    fn default() -> Self {
        CacheRecords { view: CacheView::new(MAX_PARTS), pending_reads: HashMap::new() }
    }
}

impl CacheRecords {
    /// Records that a prompt of these parts was sent to a replica.
    pub(super) fn on_sent(
        &mut self,
        parts: &[u64],
        slot: u32,
        incarnation: Incarnation,
        now: Time,
    ) {
        self.pending_reads.retain(|_, read| now < read.at + MAX_READ_TIME);
        for part in parts {
            self.pending_reads.entry(*part).or_insert(PendingRead { slot, incarnation, at: now });
        }
    }

    /// Records that a replica has read a prompt of these parts.
    pub(super) fn on_prefilled(
        &mut self,
        parts: &[u64],
        slot: u32,
        incarnation: Incarnation,
        now: Time,
    ) {
        for part in parts {
            if self.pending_reads.get(part).is_some_and(|read| read.slot == slot) {
                self.pending_reads.remove(part);
            }
        }
        self.view.record(parts, slot, incarnation, now);
    }

    /// Drops the pending reads of an incarnation that ended.
    pub(super) fn on_ended(&mut self, slot: u32) {
        self.pending_reads.retain(|_, read| read.slot != slot);
    }

    /// Returns the cached prefix of each replica, by slot.
    pub(super) fn cached_prefixes(
        &self,
        parts: &[u64],
        now: Time,
        incarnation_of: impl Fn(u32) -> Option<Incarnation>,
    ) -> HashMap<u32, CachedPrefix> {
        let mut cached = HashMap::new();
        self.view.cached_replicas(parts, now, incarnation_of, |slot, parts, age| {
            if age < MAX_CACHE_AGE {
                cached.insert(slot, CachedPrefix { parts, age });
            }
        });
        cached
    }

    /// Returns the number of leading parts that each replica is reading, by slot.
    pub(super) fn pending_reads(
        &self,
        parts: &[u64],
        now: Time,
        incarnation_of: impl Fn(u32) -> Option<Incarnation>,
    ) -> HashMap<u32, usize> {
        let mut depths = HashMap::new();
        for (position, part) in parts.iter().enumerate() {
            let Some(read) = self.pending_reads.get(part) else { continue };
            let is_current = incarnation_of(read.slot) == Some(read.incarnation);
            if is_current && now < read.at + MAX_READ_TIME {
                depths.insert(read.slot, position + 1);
            }
        }
        depths
    }
}
