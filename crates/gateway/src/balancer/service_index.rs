//! The replicas of each service by the hashes of their identifiers, and the number of them with each
//! version. A prompt needs a pass over the hashes, but no look-up of each replica.

use super::replica::Replica;
use crate::shards::Shard;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use topazmount_routing::rendezvous_weight;
use topazmount_types::{InstanceId, ReplicaId};

/// Number of groups of hashes, by their first bits. The removal of a hash searches one group.
const HASH_GROUPS: usize = 256;

/// Replicas of one service.
struct ServiceReplicas {
    by_hash: BTreeSet<(ReplicaId, InstanceId)>,
    /// The hashes alone, in no order within a group: a pass over all of them is a pass over arrays.
    hashes: Vec<Vec<ReplicaId>>,
    /// Number of replicas with each version, by model.
    versions: HashMap<String, BTreeMap<u32, usize>>,
}

impl Default for ServiceReplicas {
    fn default() -> Self {
        ServiceReplicas {
            by_hash: BTreeSet::new(),
            hashes: vec![Vec::new(); HASH_GROUPS],
            versions: HashMap::new(),
        }
    }
}

impl ServiceReplicas {
    fn group(&mut self, hash: ReplicaId) -> &mut Vec<ReplicaId> {
        let group = Shard::of(hash, HASH_GROUPS as u32).index;
        &mut self.hashes[group as usize]
    }

    fn insert_versions(&mut self, replica: &Replica) {
        for loaded in &replica.models {
            let counts = self.versions.entry(loaded.model.clone()).or_default();
            *counts.entry(loaded.version).or_default() += 1;
        }
    }

    fn remove_versions(&mut self, replica: &Replica) {
        for loaded in &replica.models {
            let Some(counts) = self.versions.get_mut(&loaded.model) else { continue };
            let Some(count) = counts.get_mut(&loaded.version) else { continue };
            *count -= 1;
            if *count == 0 {
                counts.remove(&loaded.version);
            }
            if counts.is_empty() {
                self.versions.remove(&loaded.model);
            }
        }
    }
}

/// Shards with the greatest weights so far.
struct FirstShards {
    wanted: usize,
    /// In descending order of weight, each shard once.
    ranked: Vec<(u64, Shard)>,
    /// Weight below which a home changes nothing.
    least_weight: u64,
}

impl FirstShards {
    fn insert(&mut self, weight: u64, shard: Shard) {
        let is_known = |(_, known): &&mut (u64, Shard)| *known == shard;
        match self.ranked.iter_mut().find(is_known) {
            Some((known, _)) => *known = weight.max(*known),
            None => self.ranked.push((weight, shard)),
        }
        self.ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        self.ranked.truncate(self.wanted);
        if self.ranked.len() == self.wanted {
            self.least_weight = self.ranked.last().map_or(0, |(weight, _)| *weight);
        }
    }
}

/// Replicas by service.
#[derive(Default)]
pub(super) struct ServiceIndex {
    services: HashMap<String, ServiceReplicas>,
}

impl ServiceIndex {
    fn service(&mut self, replica: &Replica) -> &mut ServiceReplicas {
        self.services.entry(replica.instance.service.clone()).or_default()
    }

    pub(super) fn insert(&mut self, replica: &Replica) {
        let instance = &replica.instance;
        let service = self.service(replica);
        service.by_hash.insert((replica.stable_id, instance.id.clone()));
        service.group(replica.stable_id).push(replica.stable_id);
        service.insert_versions(replica);
    }

    pub(super) fn remove(&mut self, replica: &Replica) {
        let instance = &replica.instance;
        let Some(service) = self.services.get_mut(&instance.service) else { return };
        service.by_hash.remove(&(replica.stable_id, instance.id.clone()));
        let group = service.group(replica.stable_id);
        if let Some(position) = group.iter().position(|hash| *hash == replica.stable_id) {
            group.swap_remove(position);
        }
        service.remove_versions(replica);
        if service.by_hash.is_empty() {
            self.services.remove(&instance.service);
        }
    }

    /// Changes the recorded versions of an indexed replica, and their counts.
    pub(super) fn change_versions<T>(
        &mut self,
        replica: &mut Replica,
        change: impl FnOnce(&mut Replica) -> T,
    ) -> T {
        self.service(replica).remove_versions(replica);
        let result = change(replica);
        self.service(replica).insert_versions(replica);
        result
    }

    /// Number of replicas of a service.
    pub(super) fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |service| service.by_hash.len())
    }

    /// The shards, at most `wanted` of `count`, of a key's first homes, in the order of these.
    pub(super) fn first_shards(
        &self,
        service: &str,
        key: u64,
        count: u32,
        wanted: usize,
    ) -> Vec<Shard> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let mut first = FirstShards { wanted, ranked: Vec::new(), least_weight: 0 };
        for group in &service.hashes {
            for hash in group {
                let weight = rendezvous_weight(key, *hash);
                if weight >= first.least_weight {
                    first.insert(weight, Shard::of(*hash, count));
                }
            }
        }
        first.ranked.into_iter().map(|(_, shard)| shard).collect()
    }

    /// Newest version that a replica of a service has of a model.
    pub(super) fn newest_version(&self, service: &str, model: &str) -> Option<u32> {
        let counts = self.services.get(service)?.versions.get(model)?;
        counts.last_key_value().map(|(version, _)| *version)
    }

    /// Replicas of a shard, by identifier.
    pub(super) fn in_shard(&self, service: &str, shard: Shard) -> BTreeSet<&InstanceId> {
        let Some(service) = self.services.get(service) else { return BTreeSet::new() };
        let from = (shard.first_hash(), InstanceId::new());
        let from_shard = service.by_hash.range(from..);
        let in_shard = from_shard.take_while(|(hash, _)| shard.contains(*hash));
        in_shard.map(|(_, id)| id).collect()
    }
}
