//! Which replicas hold the parts of a prompt, and who could give them.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_routing::CacheView;
use topazmount_types::{Incarnation, Time};

/// Parts remembered.
const PARTS: usize = 20_000;
/// Age after which a part is no longer believed to be kept.
const KEPT: Duration = Duration::from_secs(12);
/// Time after which a part that should have been read no longer counts as coming.
const COMING: Duration = Duration::from_secs(3);

/// What a replica keeps of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kept {
    /// Leading parts.
    pub(super) parts: usize,
    /// Time since it was last known to have the deepest of them.
    pub(super) age: Duration,
}

/// A replica, by its slot, that is reading a part.
#[derive(Clone, Copy, Debug)]
struct Coming {
    slot: u32,
    incarnation: Incarnation,
    at: Time,
}

/// What all nodes that tell of it know of replicas' caches.
pub(super) struct Holders {
    view: CacheView,
    coming: HashMap<u64, Coming>,
}

impl Default for Holders {
    fn default() -> Self {
        Holders { view: CacheView::new(PARTS), coming: HashMap::new() }
    }
}

impl Holders {
    /// Notes that a replica was sent a prompt of these parts.
    pub(super) fn sent(&mut self, parts: &[u64], slot: u32, incarnation: Incarnation, now: Time) {
        self.coming.retain(|_, coming| now < coming.at + COMING);
        for part in parts {
            self.coming.entry(*part).or_insert(Coming { slot, incarnation, at: now });
        }
    }

    /// Notes that a replica has read a prompt of these parts.
    pub(super) fn read(&mut self, parts: &[u64], slot: u32, incarnation: Incarnation, now: Time) {
        for part in parts {
            if self.coming.get(part).is_some_and(|coming| coming.slot == slot) {
                self.coming.remove(part);
            }
        }
        self.view.record(parts, slot, incarnation, now);
    }

    /// Forgets what an incarnation was sent that has ended: while it is believed to come, nobody else is noted for it.
    pub(super) fn ended(&mut self, slot: u32) {
        self.coming.retain(|_, coming| coming.slot != slot);
    }

    /// For each replica that holds leading parts: what it keeps.
    pub(super) fn kept(
        &self,
        parts: &[u64],
        now: Time,
        incarnation_of: impl Fn(u32) -> Option<Incarnation>,
    ) -> HashMap<u32, Kept> {
        let mut kept = HashMap::new();
        self.view.cached_replicas(parts, now, incarnation_of, |slot, parts, age| {
            if age < KEPT {
                kept.insert(slot, Kept { parts, age });
            }
        });
        kept
    }

    /// For each replica that is reading leading parts: how many.
    pub(super) fn coming(
        &self,
        parts: &[u64],
        now: Time,
        incarnation_of: impl Fn(u32) -> Option<Incarnation>,
    ) -> HashMap<u32, usize> {
        let mut depths = HashMap::new();
        for (position, part) in parts.iter().enumerate() {
            let Some(coming) = self.coming.get(part) else { continue };
            let is_current = incarnation_of(coming.slot) == Some(coming.incarnation);
            if is_current && now < coming.at + COMING {
                depths.insert(coming.slot, position + 1);
            }
        }
        depths
    }
}
