//! Choices in a fleet of many gateways: which shards a prompt may go to, and what is made of the
//! offer of a shard's coordinator.

use super::choice::shared_of;
use super::{Balancer, Choice, ChoiceRequest};
use crate::question::PlacementOffer;
use crate::shards::Shard;
use rand::Rng;
use topazmount_routing::rendezvous_weight;
use topazmount_types::Time;

/// Shards that are asked for one prompt at most.
const MOST_SHARDS: usize = 3;
/// What a prompt may wait beyond the time in which an idle replica would read it whole, in
/// milliseconds, before another shard is asked.
const SPILL_MS: f64 = 50.0;

impl Balancer {
    /// Sets whether gateways are so many that coordinators place prompts.
    pub(crate) fn set_coordinated(&mut self, has_coordinators: bool) {
        self.has_coordinators = has_coordinators;
    }

    /// Shards of a service; none where gateways are few.
    pub(crate) fn shards_of(&self, service: &str) -> Vec<Shard> {
        let count = self.shard_count(service);
        (0..count).map(|index| Shard { index, count }).collect()
    }

    fn shard_count(&self, service: &str) -> u32 {
        match self.has_coordinators {
            true => Shard::count_for(self.serving(service).count()),
            false => 0,
        }
    }

    /// The shard that a replica belongs to, if its service has shards.
    pub(crate) fn shard_of(&self, choice: &Choice) -> Option<Shard> {
        let replica = self.replicas.get(&choice.instance.id)?;
        let count = self.shard_count(&choice.instance.service);
        (count > 0).then(|| Shard::of(replica.place, count))
    }

    /// Shards that a prompt may go to, its own first: those of the first homes of its shared parts. A
    /// prompt that shares nothing belongs nowhere.
    pub(crate) fn shards_for(&mut self, request: &ChoiceRequest<'_>) -> Vec<Shard> {
        let count = self.shard_count(request.service);
        if count == 0 || request.prompt.is_none() || request.pinned_to.is_some() {
            return Vec::new();
        }
        let chain = request.chain();
        let key = shared_of(&chain).last().copied().unwrap_or_else(|| self.rng.random());
        let serving = self.serving(request.service);
        let mut homes: Vec<_> =
            serving.map(|one| (rendezvous_weight(key, one.place), one.place)).collect();
        homes.sort_unstable_by(|left, right| right.cmp(left));
        let mut shards: Vec<Shard> = Vec::with_capacity(MOST_SHARDS);
        for (_, home) in homes {
            let shard = Shard::of(home, count);
            if !shards.contains(&shard) {
                shards.push(shard);
            }
            if shards.len() == MOST_SHARDS {
                break;
            }
        }
        shards
    }

    /// Whether a prompt is better asked for at a further shard: an idle replica elsewhere would have
    /// read it whole before this choice begins.
    pub(crate) fn is_overloaded(&self, choice: &Choice, request: &ChoiceRequest<'_>) -> bool {
        let tokens = request.prompt.map_or(0, |prompt| prompt.prompt_tokens);
        let alone_ms = f64::from(tokens) / self.prefill_rate(request.service);
        choice.estimate_ms > alone_ms + SPILL_MS
    }

    /// Names of the incarnations that a question names by their hashes; unknown ones are passed over.
    pub(crate) fn names_of(&self, keys: &[u64]) -> Vec<String> {
        let known = keys.iter().filter_map(|key| self.replicas.get(self.by_key.get(key)?));
        known.map(|replica| replica.name.clone()).collect()
    }

    /// What a coordinator says of its choice.
    pub(crate) fn offer(&self, choice: &Choice) -> Option<PlacementOffer> {
        Some(PlacementOffer {
            replica: self.chosen(choice)?.key.0,
            expected_prefill: choice.expected_prefill,
            known_tokens: choice.known_tokens,
            estimate_ms: choice.estimate_ms,
            policy: choice.policy as u32,
            home_rank: choice.home_rank,
            has_empty_queue: choice.has_empty_queue,
            slot_utilization: choice.slot_utilization,
            version: choice.version,
            source: choice.source.clone(),
            save_to: choice.save_to.clone(),
        })
    }

    /// The choice that a coordinator's offer makes; none where this node knows that the replica must
    /// not be asked.
    pub(crate) fn accept_offer(
        &self,
        offer: &PlacementOffer,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<Choice> {
        let replica = self.replicas.get(self.by_key.get(&offer.replica)?)?;
        if replica.instance.service != request.service
            || !self.could_serve(replica, request, now)
            || self.wants_none(replica, now)
        {
            return None;
        }
        let known = replica.version(request.model);
        // What the coordinator says of caches belongs to the version that it believes in.
        let is_same_version = known <= offer.version;
        let prompt_tokens = request.prompt.map_or(0, |prompt| prompt.prompt_tokens);
        Some(Choice {
            instance: replica.instance.clone(),
            expected_prefill: offer.expected_prefill.min(prompt_tokens),
            known_tokens: offer.known_tokens,
            estimate_ms: offer.estimate_ms,
            policy: offer.policy as usize,
            home_rank: offer.home_rank,
            has_empty_queue: offer.has_empty_queue,
            slot_utilization: offer.slot_utilization,
            version: self.version_to_name(known.max(offer.version), request, now),
            required_version: self.expected(known.max(offer.version), request, now),
            source: offer.source.clone().filter(|_| is_same_version),
            save_to: offer.save_to.clone().filter(|_| is_same_version),
            limit: self.limits.limit(replica.key.0),
            has_prompt: request.prompt.is_some(),
            slot: replica.slot,
        })
    }
}
