//! Which replica a forwarded request goes to.

use crate::catalog::{EngineParameters, Route};
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
/// Replicas of a service for each one that is a home of a first part: deeper prefixes have their
/// homes among these, so that few replicas read a part that many prompts share.
const REPLICAS_PER_HOME: usize = 2;
/// What a move of memory costs beside its own time, in milliseconds.
const MOVE_COST_MS: f64 = 15.0;
/// Chance that a source holds what it is believed to: others may have been sent the prompt.
const SOURCE_CHANCE: f64 = 0.7;
/// Cost of each place in the order of homes, in milliseconds: what leaves its home should meet
/// again at the next one.
const RANK_COST_MS: f64 = 4.0;
/// Times that a move's duration counts: it holds up other moves at both ends.
const MOVE_WEIGHT: f64 = 2.0;
/// Factor on a move's duration between zones.
const OTHER_ZONE_MOVE: f64 = 2.0;
/// Weight of a new observation in a replica's smoothed delay.
const DELAY_GAIN: f64 = 0.4;
/// Time after which an observed delay counts half.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(700);
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
    /// Parameters of the service's engines, if it has any.
    pub engine: Option<&'a EngineParameters>,
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
    /// Place in the order of the prompt's homes; 0 is the first.
    pub home_rank: u32,
    /// Version of the model's weights that it is believed to hold.
    pub version: Option<u32>,
    /// Address of a replica with the same weights that probably holds more of the prompt.
    pub source: Option<String>,
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
    /// Smoothed time by which first tokens came later than expected, and when that was noted.
    delay_ms: f64,
    delay_at: Time,
    /// When anything was last received from it.
    heard_at: Time,
}

impl Replica {
    fn delay_ms(&self, now: Time) -> f64 {
        let age = now.since(self.delay_at).as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.delay_ms * 0.5f64.powf(age)
    }

