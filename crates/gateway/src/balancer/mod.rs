//! Which replica a forwarded request goes to.
//!
//! A [`Balancer`] lists candidates with what each would cost, and the policies choose. For prompts
//! the cost is that of reading what the replica lacks; who holds what and how much waits where is
//! known from this node's own requests and from the [`LoadNews`] of other nodes. Prompts that
//! nobody is known to hold meet at their homes, which all nodes find alike.

mod cost;
mod holders;
mod news;
mod replica;
mod source;

use crate::catalog::EngineParameters;
use crate::prompt::Prompt;
use crate::stores::{Stores, cache_salt};
use cost::{
    DELAY_PER_REQUEST_MS, DELAY_SHARE, OLD_WEIGHTS_MS, OTHER_ZONE_MS, PREFILL_TOKENS_PER_MS,
};
use holders::{Holders, Kept};
pub use news::{LoadNews, TOLD_TOKENS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replica::Replica;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus};
use topazmount_routing::{Candidate, PolicyTable, RouteRequest, rendezvous_weight};
use topazmount_types::{
    Incarnation, Instance, InstanceId, ModelId, Priority, ReplicaId, TenantId, Time, WeightsVersion,
};

/// Replicas of a service for each one that is a home of a first part: deeper prefixes have their
/// homes among these, so that few replicas read a part that many prompts share.
const REPLICAS_PER_HOME: usize = 2;
/// A replica's places are counted as taken when this part of them is in use.
const FULL_SHARE: f64 = 0.8;
/// Wait for a place at a full replica, per request over its places, in milliseconds.
const OVER_PLACE_MS: f64 = 16.0;
/// Smallest difference between estimates, in milliseconds.
const TIE_MS: f64 = 0.01;

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Hash of the tenant's name; 0 where there is none.
    pub tenant: u64,
    /// Prompt, if the request has one.
    pub prompt: Option<&'a Prompt>,
    /// Model of the prompt.
    pub model: Option<&'a str>,
    /// Hash of what separates caches beside the version of weights: the tenant's wall and the
    /// model.
    pub namespace: u64,
    /// The tenant whose parts are kept from all others, if it is one.
    pub wall: Option<&'a str>,
    /// Replicas that were tried already.
    pub exclude: &'a [InstanceId],
    /// The only replica that may be chosen, if there is one.
    pub held_to: Option<&'a InstanceId>,
    /// Parameters of the service's engines, if it has any.
    pub engine: Option<&'a EngineParameters>,
}

impl ChoiceRequest<'_> {
    /// Chain of all parts of the prompt.
    fn chain(&self) -> Vec<u64> {
        self.prompt.map(|prompt| prompt.chain(self.namespace)).unwrap_or_default()
    }

    fn as_policies_see_it<'a>(&self, chain: &'a [u64], sequence: u64) -> RouteRequest<'a> {
        RouteRequest {
            tenant: TenantId(self.tenant),
            model: ModelId(self.namespace),
            weights: WeightsVersion::default(),
            priority: Priority::Normal,
            prompt_tokens: self.prompt.map_or(0, |prompt| prompt.prompt_tokens),
            max_tokens: self.prompt.map_or(0, |prompt| prompt.output_tokens),
            blocks: chain,
            session: 0,
            sequence,
        }
    }

    /// Chain of the parts that requests share; the last part is the request's own.
    fn shared(&self) -> Vec<u64> {
        let mut chain = self.chain();
        chain.pop();
        chain
    }
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Replica.
    pub instance: Instance,
    /// Prompt tokens that it is expected to compute.
    pub expected_prefill: u32,
    /// Prompt tokens that it is known to hold or to be reading already.
    pub known_tokens: u32,
    /// Estimated time to the first token, in milliseconds.
    pub estimate_ms: f64,
    /// Number of the policy that decided.
    pub policy: usize,
    /// Place in the order of the prompt's homes; 0 is the first.
    pub home_rank: u32,
    /// Version of the model's weights that it is believed to hold.
    pub version: Option<u32>,
    /// Address of a replica with the same weights, or of a store, that probably holds more of the
    /// prompt.
    pub source: Option<String>,
    /// Address of the store that the replica should send the prompt's parts to.
    pub save_to: Option<String>,
    slot: u32,
}

/// What is known of a prompt's parts at the time of a choice.
struct PromptView {
    homes: Vec<InstanceId>,
    /// Leading parts that each replica holds, and how long ago it read or used the last of them, by
    /// slot.
    kept: HashMap<u32, Kept>,
    /// Leading parts that each replica was sent and has not read yet, by slot.
    coming: HashMap<u32, usize>,
}

impl PromptView {
    /// Leading parts that a replica holds or is reading.
    fn known_parts(&self, slot: u32) -> usize {
        let kept = self.kept.get(&slot).map_or(0, |kept| kept.parts);
        kept.max(self.coming.get(&slot).copied().unwrap_or(0))
    }
}

