//! Which replica a forwarded request goes to.

use crate::catalog::Route;
use crate::prompt::Prompt;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_routing::{CacheView, Candidate, PolicyTable, RouteRequest, rendezvous_weight};
use topazmount_types::{
    Incarnation, Instance, InstanceId, ModelId, Priority, ReplicaId, TenantId, Time, WeightsVersion,
};

/// Parts remembered in the view of replicas' caches.
const CACHE_PARTS: usize = 20_000;
/// Prefill rate assumed, in tokens a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 30.0;
/// Time by which one request in flight delays the next, in milliseconds.
const DELAY_PER_REQUEST_MS: f64 = 4.0;
/// Cost of another zone, in milliseconds: the way there and back and the price of its bytes.
const OTHER_ZONE_MS: f64 = 6.0;
/// Replicas per prompt prefix that are believed to hold it whoever asked for it.
const HOMES: u32 = 1;
/// Age after which an own earlier request says nothing of a cache.
const CACHE_AGE: Duration = Duration::from_secs(30);
/// First time for which a replica that failed is passed over; doubled with each further failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(500);
/// Longest such time.
const LONGEST_SUSPICION: Duration = Duration::from_secs(4);
/// A replica's places are counted as taken when this node has its share of them in use.
const SHARE_SLACK: u32 = 2;

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Prompt, if the request has one.
    pub prompt: Option<&'a Prompt>,
    /// Model of the prompt.
    pub model: Option<&'a str>,
    /// Hash of what separates caches beside the version of weights: the tenant's wall and the
    /// model.
    pub namespace: u64,
    /// Replicas that were tried already.
    pub exclude: &'a [InstanceId],
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Replica.
    pub instance: Instance,
    /// Prompt tokens that it is expected to compute.
    pub expected_prefill: u32,
    /// Estimated time to the first token, in milliseconds.
    pub estimate_ms: f64,
    /// Version of the model's weights that it is believed to hold.
    pub version: Option<u32>,
    slot: u32,
}

#[derive(Clone, Debug)]
struct Replica {
    instance: Instance,
    slot: u32,
    in_flight: u32,
    pending_prefill: u64,
    failures: u32,
    suspect_until: Time,
    availability: Availability,
    models: Vec<LoadedModel>,
}

impl Replica {
    fn version(&self, model: Option<&str>) -> Option<u32> {
        let model = model?;
        self.models.iter().find(|one| one.model == model).map(|one| one.version)
    }

    /// What its cache belongs to: this life of it, with these weights.
    fn incarnation(&self, model: Option<&str>) -> Incarnation {
        let version = self.version(model).unwrap_or(0);
        Incarnation((u64::from(self.slot) << 32) | u64::from(version))
    }

    fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until
    }
}

