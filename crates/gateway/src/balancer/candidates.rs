//! Which replicas may be asked, and what a request would cost at each.

use super::cost::{self, DELAY_PER_REQUEST_MS, DELAY_SHARE, OLD_WEIGHTS_MS, OTHER_ZONE_MS};
use super::replica::Replica;
use super::view::PromptView;
use super::{Balancer, ChoiceRequest};
use crate::shards::Shard;
use rand::Rng;
use std::collections::HashMap;
use topazmount_control::Availability;
use topazmount_routing::Candidate;
use topazmount_types::{InstanceId, ReplicaId, Time};

/// A replica's places are counted as taken when this part of them is in use.
const FULL_SHARE: f64 = 0.8;
/// Wait for a place at a full replica, per request over its places, in milliseconds.
const OVER_PLACE_MS: f64 = 16.0;
/// Smallest difference between estimates, in milliseconds.
const TIE_MS: f64 = 0.01;

impl Balancer {
    /// Replicas that may be asked: healthy ones, else those that failed lately.
    pub(super) fn open_replicas(
        &self,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        now: Time,
    ) -> Vec<InstanceId> {
        let may_serve = |replica: &&Replica| {
            shard.is_none_or(|shard| shard.contains(replica.place))
                && self.could_serve(replica, request, now)
                && !self.wants_none(replica, now)
        };
        let mut serving: Vec<&Replica> = self.serving(request.service).filter(may_serve).collect();
        // Weights that are not known may be too old.
        let is_known = |replica: &&Replica| replica.version(request.model).is_some();
        if request.model.is_some() && serving.iter().any(is_known) {
            serving.retain(is_known);
        }
        let ids = |keep: &dyn Fn(&Replica) -> bool| -> Vec<InstanceId> {
            let kept = serving.iter().filter(|replica| keep(replica));
            kept.map(|replica| replica.instance.id.clone()).collect()
        };
        let is_paused = |replica: &Replica| replica.availability == Availability::Paused;
        let healthy = ids(&|replica| !replica.is_suspect(now) && !is_paused(replica));
        if !healthy.is_empty() {
            return healthy;
        }
        let unpaused = ids(&|replica| !is_paused(replica));
        if unpaused.is_empty() { ids(&|_| true) } else { unpaused }
    }

    /// Whether a replica may be asked, apart from what it asked of this process.
    pub(super) fn could_serve(
        &self,
        replica: &Replica,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> bool {
        replica.may_take(request)
            && !replica.went_back(request, now)
            && !self.is_outdated(replica, request.model)
    }

    pub(super) fn candidates(
        &mut self,
        open: &[InstanceId],
        request: &ChoiceRequest<'_>,
        view: &PromptView,
        now: Time,
    ) -> Vec<Candidate> {
        let ranks: HashMap<&InstanceId, usize> = view.homes.iter().zip(0..).collect();
        let home = view.homes.iter().find(|id| open.contains(*id));
        let is_unknown = view.kept.is_empty() && view.coming.is_empty();
        let version_of = |id: &InstanceId| self.replicas[id].version(request.model);
        let rate = self.prefill_rate(request.service);
        let is_placed_anew = self.has_coordinators && view.is_nowhere_whole(request);
        let newest = open.iter().filter_map(version_of).max();
        let mut candidates: Vec<Candidate> = Vec::with_capacity(open.len());
        for (position, id) in open.iter().enumerate() {
            let replica = &self.replicas[id];
            let mut candidate = self.candidate(replica, position, rate, now);
            candidate.home_rank = ranks.get(id).map_or(0, |rank| *rank as u32);
            if let Some(prompt) = request.prompt {
                let depth = view.known_parts(replica.slot);
                let is_home = is_unknown && home == Some(id);
                let source = self.source(replica, request, view, now);
                let source = source.as_ref();
                cost::add_prompt(
                    &mut candidate,
                    prompt,
                    request.engine,
                    depth,
                    is_home,
                    source,
                    rate,
                );
                if is_placed_anew {
                    // What shallow parts save once must not decide where the deep ones stay: their
                    // holders would become the homes of all prompts that begin alike. Late answers of
                    // two paired plays of 8 and 12 s: 522 and 528 before, 303 and 411 after.
                    candidate.prefill_ms = f64::from(prompt.prompt_tokens) / rate;
                }
                if version_of(id) < newest {
                    candidate.network_ms += OLD_WEIGHTS_MS;
                }
            }
            candidates.push(candidate);
        }
        // Equal estimates must not all go to the first replica of the list.
        let favoured = self.rng.random_range(0..candidates.len().max(1));
        if let Some(one) = candidates.get_mut(favoured) {
            one.network_ms -= TIE_MS;
        }
        candidates
    }

    fn candidate(&self, replica: &Replica, position: usize, rate: f64, now: Time) -> Candidate {
        let is_local = replica.instance.zone == self.zone;
        let in_flight = replica.all_in_flight(now);
        let queue_ms = f64::from(in_flight) * DELAY_PER_REQUEST_MS
            + replica.waiting_tokens(now) as f64 / rate
            + DELAY_SHARE * replica.delay_ms(now);
        let over = f64::from(in_flight) - FULL_SHARE * f64::from(replica.instance.slots);
        Candidate {
            replica: ReplicaId(u64::from(replica.slot)),
            position: position as u32,
            is_local,
            in_flight: replica.in_flight,
            queue_ms: queue_ms + over.max(0.0) * OVER_PLACE_MS,
            network_ms: if is_local { 0.0 } else { OTHER_ZONE_MS },
            ..Candidate::default()
        }
    }
}
