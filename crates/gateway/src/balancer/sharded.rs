//! Placement in a fleet with coordinators: the shards that a prompt may go to, and the handling of
//! a coordinator's offer.

use super::choice::shared_prefix;
use super::{Balancer, Choice, ChoiceRequest};
use crate::placement_request::PlacementOffer;
use crate::shards::Shard;
use rand::Rng;
use topazmount_types::Time;

/// Maximum number of shards whose coordinators are asked about one prompt.
const MAX_SHARDS: usize = 3;
/// Wait, in milliseconds beyond the prefill time at an idle replica, above which another shard is
/// tried.
const MAX_EXTRA_WAIT_MS: f64 = 50.0;

impl Balancer {
    /// Sets whether replicas without a place for this gateway are excluded.
    pub(crate) fn set_enforces_places(&mut self, enforces_places: bool) {
        self.enforces_places = enforces_places;
    }

    /// Sets whether coordinators place prompts.
    pub(crate) fn set_coordinated(&mut self, has_coordinators: bool) {
        self.has_coordinators = has_coordinators;
    }

    /// Shards of a service; empty without coordinators.
    pub(crate) fn shards_of(&self, service: &str) -> Vec<Shard> {
        let count = self.shard_count(service);
        (0..count).map(|index| Shard { index, count }).collect()
    }

    fn shard_count(&self, service: &str) -> u32 {
        match self.has_coordinators {
            true => Shard::count_for(self.service_index.count(service)),
            false => 0,
        }
    }

    /// The shard of the chosen replica, if its service has shards.
    pub(crate) fn shard_of(&self, choice: &Choice) -> Option<Shard> {
        let replica = self.replicas.get(&choice.instance.id)?;
        let count = self.shard_count(&choice.instance.service);
        (count > 0).then(|| Shard::of(replica.stable_id, count))
    }

    /// Shards that a prompt may go to, in order of the first homes of its shared parts. A prompt
    /// without shared parts gets a random order.
    pub(crate) fn shards_for(&mut self, request: &ChoiceRequest<'_>) -> Vec<Shard> {
        let count = self.shard_count(request.service);
        if count == 0 || request.prompt.is_none() || request.pinned_to.is_some() {
            return Vec::new();
        }
        let prefix_hashes = request.prefix_hashes();
        let key =
            shared_prefix(&prefix_hashes).last().copied().unwrap_or_else(|| self.rng.random());
        self.service_index.first_shards(request.service, key, count, MAX_SHARDS)
    }

    /// Whether the prompt should be tried at a further shard, as it would wait too long at this
    /// choice.
    pub(crate) fn is_overloaded(&self, choice: &Choice, request: &ChoiceRequest<'_>) -> bool {
        let tokens = request.prompt.map_or(0, |prompt| prompt.prompt_tokens);
        let idle_prefill_ms = f64::from(tokens) / self.prefill_rate(request.service);
        choice.estimate_ms > idle_prefill_ms + MAX_EXTRA_WAIT_MS
    }

    /// Names of the incarnations with these hashes; unknown ones are skipped.
    pub(crate) fn names_of(&self, keys: &[u64]) -> Vec<String> {
        let known = keys.iter().filter_map(|key| self.replicas.get(self.resolve(*key)?));
        known.map(|replica| replica.name.clone()).collect()
    }

    /// The offer that a coordinator sends for its choice.
    pub(crate) fn offer(&self, choice: &Choice) -> Option<PlacementOffer> {
        Some(PlacementOffer {
            replica: self.chosen(choice)?.incarnation_id.0,
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

    /// Turns a coordinator's offer into a choice; `None` if this node knows that the replica must
    /// not be used.
    pub(crate) fn accept_offer(
        &self,
        offer: &PlacementOffer,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<Choice> {
        let replica = self.replicas.get(self.resolve(offer.replica)?)?;
        if replica.instance.service != request.service
            || !self.is_eligible(replica, request, now)
            || self.is_unavailable(replica, now)
        {
            return None;
        }
        let known = replica.version(request.model);
        // The offer's cache sources are only valid for the version that the coordinator has
        // recorded.
        let is_offered_version = known <= offer.version;
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
            version: self.version_to_request(known.max(offer.version), request, now),
            required_version: self.required_version(known.max(offer.version), request, now),
            source: offer.source.clone().filter(|_| is_offered_version),
            save_to: offer.save_to.clone().filter(|_| is_offered_version),
            limit: self.limits.limit(replica.incarnation_id.0),
            has_prompt: request.prompt.is_some(),
            slot: replica.slot,
        })
    }
}