/// One node's knowledge of the replicas, and its choice among them.
pub struct Balancer {
    zone: String,
    replicas: BTreeMap<InstanceId, Replica>,
    by_slot: HashMap<u32, InstanceId>,
    cache: CacheView,
    splits: HashMap<String, Vec<f64>>,
    next_slot: u32,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Balancer {
    /// A balancer of a node in a zone.
    pub fn new(zone: &str, seed: u64) -> Self {
        Balancer {
            zone: zone.to_owned(),
            replicas: BTreeMap::new(),
            by_slot: HashMap::new(),
            cache: CacheView::new(CACHE_PARTS),
            splits: HashMap::new(),
            next_slot: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Adds a replica, or takes over what changed of it.
    pub fn upsert(&mut self, instance: Instance) {
        let slot = self.next_slot;
        let id = instance.id.clone();
        let known = self.replicas.entry(id.clone()).or_insert_with(|| Replica {
            instance: instance.clone(),
            slot,
            in_flight: 0,
            pending_prefill: 0,
            failures: 0,
            suspect_until: Time::ZERO,
            availability: Availability::Open,
            models: Vec::new(),
        });
        known.instance = instance;
        if known.slot == slot {
            self.next_slot += 1;
            self.by_slot.insert(slot, id);
        }
    }

    /// Forgets a replica.
    pub fn remove(&mut self, id: &str) {
        if let Some(replica) = self.replicas.remove(id) {
            self.by_slot.remove(&replica.slot);
        }
    }

    /// Forgets all replicas but these.
    pub fn retain(&mut self, ids: &HashSet<InstanceId>) {
        let gone: Vec<InstanceId> =
            self.replicas.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    /// Takes what the leader knows of a replica. A replica's weights never go back.
    pub fn set_status(&mut self, status: &InstanceStatus) {
        let Some(replica) = self.replicas.get_mut(&status.id) else { return };
        replica.availability = status.availability;
        for loaded in &status.models {
            note_version(&mut replica.models, &loaded.model, loaded.version);
        }
    }

    /// Takes the version that a replica named with an answer.
    pub fn saw_version(&mut self, id: &str, model: &str, version: u32) {
        if let Some(replica) = self.replicas.get_mut(id) {
            note_version(&mut replica.models, model, version);
        }
    }

    /// Replicas known.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.replicas.values().map(|replica| &replica.instance)
    }

    /// The service that the next request of a route goes to. Smooth weighted round robin: over any
    /// run of requests each part's count is within one of its exact share.
    pub fn split(&mut self, route: &Route) -> String {
        let [only] = route.split.as_slice() else {
            return self.split_weighted(route);
        };
        only.service.clone()
    }

    fn split_weighted(&mut self, route: &Route) -> String {
        let total: f64 = route.split.iter().map(|part| f64::from(part.weight)).sum();
        // A new split begins at a random place, so that nodes do not all begin alike.
        let key = route.split.iter().fold(route.name.clone(), |key, part| {
            format!("{key}/{}={}", part.service, part.weight)
        });
        let rng = &mut self.rng;
        let credits = self.splits.entry(key).or_insert_with(|| {
            let drawn = rng.random_range(0.0..total);
            route.split.iter().map(|part| drawn * f64::from(part.weight) / total).collect()
        });
        for (credit, part) in credits.iter_mut().zip(&route.split) {
            *credit += f64::from(part.weight);
        }
        let best = (0..credits.len())
            .max_by(|left, right| credits[*left].total_cmp(&credits[*right]))
            .unwrap_or(0);
        credits[best] -= total;
        route.split[best].service.clone()
    }

    /// Chooses a replica, or none when no replica of the service may be asked.
    pub fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
        policies: &mut PolicyTable,
    ) -> Option<Choice> {
        self.sequence += 1;
        let chain = request.prompt.map(|prompt| prompt.chain(request.namespace));
        let chain = chain.unwrap_or_default();
        let open = self.open_replicas(request, now);
        if open.is_empty() {
            return None;
        }
        let candidates = self.candidates(&open, request, &chain, now);
        let route_request = RouteRequest {
            tenant: TenantId::default(),
            model: ModelId(request.namespace),
            weights: WeightsVersion::default(),
            priority: Priority::Normal,
            prompt_tokens: request.prompt.map_or(0, |prompt| prompt.prompt_tokens),
            max_tokens: request.prompt.map_or(0, |prompt| prompt.output_tokens),
            blocks: &chain,
            session: 0,
            sequence: self.sequence,
        };
        let policy = policies.assign(&route_request);
        let position = policies.choose(policy, &route_request, &candidates)?;
        let candidate = candidates.get(position)?;
        let replica = &self.replicas[&open[position]];
        Some(Choice {
            instance: replica.instance.clone(),
            expected_prefill: route_request.prompt_tokens.saturating_sub(candidate.cached_tokens),
            estimate_ms: candidate.estimate_ms(),
            version: replica.version(request.model),
            slot: replica.slot,
        })
    }

    /// Replicas that may be asked: healthy ones, else those that failed lately.
    fn open_replicas(&self, request: &ChoiceRequest<'_>, now: Time) -> Vec<InstanceId> {
        let may_serve = |replica: &&Replica| {
            let instance = &replica.instance;
            instance.service == request.service
                && !instance.is_draining
                && replica.availability != Availability::Barred
                && !request.exclude.contains(&instance.id)
        };
        let serving: Vec<&Replica> = self.replicas.values().filter(may_serve).collect();
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

    fn candidates(
        &mut self,
        open: &[InstanceId],
        request: &ChoiceRequest<'_>,
        chain: &[u64],
        now: Time,
    ) -> Vec<Candidate> {
        let prompt = request.prompt;
        let mut depths: HashMap<u32, usize> = HashMap::new();
        let own_age = |depth: usize, age: Duration| (age < CACHE_AGE).then_some(depth);
        self.cache.holders(
            chain,
            now,
            |slot| {
                let replica = self.replicas.get(self.by_slot.get(&slot)?)?;
                Some(replica.incarnation(request.model))
            },
            |slot, depth, age| {
                if let Some(depth) = own_age(depth, age) {
                    depths.insert(slot, depth);
                }
            },
        );
        // The last part is the request's own; what is before it has a home.
        let shared_depth = chain.len().saturating_sub(1);
        let home_key = chain.get(shared_depth.wrapping_sub(1)).copied().unwrap_or(self.sequence);
        let mut candidates = Vec::with_capacity(open.len());
        for (position, id) in open.iter().enumerate() {
            let replica = &self.replicas[id];
            let depth = depths.get(&replica.slot).copied().unwrap_or(0);
            let cached = prompt.map_or(0, |prompt| tokens_of(prompt, depth));
            candidates.push(self.candidate(replica, position, prompt, cached));
        }
        rank(home_key, &mut candidates, open);
        if let Some(prompt) = prompt {
            let shared = tokens_of(prompt, shared_depth);
            for candidate in candidates.iter_mut().filter(|one| one.home_rank < HOMES) {
                candidate.cached_tokens = candidate.cached_tokens.max(shared);
                candidate.prefill_ms = prefill_ms(prompt, candidate.cached_tokens);
            }
        }
        let jitter = self.rng.random_range(0..candidates.len().max(1));
        // Equal estimates must not all go to the first replica of the list.
        if let Some(one) = candidates.get_mut(jitter) {
            one.network_ms -= 0.01;
        }
        candidates
    }

    fn candidate(
        &self,
        replica: &Replica,
        position: usize,
        prompt: Option<&Prompt>,
        cached_tokens: u32,
    ) -> Candidate {
        let is_local = replica.instance.zone == self.zone;
        let own_share = replica.in_flight as f64;
        let queue_ms = own_share * DELAY_PER_REQUEST_MS
            + replica.pending_prefill as f64 / PREFILL_TOKENS_PER_MS;
        // A full replica serves nobody at once: each request over its places waits for one.
        let over = replica.in_flight.saturating_sub(replica.instance.slots / SHARE_SLACK);
        Candidate {
            replica: ReplicaId(u64::from(replica.slot)),
            position: position as u32,
            is_local,
            in_flight: replica.in_flight,
            cached_tokens,
            queue_ms: queue_ms + f64::from(over) * 4.0 * DELAY_PER_REQUEST_MS,
            prefill_ms: prompt.map_or(0.0, |prompt| prefill_ms(prompt, cached_tokens)),
            network_ms: if is_local { 0.0 } else { OTHER_ZONE_MS },
            ..Candidate::default()
        }
    }

    /// Notes that a request was sent to its choice.
    pub fn sent(&mut self, choice: &Choice) {
        if let Some(replica) = self.replicas.get_mut(&choice.instance.id) {
            replica.in_flight += 1;
            replica.pending_prefill += u64::from(choice.expected_prefill);
        }
    }

    /// Notes the first token of a request: its prompt is read.
    pub fn first_token(&mut self, choice: &Choice, request: &ChoiceRequest<'_>, now: Time) {
        if let Some(replica) = self.replicas.get_mut(&choice.instance.id) {
            let expected = u64::from(choice.expected_prefill);
            replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        }
        let replica = self.replicas.get(&choice.instance.id);
        if let (Some(prompt), Some(replica)) = (request.prompt, replica) {
            let chain = prompt.chain(request.namespace);
            let incarnation = replica.incarnation(request.model);
            self.cache.learn(&chain, choice.slot, incarnation, now);
        }
    }

    /// Notes that a request no longer occupies its choice. `has_first_token` tells whether
    /// [`Balancer::first_token`] was called for it.
    pub fn ended(&mut self, choice: &Choice, has_first_token: bool) {
        if let Some(replica) = self.replicas.get_mut(&choice.instance.id) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
            if !has_first_token {
                let expected = u64::from(choice.expected_prefill);
                replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
            }
        }
    }

    /// Notes that a replica answered as it should.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.failures = 0;
            replica.suspect_until = Time::ZERO;
        }
    }

