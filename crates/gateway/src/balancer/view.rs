//! What is known of a prompt at the time of a choice: its homes, and who holds it.

use super::holders::Kept;
use super::{Balancer, ChoiceRequest};
use crate::shards::Shard;
use crate::stores::{StoredPrompt, cache_salt};
use std::collections::{BTreeSet, HashMap};
use topazmount_routing::rendezvous_weight;
use topazmount_types::{InstanceId, ReplicaId, Time};

/// Replicas of a service for each one that is a home of a first part: deeper prefixes have their
/// homes among these, so that few replicas read a part that many prompts share.
const REPLICAS_PER_HOME: usize = 2;

/// What is known of a prompt's parts at the time of a choice.
pub(super) struct PromptView {
    pub(super) homes: Vec<InstanceId>,
    /// Leading parts that each replica holds, and how long ago it read or used the last of them, by
    /// slot.
    pub(super) kept: HashMap<u32, Kept>,
    /// Leading parts that each replica was sent and has not read yet, by slot.
    pub(super) coming: HashMap<u32, usize>,
    /// What a store holds of it, by the version of the weights.
    pub(super) stored: HashMap<u32, StoredPrompt>,
}

impl PromptView {
    /// Whether no replica holds, or is reading, all parts that the prompt shares.
    pub(super) fn is_nowhere_whole(&self, request: &ChoiceRequest<'_>) -> bool {
        let shared = request.prompt.map_or(0, |prompt| prompt.parts.len().saturating_sub(1));
        let kept = self.kept.values().map(|kept| kept.parts);
        let coming = self.coming.values().copied();
        kept.chain(coming).max().unwrap_or(0) < shared
    }

    /// Leading parts that a replica holds or is reading.
    pub(super) fn known_parts(&self, slot: u32) -> usize {
        let kept = self.kept.get(&slot).map_or(0, |kept| kept.parts);
        kept.max(self.coming.get(&slot).copied().unwrap_or(0))
    }
}

impl Balancer {
    /// What is known of the prompt whose shared parts have this chain.
    pub(super) fn prompt_view(
        &self,
        request: &ChoiceRequest<'_>,
        shared: &[u64],
        shard: Option<Shard>,
        now: Time,
    ) -> PromptView {
        let incarnation_of = |slot: u32| {
            let replica = self.replicas.get(self.by_slot.get(&slot)?)?;
            Some(replica.incarnation(replica.version(request.model)?))
        };
        PromptView {
            homes: self.home_order(request, shared, shard),
            kept: self.holders.kept(shared, now, incarnation_of),
            coming: self.holders.coming(shared, now, incarnation_of),
            stored: self.stored(request, shard),
        }
    }

    /// What stores hold of the prompt under each version that replicas of the service have.
    fn stored(
        &self,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
    ) -> HashMap<u32, StoredPrompt> {
        let Some(prompt) = request.prompt else { return HashMap::new() };
        let serving = self.serving(request.service);
        let versions: BTreeSet<u32> =
            serving.filter_map(|one| one.version(request.model)).collect();
        let found = versions.into_iter().filter_map(|version| {
            let stored =
                self.stores.find(prompt, shard, &cache_salt(version, request.isolated_tenant))?;
            (stored.parts > 0).then_some((version, stored))
        });
        found.collect()
    }

    /// Replicas of the service, or of one shard of it, in the order in which they are homes of the
    /// prompt's shared parts. Where each gateway hears of all work, the first part picks a part of the
    /// replicas, and all shared parts together rank these; the others follow, ranked alike. In a
    /// sharded service all shared parts together rank the replicas, as they pick the shard. All nodes
    /// find the same order.
    fn home_order(
        &self,
        request: &ChoiceRequest<'_>,
        shared: &[u64],
        shard: Option<Shard>,
    ) -> Vec<InstanceId> {
        let (Some(first), Some(deepest)) = (shared.first(), shared.last()) else {
            return Vec::new();
        };
        let serving = self.serving(request.service);
        let serving = serving.filter(|one| shard.is_none_or(|shard| shard.contains(one.place)));
        let mut order: Vec<(&InstanceId, ReplicaId)> =
            serving.map(|one| (&one.instance.id, one.place)).collect();
        let homes = match self.has_coordinators {
            true => order.len(),
            false => order.len().div_ceil(REPLICAS_PER_HOME).min(order.len()),
        };
        let by = |key: u64| {
            move |(_, id): &(&InstanceId, ReplicaId)| std::cmp::Reverse(rendezvous_weight(key, *id))
        };
        if homes < order.len() {
            order.sort_by_cached_key(by(*first));
        }
        let (near, far) = order.split_at_mut(homes);
        near.sort_by_cached_key(by(*deepest));
        far.sort_by_cached_key(by(*deepest));
        order.into_iter().map(|(id, _)| id.clone()).collect()
    }
}
