//! Lists the available replicas and estimates the cost of a request at each.

use super::cost::{self, DELAY_PER_REQUEST_MS, OTHER_ZONE_MS, SMOOTHED_DELAY_WEIGHT};
use super::replica::Replica;
use super::view::PromptView;
use super::{Balancer, ChoiceRequest};
use rand::Rng;
use std::collections::HashMap;
use topazmount_control::Availability;
use topazmount_routing::Candidate;
use topazmount_types::{InstanceId, ReplicaId, Time};

/// Share of a replica's slots in use above which requests are expected to queue.
const QUEUEING_UTILIZATION: f64 = 0.8;
/// Queueing cost per request above that share, in milliseconds.
const QUEUEING_MS_PER_REQUEST: f64 = 16.0;
/// Difference between estimates that are otherwise equal, in milliseconds.
const TIE_BREAK_MS: f64 = 0.01;

impl Balancer {
    /// Returns those of the replicas of a service, or of one shard, that may be sent a request:
    /// healthy ones if there are any, else unpaused ones, else all.
    pub(super) fn available_replicas(
        &self,
        mut serving: Vec<&Replica>,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Vec<InstanceId> {
        let may_serve = |replica: &&Replica| {
            self.is_eligible(replica, request, now) && !self.is_unavailable(replica, now)
        };
        serving.retain(may_serve);
        // Replicas of unknown version may be outdated, so use them only if all are.
        let is_known = |replica: &&Replica| replica.version(request.model).is_some();
        if request.model.is_some() && serving.iter().any(is_known) {
            serving.retain(is_known);
        }
        let ids = |keep: &dyn Fn(&Replica) -> bool| -> Vec<InstanceId> {
            let kept = serving.iter().filter(|replica| keep(replica));
            kept.map(|replica| replica.instance.id.clone()).collect()
        };
        let is_paused = |replica: &Replica| replica.availability == Availability::Paused;
        let is_healthy = |replica: &Replica| !replica.is_suspect(now) && !replica.is_erring(now);
        // A retry has the last chance, so it does not try out whether a replica works again.
        if !request.tried.is_empty() {
            let without_failures = ids(&|replica| {
                is_healthy(replica)
                    && replica.has_no_failures(now)
                    && !replica.fleet_failures.is_avoided(now)
                    && !is_paused(replica)
            });
            if !without_failures.is_empty() {
                return without_failures;
            }
        }
        let healthy = ids(&|replica| is_healthy(replica) && !is_paused(replica));
        let without_fleet_failures = ids(&|replica| {
            is_healthy(replica) && !replica.fleet_failures.is_avoided(now) && !is_paused(replica)
        });
        // Other gateways' failures keep at most half of the replicas from being used.
        if !without_fleet_failures.is_empty() && without_fleet_failures.len() * 2 >= serving.len() {
            return without_fleet_failures;
        }
        if !healthy.is_empty() {
            return healthy;
        }
        let unpaused = ids(&|replica| !is_paused(replica));
        if unpaused.is_empty() { ids(&|_| true) } else { unpaused }
    }

    /// Whether a replica may serve the request, pushback and request limits aside.
    pub(super) fn is_eligible(
        &self,
        replica: &Replica,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> bool {
        replica.accepts(request)
            && !replica.is_downgraded(request, now)
            && !self.is_outdated(replica, request.model)
    }

    pub(super) fn candidates(
        &mut self,
        available: &[InstanceId],
        request: &ChoiceRequest<'_>,
        view: &PromptView,
        now: Time,
    ) -> Vec<Candidate> {
        let ranks: HashMap<&InstanceId, usize> = view.homes.iter().zip(0..).collect();
        let home = view.homes.iter().find(|id| available.contains(*id));
        let is_uncached = view.cached.is_empty() && view.pending.is_empty();
        let replicas: Vec<&Replica> = available.iter().map(|id| &self.replicas[id]).collect();
        let versions: Vec<Option<u32>> =
            replicas.iter().map(|replica| replica.version(request.model)).collect();
        let rate = self.prefill_rate(request.service);
        let ignores_cached_prefix = self.has_coordinators && view.has_no_full_copy(request);
        let newest = versions.iter().copied().flatten().max();
        let newest_count = versions.iter().filter(|version| **version >= newest).count();
        let newest_share = newest_count as f64 / available.len() as f64;
        let mut candidates: Vec<Candidate> = Vec::with_capacity(available.len());
        for (position, replica) in replicas.into_iter().enumerate() {
            let id = &replica.instance.id;
            let has_newest = versions[position] >= newest;
            let mut candidate = self.candidate(replica, position, rate, now);
            candidate.home_rank = ranks.get(id).map_or(0, |rank| *rank as u32);
            if let Some(prompt) = request.prompt {
                let depth = view.cached_or_pending_parts(replica.slot);
                let is_home = is_uncached && home == Some(id);
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
                if ignores_cached_prefix {
                    // Ignores short cached prefixes: otherwise the replicas that have them would
                    // attract all prompts that begin alike.
                    candidate.prefill_ms = f64::from(prompt.prompt_tokens) / rate;
                }
                candidate.network_ms +=
                    cost::weights_ms(has_newest, newest_share, candidate.queue_ms);
            }
            candidates.push(candidate);
        }
        // Breaks ties at random, so that equal estimates don't all pick the first replica.
        let favored = self.rng.random_range(0..candidates.len().max(1));
        if let Some(candidate) = candidates.get_mut(favored) {
            candidate.network_ms -= TIE_BREAK_MS;
        }
        candidates
    }

    fn candidate(&self, replica: &Replica, position: usize, rate: f64, now: Time) -> Candidate {
        let is_local = replica.instance.zone == self.zone;
        let in_flight = replica.all_in_flight(now);
        let queue_ms = f64::from(in_flight) * DELAY_PER_REQUEST_MS
            + replica.waiting_tokens(now) as f64 / rate
            + SMOOTHED_DELAY_WEIGHT * replica.delay_ms(now);
        let excess =
            f64::from(in_flight) - QUEUEING_UTILIZATION * f64::from(replica.instance.slots);
        Candidate {
            replica: ReplicaId(u64::from(replica.slot)),
            position: position as u32,
            is_local,
            in_flight: replica.in_flight,
            queue_ms: queue_ms + excess.max(0.0) * QUEUEING_MS_PER_REQUEST,
            network_ms: if is_local { 0.0 } else { OTHER_ZONE_MS },
            ..Candidate::default()
        }
    }
}