/// One node's knowledge of the replicas, and its choice among them.
pub struct Balancer {
    zone: String,
    replicas: BTreeMap<InstanceId, Replica>,
    by_slot: HashMap<u32, InstanceId>,
    by_key: HashMap<u64, InstanceId>,
    holders: Holders,
    stores: Stores,
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
            by_key: HashMap::new(),
            holders: Holders::default(),
            stores: Stores::default(),
            next_slot: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Adds a replica, or takes over what changed of it.
    pub fn upsert(&mut self, instance: Instance) {
        if let Some(known) = self.replicas.get_mut(&instance.id) {
            known.instance = instance;
            return;
        }
        let (id, slot) = (instance.id.clone(), self.next_slot);
        self.next_slot += 1;
        self.by_slot.insert(slot, id.clone());
        self.by_key.insert(replica_key(&id), id.clone());
        self.replicas.insert(id, Replica::new(instance, slot));
    }

    /// Forgets a replica.
    pub fn remove(&mut self, id: &str) {
        if let Some(replica) = self.replicas.remove(id) {
            self.by_slot.remove(&replica.slot);
            self.by_key.remove(&replica_key(id));
        }
    }

    /// Forgets all replicas but these.
    pub fn retain(&mut self, ids: &HashSet<InstanceId>) {
        let gone: Vec<InstanceId> =
            self.replicas.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    /// Takes what the leader knows of a replica.
    pub fn set_status(&mut self, status: &InstanceStatus) {
        let Some(replica) = self.replicas.get_mut(&status.id) else { return };
        replica.availability = status.availability;
        for loaded in &status.models {
            replica.note_version(&loaded.model, loaded.version);
        }
    }

    /// Takes the version that a replica named with an answer.
    pub fn saw_version(&mut self, id: &str, model: &str, version: u32) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_version(model, version);
        }
    }

    /// Notes that a replica holds other weights than was believed.
    pub fn forget_version(&mut self, id: &str, model: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.models.retain(|loaded| loaded.model != model);
        }
    }

    /// Replicas known.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.replicas.values().map(|replica| &replica.instance)
    }

    /// Chooses a replica, or none when no replica of the service may be asked.
    pub fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
        policies: &mut PolicyTable,
    ) -> Option<Choice> {
        self.sequence += 1;
        let open = self.open_replicas(request, now);
        if open.is_empty() {
            return None;
        }
        let view = self.prompt_view(request, now);
        let candidates = self.candidates(&open, request, &view, now);
        let chain = request.chain();
        let route_request = request.as_policies_see_it(&chain, self.sequence);
        let policy = policies.assign(&route_request);
        let position = policies.choose(policy, &route_request, &candidates)?;
        let candidate = candidates.get(position)?;
        let replica = &self.replicas[&open[position]];
        let source = self.source(replica, request, &view, now);
        let known_parts = view.known_parts(replica.slot);
        Some(Choice {
            instance: replica.instance.clone(),
            expected_prefill: route_request.prompt_tokens.saturating_sub(candidate.cached_tokens),
            known_tokens: request.prompt.map_or(0, |prompt| prompt.leading_tokens(known_parts)),
            estimate_ms: candidate.estimate_ms(),
            policy,
            home_rank: candidate.home_rank,
            version: replica.version(request.model),
            source: source.map(|source| source.address),
            save_to: None,
            slot: replica.slot,
        })
    }

    /// Stores of prompt parts.
    pub fn stores(&mut self) -> &mut Stores {
        &mut self.stores
    }

    /// The store to which the chosen replica should send the prompt's parts, if any. `nodes` is the
    /// number of gateways.
    pub fn save(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        nodes: usize,
        now: Time,
    ) -> Option<String> {
        let (prompt, engine) = (request.prompt?, request.engine?);
        let salt = cache_salt(choice.version?, request.wall);
        self.stores.save(prompt, &salt, engine.token_bytes, nodes, now)
    }

    /// Whether the policy that decides on the request lets it run.
    pub fn admits(&self, request: &ChoiceRequest<'_>, policies: &mut PolicyTable) -> bool {
        let chain = request.chain();
        let route_request = request.as_policies_see_it(&chain, self.sequence + 1);
        let policy = policies.assign(&route_request);
        policies.admit(policy, &route_request)
    }

    /// Replicas that may be asked: healthy ones, else those that failed lately.
    fn open_replicas(&self, request: &ChoiceRequest<'_>, now: Time) -> Vec<InstanceId> {
        let may_serve = |replica: &&Replica| {
            let instance = &replica.instance;
            instance.service == request.service
                && !instance.is_draining
                && replica.availability != Availability::Barred
                && !request.exclude.contains(&instance.id)
                && request.held_to.is_none_or(|id| *id == instance.id)
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

    fn prompt_view(&self, request: &ChoiceRequest<'_>, now: Time) -> PromptView {
        let shared = request.shared();
        let incarnation_of = |slot: u32| {
            let replica = self.replicas.get(self.by_slot.get(&slot)?)?;
            Some(replica.incarnation(replica.version(request.model)?))
        };
        PromptView {
            homes: self.home_order(request, &shared),
            kept: self.holders.kept(&shared, now, incarnation_of),
            coming: self.holders.coming(&shared, now, incarnation_of),
        }
    }

    /// Replicas of the service in the order in which they are homes of the prompt's shared parts.
    /// The first part picks a part of the replicas, and all shared parts together rank these; the
    /// others follow, ranked alike. All nodes find the same order.
    fn home_order(&self, request: &ChoiceRequest<'_>, shared: &[u64]) -> Vec<InstanceId> {
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

    fn candidates(
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
        let newest = open.iter().filter_map(version_of).max();
        let mut candidates: Vec<Candidate> = Vec::with_capacity(open.len());
        for (position, id) in open.iter().enumerate() {
            let replica = &self.replicas[id];
            let mut candidate = self.candidate(replica, position, now);
            candidate.home_rank = ranks.get(id).map_or(0, |rank| *rank as u32);
            if let Some(prompt) = request.prompt {
                let depth = view.known_parts(replica.slot);
                let is_home = is_unknown && home == Some(id);
                let source = self.source(replica, request, view, now);
                let source = source.as_ref();
                cost::add_prompt(&mut candidate, prompt, request.engine, depth, is_home, source);
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

    fn candidate(&self, replica: &Replica, position: usize, now: Time) -> Candidate {
        let is_local = replica.instance.zone == self.zone;
        let in_flight = replica.all_in_flight(now);
        let queue_ms = f64::from(in_flight) * DELAY_PER_REQUEST_MS
            + replica.waiting_tokens(now) as f64 / PREFILL_TOKENS_PER_MS
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

    /// Notes that a request was sent to its choice.
    pub fn sent(&mut self, choice: &Choice, request: &ChoiceRequest<'_>, now: Time) {
        let Some(replica) = self.replicas.get_mut(&choice.instance.id) else { return };
        replica.in_flight += 1;
        replica.pending_prefill += u64::from(choice.expected_prefill);
        if let Some(version) = choice.version {
            let incarnation = replica.incarnation(version);
            self.holders.sent(&request.shared(), choice.slot, incarnation, now);
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
        if let Some(version) = choice.version {
            let incarnation = replica.incarnation(version);
            self.holders.read(&request.shared(), choice.slot, incarnation, now);
        }
    }

    /// What other nodes should know after a request was sent, or its prompt was read. Short
    /// prompts are not worth a message.
    pub fn news(
        &self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        has_read: bool,
    ) -> Option<LoadNews> {
        let is_long = request.prompt.is_some_and(|prompt| prompt.prompt_tokens >= TOLD_TOKENS);
        let replica = self.replicas.get(&choice.instance.id).filter(|_| is_long)?;
        Some(LoadNews {
            node: 0,
            replica: replica_key(&choice.instance.id),
            pending_prefill: replica.pending_prefill,
            in_flight: replica.in_flight,
            version: choice.version?,
            parts: request.shared(),
            has_read,
        })
    }

    /// Takes another node's word.
    pub fn apply_news(&mut self, news: &LoadNews, now: Time) {
        let Some(id) = self.by_key.get(&news.replica) else { return };
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.note_peer(news.node, news.pending_prefill, news.in_flight, now);
        let incarnation: Incarnation = replica.incarnation(news.version);
        if news.has_read {
            self.holders.read(&news.parts, replica.slot, incarnation, now);
        } else {
            self.holders.sent(&news.parts, replica.slot, incarnation, now);
        }
    }

    /// Whether a replica must not begin on requests any more: its weights are too old.
    pub fn is_barred(&self, id: &str) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| replica.availability == Availability::Barred)
    }

    /// Whether a replica sent anything after a moment.
    pub fn was_heard_since(&self, id: &str, since: Time) -> bool {
        self.replicas.get(id).is_some_and(|replica| replica.heard_at > since)
    }

    /// Notes that a request no longer occupies its choice. `has_first_token` tells whether
    /// [`Balancer::first_token`] was called for it.
    pub fn ended(&mut self, choice: &Choice, has_first_token: bool) {
        let Some(replica) = self.replicas.get_mut(&choice.instance.id) else { return };
        replica.in_flight = replica.in_flight.saturating_sub(1);
        if !has_first_token {
            let expected = u64::from(choice.expected_prefill);
            replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        }
    }

    /// Notes that a replica answered as it should.
    pub fn succeeded(&mut self, id: &str, now: Time) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_success(now);
        }
    }

    /// Notes that a replica failed; it is passed over for a while.
    pub fn failed(&mut self, id: &str, now: Time) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_failure(now);
        }
    }

    /// Notes that another replica has the address; it is passed over for the longest time.
    pub fn is_replaced(&mut self, id: &str, now: Time) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_replaced(now);
        }
    }
}

/// Name of a replica among nodes, which number them differently.
fn replica_key(id: &str) -> u64 {
    ReplicaId::from_name(id).0
}
