//! The replicas of each service by the hashes of their identifiers, so that those of a shard are
//! found without a look at all others.

use super::replica::Replica;
use crate::shards::Shard;
use std::collections::{BTreeSet, HashMap};
use topazmount_types::{InstanceId, ReplicaId};

/// Replicas by service and hash.
#[derive(Default)]
pub(super) struct ServiceIndex {
    by_service: HashMap<String, BTreeSet<(ReplicaId, InstanceId)>>,
}

impl ServiceIndex {
    pub(super) fn insert(&mut self, replica: &Replica) {
        let instance = &replica.instance;
        let service = self.by_service.entry(instance.service.clone()).or_default();
        service.insert((replica.stable_id, instance.id.clone()));
    }

    pub(super) fn remove(&mut self, replica: &Replica) {
        let instance = &replica.instance;
        let Some(service) = self.by_service.get_mut(&instance.service) else { return };
        service.remove(&(replica.stable_id, instance.id.clone()));
        if service.is_empty() {
            self.by_service.remove(&instance.service);
        }
    }

    /// Number of replicas of a service.
    pub(super) fn count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }

    /// Hashes of the replicas of a service, in ascending order.
    pub(super) fn hashes(&self, service: &str) -> impl Iterator<Item = ReplicaId> {
        self.by_service.get(service).into_iter().flatten().map(|(hash, _)| *hash)
    }

    /// Replicas of a shard, by identifier.
    pub(super) fn in_shard(&self, service: &str, shard: Shard) -> BTreeSet<&InstanceId> {
        let Some(service) = self.by_service.get(service) else { return BTreeSet::new() };
        let from = (shard.first_hash(), InstanceId::new());
        let from_shard = service.range(from..).take_while(|(hash, _)| shard.contains(*hash));
        from_shard.map(|(_, id)| id).collect()
    }
}
