//! The known state of a prompt at the time of a choice: its home order, and where it is cached.

use super::cache_records::CachedPrefix;
use super::replica::Replica;
use super::{Balancer, ChoiceRequest};
use crate::shards::Shard;
use crate::stores::{StoredPrompt, cache_salt};
use std::collections::{BTreeSet, HashMap};
use topazmount_routing::rendezvous_weight;
use topazmount_types::{InstanceId, ReplicaId, Time};

/// Number of replicas per home of a first part. Deeper prefixes have their homes among these, so
/// that few replicas read a part that many prompts share.
const REPLICAS_PER_HOME: usize = 2;

/// The known state of a prompt's parts at the time of a choice.
pub(super) struct PromptView {
    pub(super) homes: Vec<InstanceId>,
    /// Cached prefix at each replica, by slot.
    pub(super) cached: HashMap<u32, CachedPrefix>,
    /// Number of leading parts that each replica is reading, by slot.
    pub(super) pending: HashMap<u32, usize>,
    /// What a store holds of the prompt, by version of the weights.
    pub(super) stored: HashMap<u32, StoredPrompt>,
}

impl PromptView {
    /// Whether no replica has cached, or is reading, all shared parts of the prompt.
    pub(super) fn has_no_full_copy(&self, request: &ChoiceRequest<'_>) -> bool {
        let shared = request.prompt.map_or(0, |prompt| prompt.parts.len().saturating_sub(1));
        let cached = self.cached.values().map(|cached| cached.parts);
        let pending = self.pending.values().copied();
        cached.chain(pending).max().unwrap_or(0) < shared
    }

    /// Number of leading parts that a replica has cached or is reading.
    pub(super) fn cached_or_pending_parts(&self, slot: u32) -> usize {
        let cached = self.cached.get(&slot).map_or(0, |cached| cached.parts);
        cached.max(self.pending.get(&slot).copied().unwrap_or(0))
    }
}

impl Balancer {
    /// Collects the known state of the prompt with these shared prefix hashes, at the replicas of
    /// the service, or of one shard.
    pub(super) fn prompt_view(
        &self,
        request: &ChoiceRequest<'_>,
        shared: &[u64],
        shard: Option<Shard>,
        serving: &[&Replica],
        now: Time,
    ) -> PromptView {
        let incarnation_of = |slot: u32| {
            let replica = self.replicas.get(self.by_slot.get(&slot)?)?;
            Some(replica.incarnation(replica.version(request.model)?))
        };
        PromptView {
            homes: self.home_order(shared, serving),
            cached: self.cache_records.cached_prefixes(shared, now, incarnation_of),
            pending: self.cache_records.pending_reads(shared, now, incarnation_of),
            stored: self.stored(request, shard, serving),
        }
    }

    /// What stores hold of the prompt under each version that replicas of the service, or of one shard,
    /// have.
    fn stored(
        &self,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        serving: &[&Replica],
    ) -> HashMap<u32, StoredPrompt> {
        let Some(prompt) = request.prompt else { return HashMap::new() };
        let versions: BTreeSet<u32> =
            serving.iter().filter_map(|replica| replica.version(request.model)).collect();
        let found = versions.into_iter().filter_map(|version| {
            let stored =
                self.stores.find(prompt, shard, &cache_salt(version, request.isolated_tenant))?;
            (stored.parts > 0).then_some((version, stored))
        });
        found.collect()
    }

    /// Replicas of the service, or of one shard, in the prompt's home order, which all nodes
    /// compute alike. With coordinators, the hash of all shared parts ranks the replicas. Without,
    /// the hash of the first part selects the leading replicas, and the hash of all shared parts
    /// ranks these and then the rest.
    fn home_order(&self, shared: &[u64], serving: &[&Replica]) -> Vec<InstanceId> {
        let (Some(first), Some(last)) = (shared.first(), shared.last()) else {
            return Vec::new();
        };
        let mut order: Vec<(&InstanceId, ReplicaId)> =
            serving.iter().map(|replica| (&replica.instance.id, replica.stable_id)).collect();
        let homes = match self.has_coordinators {
            true => order.len(),
            false => order.len().div_ceil(REPLICAS_PER_HOME).min(order.len()),
        };
        let by_weight = |key: u64| {
            move |(_, id): &(&InstanceId, ReplicaId)| std::cmp::Reverse(rendezvous_weight(key, *id))
        };
        if homes < order.len() {
            order.sort_by_cached_key(by_weight(*first));
        }
        let (preferred, rest) = order.split_at_mut(homes);
        preferred.sort_by_cached_key(by_weight(*last));
        rest.sort_by_cached_key(by_weight(*last));
        order.into_iter().map(|(id, _)| id.clone()).collect()
    }
}