    fn note_delay(&mut self, delay_ms: f64, now: Time) {
        let before = self.delay_ms(now);
        self.delay_ms = before + DELAY_GAIN * (delay_ms - before);
        self.delay_at = now;
    }

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
            delay_ms: 0.0,
            delay_at: Time::ZERO,
            heard_at: Time::ZERO,
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
        let homes = self.home_order(request, &chain);
        let candidates = self.candidates(&open, request, &chain, &homes, now);
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
        let source = self.source(replica, request, &homes, now);
        Some(Choice {
            instance: replica.instance.clone(),
            expected_prefill: route_request.prompt_tokens.saturating_sub(candidate.cached_tokens),
            estimate_ms: candidate.estimate_ms(),
            home_rank: candidate.home_rank,
            version: replica.version(request.model),
            source: source.map(|source| source.instance.address.clone()),
            slot: replica.slot,
        })
    }

    /// Replicas of the service in the order in which they are homes of the prompt's shared parts.
    /// The first part picks a few replicas, and all shared parts together rank these; the others
    /// follow, ranked alike. All nodes find the same order.
    fn home_order(&self, request: &ChoiceRequest<'_>, chain: &[u64]) -> Vec<InstanceId> {
        // The last part is the request's own and has no home.
        let Some((_, shared)) = chain.split_last() else { return Vec::new() };
        let (Some(first), Some(deepest)) = (shared.first(), shared.last()) else {
            return Vec::new();
        };
        let serving = self.replicas.values().filter(|one| one.instance.service == request.service);
        let mut order: Vec<(&InstanceId, ReplicaId)> =
            serving.map(|one| (&one.instance.id, ReplicaId::from_name(&one.instance.id))).collect();
        let homes = order.len().div_ceil(REPLICAS_PER_HOME).min(order.len());
        let by = |key: u64| {
            move |(_, id): &(&InstanceId, ReplicaId)| std::cmp::Reverse(rendezvous_weight(key, *id))
        };
        order.sort_by_cached_key(by(*first));
        let (near, far) = order.split_at_mut(homes);
        near.sort_by_cached_key(by(*deepest));
        far.sort_by_cached_key(by(*deepest));
        order.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// The first home beside the replica itself that has the same weights and answers.
    fn source(
        &self,
        replica: &Replica,
        request: &ChoiceRequest<'_>,
        homes: &[InstanceId],
        now: Time,
    ) -> Option<&Replica> {
        let version = replica.version(request.model)?;
        let may_give = |other: &&Replica| {
            other.slot != replica.slot
                && other.version(request.model) == Some(version)
                && other.availability == Availability::Open
                && !other.is_suspect(now)
        };
        homes.iter().filter_map(|id| self.replicas.get(id)).find(may_give)
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
        let mut serving: Vec<&Replica> = self.replicas.values().filter(may_serve).collect();
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

    fn candidates(
        &mut self,
        open: &[InstanceId],
        request: &ChoiceRequest<'_>,
        chain: &[u64],
        homes: &[InstanceId],
        now: Time,
    ) -> Vec<Candidate> {
        let depths = self.own_depths(request, chain, now);
        let ranks: HashMap<&InstanceId, usize> = homes.iter().zip(0..).collect();
        let home = homes.iter().find(|id| open.contains(*id));
        let mut candidates: Vec<Candidate> = Vec::with_capacity(open.len());
        for (position, id) in open.iter().enumerate() {
            let replica = &self.replicas[id];
            let depth = depths.get(&replica.slot).copied().unwrap_or(0);
            let mut candidate = self.candidate(replica, position, now);
            candidate.home_rank = ranks.get(id).map_or(0, |rank| *rank as u32);
            if let Some(prompt) = request.prompt {
                let source = self.source(replica, request, homes, now);
                let is_home = home == Some(id);
                add_prompt(&mut candidate, prompt, request.engine, depth, is_home, source);
            }
            candidates.push(candidate);
        }
        // Equal estimates must not all go to the first replica of the list.
        let favoured = self.rng.random_range(0..candidates.len().max(1));
        if let Some(one) = candidates.get_mut(favoured) {
            one.network_ms -= 0.01;
        }
        candidates
    }

    /// How much of the chain each replica was sent by this node lately, by slot.
    fn own_depths(
        &self,
        request: &ChoiceRequest<'_>,
        chain: &[u64],
        now: Time,
    ) -> HashMap<u32, usize> {
        let mut depths: HashMap<u32, usize> = HashMap::new();
        let incarnation = |slot: u32| {
            let replica = self.replicas.get(self.by_slot.get(&slot)?)?;
            Some(replica.incarnation(request.model))
        };
        self.cache.holders(chain, now, incarnation, |slot, depth, age| {
            if age < CACHE_AGE {
                depths.insert(slot, depth);
            }
        });
        depths
    }

    fn candidate(&self, replica: &Replica, position: usize, now: Time) -> Candidate {
        let is_local = replica.instance.zone == self.zone;
        let queue_ms = f64::from(replica.in_flight) * DELAY_PER_REQUEST_MS
            + replica.pending_prefill as f64 / PREFILL_TOKENS_PER_MS
            + replica.delay_ms(now);
        // A full replica serves nobody at once: each request over its places waits for one.
        let over = replica.in_flight.saturating_sub(replica.instance.slots / SHARE_SLACK);
        Candidate {
            replica: ReplicaId(u64::from(replica.slot)),
            position: position as u32,
            is_local,
            in_flight: replica.in_flight,
            queue_ms: queue_ms + f64::from(over) * 4.0 * DELAY_PER_REQUEST_MS,
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

    /// Notes the first token of a request, `waited` after it was sent: its prompt is read.
    pub fn first_token(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        waited: Duration,
        now: Time,
    ) {
        let Some(replica) = self.replicas.get_mut(&choice.instance.id) else { return };
        let expected = u64::from(choice.expected_prefill);
        replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        let expected_ms = f64::from(choice.expected_prefill) / PREFILL_TOKENS_PER_MS;
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        replica.note_delay((waited_ms - expected_ms).max(0.0), now);
        replica.heard_at = now;
        if let Some(prompt) = request.prompt {
            let chain = prompt.chain(request.namespace);
            let incarnation = replica.incarnation(request.model);
            self.cache.learn(&chain, choice.slot, incarnation, now);
        }
    }

    /// Whether a replica sent anything after a moment.
    pub fn was_heard_since(&self, id: &str, since: Time) -> bool {
        self.replicas.get(id).is_some_and(|replica| replica.heard_at > since)
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
    pub fn succeeded(&mut self, id: &str, now: Time) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.heard_at = now;
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

/// Adds what a prompt costs at a replica that holds `depth` parts of it by this node's own doing.
/// A home is believed to hold all shared parts, whoever sent them; what a source holds is moved.
fn add_prompt(
    candidate: &mut Candidate,
    prompt: &Prompt,
    engine: Option<&EngineParameters>,
    depth: usize,
    is_home: bool,
    source: Option<&Replica>,
) {
    let shared = tokens_of(prompt, prompt.parts.len().saturating_sub(1));
    let own = tokens_of(prompt, depth);
    let at_hand = if is_home { own.max(shared) } else { own };
    let moved = if source.is_some() { shared.saturating_sub(at_hand) } else { 0 };
    candidate.cached_tokens = at_hand + (SOURCE_CHANCE * f64::from(moved)) as u32;
    candidate.prefill_ms = prefill_ms(prompt, candidate.cached_tokens);
    candidate.network_ms += RANK_COST_MS * f64::from(candidate.home_rank);
    if let (Some(engine), true) = (engine, moved > 0) {
        let move_ms = engine.move_ms(moved) * OTHER_ZONE_MOVE;
        candidate.network_ms += MOVE_COST_MS + MOVE_WEIGHT * move_ms;
    }
}

fn note_version(models: &mut Vec<LoadedModel>, model: &str, version: u32) {
    match models.iter_mut().find(|one| one.model == model) {
        Some(known) => known.version = known.version.max(version),
        None => models.push(LoadedModel { model: model.to_owned(), version }),
    }
}
