//! Estimate of the prompt blocks that each replica has cached, from the cache view and its home
//! rank.

use super::{HOME_DEPTHS, INITIAL_HOME_CHANCE, MIN_HOME_CHANCE, Router, SHARED_HOMES, Scratch};
use crate::candidate::RouteRequest;
use crate::home::rendezvous_weight;
use crate::replica::ReplicaState;
use std::time::Duration;
use topazmount_types::{TenantId, Time};

impl Router {
    /// Computes the expected cached blocks of every replica.
    pub(super) fn estimate_caches(
        &self,
        request: &RouteRequest<'_>,
        now: Time,
        scratch: &mut Scratch,
    ) {
        let count = self.replicas.len();
        scratch.predicted.clear();
        scratch.predicted.resize(count, (0, Duration::ZERO));
        scratch.expected.clear();
        scratch.expected.resize(count, 0.0);
        scratch.home_depths.clear();
        scratch.home_depths.resize(count, 0);
        let incarnation_of = |slot: u32| self.replicas[slot as usize].incarnation;
        let predicted = &mut scratch.predicted;
        self.cache.cached_replicas(request.blocks, now, incarnation_of, |slot, depth, age| {
            // Engines evict a chain from its end: a replica with a deep block has all blocks before
            // it, even if the bounded lists of those no longer contain it.
            predicted[slot as usize] = (depth as u32, age);
        });
        for (slot, (blocks, age)) in scratch.predicted.iter().enumerate() {
            if *age <= self.replicas[slot].retention {
                scratch.expected[slot] = f64::from(*blocks);
            }
        }
        self.add_homes(request, now, scratch);
    }

    fn add_homes(&self, request: &RouteRequest<'_>, now: Time, scratch: &mut Scratch) {
        let Some(shared) = request.blocks.len().checked_sub(1) else { return };
        let shared_key = request.blocks[shared.min(self.settings.shared_depth - 1)];
        let homes = self.shared_homes(shared_key, request, now);
        let depths = HOME_DEPTHS.iter().enumerate();
        for (level, depth) in depths.take_while(|(_, depth)| **depth <= request.blocks.len()) {
            let expected = self.home_chance(request.tenant, level as u8) * *depth as f64;
            let key = request.blocks[depth - 1];
            let deep_home = homes
                .iter()
                .max_by_key(|slot| rendezvous_weight(key, self.replicas[**slot].description.id));
            for slot in &homes {
                if *depth <= self.settings.shared_depth || Some(slot) == deep_home {
                    scratch.home_depths[*slot] |= 1 << level;
                    scratch.expected[*slot] = scratch.expected[*slot].max(expected);
                }
            }
        }
    }

    /// Home replicas of a shared prefix: those with the highest rendezvous weights.
    fn shared_homes(&self, key: u64, request: &RouteRequest<'_>, now: Time) -> Vec<usize> {
        let serving = self.replicas.iter().enumerate().filter(|(_, state)| {
            state.description.models.contains(&request.model)
                && state.is_available(request.weights, now)
        });
        let weight = |(slot, state): (usize, &ReplicaState)| {
            (rendezvous_weight(key, state.description.id), slot)
        };
        let mut weighted: Vec<(u64, usize)> = serving.map(weight).collect();
        let count = SHARED_HOMES.min(weighted.len());
        if count < weighted.len() {
            weighted.select_nth_unstable_by(count, |left, right| right.cmp(left));
        }
        weighted.into_iter().take(count).map(|(_, slot)| slot).collect()
    }

    fn home_chance(&self, tenant: TenantId, level: u8) -> f64 {
        self.home_chance
            .get(&(tenant, level))
            .copied()
            .unwrap_or(INITIAL_HOME_CHANCE)
            .max(MIN_HOME_CHANCE)
    }
}