    /// Notes that a replica failed; it is passed over for a while.
    pub fn failed(&mut self, id: &str, now: Time) {
        if let Some(replica) = self.replicas.get_mut(id) {
            let wait = FIRST_SUSPICION.saturating_mul(1 << replica.failures.min(8));
            replica.failures += 1;
            replica.suspect_until = now + wait.min(LONGEST_SUSPICION);
        }
    }

    /// Notes that another replica has the address; it is passed over for the longest time.
    pub fn is_replaced(&mut self, id: &str, now: Time) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.failures += 1;
            replica.suspect_until = now + LONGEST_SUSPICION;
        }
    }
}

fn tokens_of(prompt: &Prompt, depth: usize) -> u32 {
    prompt.parts.iter().take(depth).map(|part| part.tokens).sum()
}

fn prefill_ms(prompt: &Prompt, cached_tokens: u32) -> f64 {
    f64::from(prompt.prompt_tokens.saturating_sub(cached_tokens)) / PREFILL_TOKENS_PER_MS
}

fn rank(key: u64, candidates: &mut [Candidate], open: &[InstanceId]) {
    let weight = |position: usize| {
        let id = ReplicaId::from_name(&open[position]);
        rendezvous_weight(key, id)
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|position| std::cmp::Reverse(weight(*position)));
    for (rank, position) in order.into_iter().enumerate() {
        candidates[position].home_rank = rank as u32;
    }
}

fn note_version(models: &mut Vec<LoadedModel>, model: &str, version: u32) {
    match models.iter_mut().find(|one| one.model == model) {
        Some(known) => known.version = known.version.max(version),
        None => models.push(LoadedModel { model: model.to_owned(), version }),
    }
}
