//! Chooses the replica that a forwarded request goes to.
//!
//! The [`Balancer`] estimates the cost of a request at each candidate, and the routing policies
//! choose among them. For prompts the cost includes the prefill of all parts that the replica has
//! not cached. Cache contents and load are known from this node's own requests and from the
//! [`LoadUpdate`]s of other nodes. Each prompt has a home order of replicas, computed alike by all
//! nodes, so that prompts that are cached nowhere are sent to the same replica.

mod cache_records;
mod candidates;
mod choice;
mod cost;
mod error_rates;
mod fleet_failures;
mod incarnations;
mod leaderless;
mod load_update;
mod places;
mod progress;
mod pushback;
mod replica;
mod sampling;
mod service_index;
mod sharded;
mod source;
mod view;

use crate::estimator::PrefillEstimator;
use crate::shards::Shard;
use crate::stores::{Stores, cache_salt};
use cache_records::CacheRecords;
use choice::shared_prefix;
pub use choice::{Choice, ChoiceRequest};
use cost::DEFAULT_TOKENS_PER_MS;
pub(crate) use fleet_failures::VerdictEffect;
pub use incarnations::{DOWNGRADE_PAUSE, ReplicaChange, ReplicaChanges, VersionRefusal};
use leaderless::LeaderlessBounds;
pub use load_update::{LoadUpdate, MIN_UPDATE_TOKENS, PromptEvent};
use places::Places;
pub(crate) use pushback::incarnation_hash;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use replica::Replica;
use service_index::ServiceIndex;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use topazmount_admission::{PushbackRecords, RequestLimits};
use topazmount_routing::PolicyTable;
use topazmount_types::{Incarnation, InstanceId, SoftwareId, Time};

/// Default of [`GatewaySettings::reliable_cache_age`](crate::GatewaySettings).
pub(crate) const DEFAULT_RELIABLE_CACHE_AGE: Duration = Duration::from_millis(1_500);

/// One node's records of the replicas, and its choice among them.
pub struct Balancer {
    zone: String,
    replicas: BTreeMap<InstanceId, Replica>,
    service_index: ServiceIndex,
    by_slot: HashMap<u32, InstanceId>,
    by_incarnation: HashMap<u64, InstanceId>,
    /// Replicas by the hashes of their identifiers, as in messages of legacy builds.
    by_identifier: HashMap<u64, InstanceId>,
    cache_records: CacheRecords,
    /// Newest published version of each model; never decreases.
    published: HashMap<String, u32>,
    /// Detects outdated weights while the control group is leaderless.
    leaderless: LeaderlessBounds,
    /// Oldest version of each model that may still start requests; never decreases.
    min_versions: HashMap<String, u32>,
    stores: Stores,
    /// Age up to which a cache record is relied on. For older records a store is the preferred
    /// source, although its link is slower.
    reliable_cache_age: Duration,
    /// Prefill rate estimates, by service.
    prefill_estimators: HashMap<String, PrefillEstimator>,
    /// Median share of errors of each service's replicas, and when it was computed.
    median_error_rates: HashMap<String, (f64, Time)>,
    /// Errors in a row at a replica of each service that show something, and when that was computed.
    significant_errors: HashMap<String, (u32, Time)>,
    /// Whether coordinators place prompts, as there are too many gateways to broadcast load
    /// updates.
    has_coordinators: bool,
    /// Pushback received from replicas, by incarnation.
    pushbacks: PushbackRecords,
    /// Request limits reported by replicas, by incarnation.
    limits: RequestLimits,
    /// Shares of the slots of overload-prone replicas.
    places: Places,
    /// Whether replicas without a place for this gateway are excluded; not when it chooses for
    /// another one.
    enforces_places: bool,
    next_slot: u32,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Balancer {
    /// Creates an empty balancer for a node in the given zone.
    pub fn new(zone: &str, seed: u64) -> Self {
        Balancer {
            zone: zone.to_owned(),
            replicas: BTreeMap::new(),
            service_index: ServiceIndex::default(),
            by_slot: HashMap::new(),
            by_incarnation: HashMap::new(),
            by_identifier: HashMap::new(),
            cache_records: CacheRecords::default(),
            published: HashMap::new(),
            leaderless: LeaderlessBounds::default(),
            min_versions: HashMap::new(),
            stores: Stores::default(),
            reliable_cache_age: DEFAULT_RELIABLE_CACHE_AGE,
            prefill_estimators: HashMap::new(),
            median_error_rates: HashMap::new(),
            significant_errors: HashMap::new(),
            has_coordinators: false,
            pushbacks: PushbackRecords::default(),
            limits: RequestLimits::default(),
            places: Places::default(),
            enforces_places: true,
            next_slot: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Sets the age up to which a cache record is relied on.
    pub fn set_reliable_cache_age(&mut self, age: Duration) {
        self.reliable_cache_age = age;
    }

    /// The replica with this hash of an incarnation or, from a legacy build, of an identifier.
    fn resolve(&self, key: u64) -> Option<&InstanceId> {
        self.by_incarnation.get(&key).or_else(|| self.by_identifier.get(&key))
    }

    /// Hash of the identifier of the replica with this hash of an incarnation, for messages to legacy
    /// builds. An unknown hash is returned unchanged.
    pub fn identifier_hash(&self, incarnation: u64) -> u64 {
        let known = self.by_incarnation.get(&incarnation).and_then(|id| self.replicas.get(id));
        known.map_or(incarnation, |replica| replica.stable_id.0)
    }

    /// Replicas of a service.
    fn serving(&self, service: &str) -> impl Iterator<Item = &Replica> {
        self.replicas.values().filter(move |replica| replica.instance.service == service)
    }

    /// Replicas of a service, or of one of its shards, by identifier.
    fn serving_in(&self, service: &str, shard: Option<Shard>) -> Vec<&Replica> {
        match shard {
            None => self.serving(service).collect(),
            Some(shard) => {
                let ids = self.service_index.in_shard(service, shard);
                ids.into_iter().filter_map(|id| self.replicas.get(id)).collect()
            }
        }
    }

    /// Chooses a replica; `None` when none of the service is available.
    pub fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
        policies: &mut PolicyTable,
    ) -> Option<Choice> {
        self.choose_in_shard(request, None, now, policies)
    }

    /// Chooses a replica of one shard, or of the whole service where `shard` is `None`.
    pub(crate) fn choose_in_shard(
        &mut self,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        now: Time,
        policies: &mut PolicyTable,
    ) -> Option<Choice> {
        self.sequence += 1;
        let serving = self.serving_in(request.service, shard);
        let available = self.available_replicas(serving.clone(), request, now);
        if available.is_empty() {
            return None;
        }
        let prefix_hashes = request.prefix_hashes();
        let shared = shared_prefix(&prefix_hashes);
        let view = self.prompt_view(request, shared, shard, &serving, now);
        let candidates = self.candidates(&available, request, &view, now);
        let route_request = request.route_request(&prefix_hashes, self.sequence);
        let policy = policies.assign(&route_request);
        let position = policies.choose(policy, &route_request, &candidates)?;
        let candidate = candidates.get(position)?;
        let replica = &self.replicas[&available[position]];
        let source = self.source(replica, request, &view, now);
        let known_parts = view.cached_or_pending_parts(replica.slot);
        Some(Choice {
            instance: replica.instance.clone(),
            expected_prefill: route_request.prompt_tokens.saturating_sub(candidate.cached_tokens),
            known_tokens: request.prompt.map_or(0, |prompt| prompt.leading_tokens(known_parts)),
            estimate_ms: candidate.estimate_ms(),
            policy,
            home_rank: candidate.home_rank,
            has_empty_queue: replica.waiting_tokens(now) == 0,
            slot_utilization: replica.slot_utilization(now),
            version: self.version_to_request(replica.version(request.model), request, now),
            required_version: self.required_version(replica.version(request.model), request, now),
            source: source.map(|source| source.address),
            save_to: None,
            limit: self.limits.limit(replica.incarnation_id.0),
            has_prompt: request.prompt.is_some(),
            slot: replica.slot,
        })
    }

    /// Estimated prefill rate of a service's engines, in tokens per millisecond.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.prefill_estimators
            .get(service)
            .map_or(DEFAULT_TOKENS_PER_MS, PrefillEstimator::tokens_per_ms)
    }

    /// Known stores of prompt parts.
    pub fn stores(&mut self) -> &mut Stores {
        &mut self.stores
    }

    /// Newest recorded version of a model among all replicas of a service.
    pub fn newest_version(&self, service: &str, model: Option<&str>) -> Option<u32> {
        self.service_index.newest_version(service, model?)
    }

    /// Selects the store that the chosen replica should save the prompt's parts to, if any. A
    /// replica with older weights than another one may load new ones during the run, and would then
    /// save parts computed with the new weights under the salt of the old version.
    pub fn select_store(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        now: Time,
    ) -> Option<String> {
        let prompt = request.prompt?;
        if choice.version < self.newest_version(request.service, request.model) {
            return None;
        }
        let salt = cache_salt(choice.version?, request.isolated_tenant);
        self.stores.select_for_save(prompt, shard, &salt, now)
    }

    /// Name of the routing policy that rejects the request, if it does.
    pub fn rejecting_policy(
        &self,
        request: &ChoiceRequest<'_>,
        policies: &mut PolicyTable,
    ) -> Option<String> {
        let prefix_hashes = request.prefix_hashes();
        let route_request = request.route_request(&prefix_hashes, self.sequence + 1);
        let policy = policies.assign(&route_request);
        let is_admitted = policies.admit(policy, &route_request);
        (!is_admitted).then(|| policies.name(policy).to_owned())
    }

    /// Whether any replica is available for the request. Does not count as a routing decision.
    pub fn has_available_replica(&self, request: &ChoiceRequest<'_>, now: Time) -> bool {
        let serving = self.serving(request.service).collect();
        !self.available_replicas(serving, request, now).is_empty()
    }

    /// Whether a replica of a service runs a software version.
    pub(crate) fn has_software(&self, service: &str, software: SoftwareId) -> bool {
        self.serving(service).any(|replica| replica.software == software)
    }

    /// The software version of all replicas of a service; `None` if they have several or there are
    /// none.
    pub(crate) fn only_software(&self, service: &str) -> Option<SoftwareId> {
        let mut serving = self.serving(service).map(|replica| replica.software);
        let first = serving.next()?;
        serving.all(|other| other == first).then_some(first)
    }

    /// Builds the update to send to other nodes about a prompt; `None` for short prompts where
    /// updates are broadcast.
    pub fn load_update(
        &self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        event: PromptEvent,
    ) -> Option<LoadUpdate> {
        let prompt = request.prompt?;
        let is_long = prompt.prompt_tokens >= MIN_UPDATE_TOKENS;
        if !self.has_coordinators && !is_long {
            return None;
        }
        let parts = request.shared_hashes();
        self.build_update(choice, parts, event)
    }

    /// Builds the update to send to other nodes after a prompt ended.
    pub fn end_update(&self, choice: &Choice, event: PromptEvent) -> Option<LoadUpdate> {
        let is_sent = self.has_coordinators && choice.has_prompt;
        is_sent.then(|| self.build_update(choice, Vec::new(), event)).flatten()
    }

    fn build_update(
        &self,
        choice: &Choice,
        parts: Vec<u64>,
        event: PromptEvent,
    ) -> Option<LoadUpdate> {
        let replica = self.chosen(choice)?;
        Some(LoadUpdate {
            node: 0,
            replica: replica.incarnation_id.0,
            pending_prefill: replica.pending_prefill,
            in_flight: replica.in_flight,
            version: choice.version?,
            parts,
            event,
        })
    }

    /// Applies a load update from another node.
    pub fn apply_load_update(&mut self, update: &LoadUpdate, now: Time) {
        let Some(id) = self.resolve(update.replica).cloned() else { return };
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        replica.record_peer_load(update.node, update.pending_prefill, update.in_flight, now);
        let incarnation: Incarnation = replica.incarnation(update.version);
        match update.event {
            PromptEvent::Sent => {
                self.cache_records.on_sent(&update.parts, replica.slot, incarnation, now)
            }
            PromptEvent::Prefilled => {
                replica.last_response_at = now;
                self.cache_records.on_prefilled(&update.parts, replica.slot, incarnation, now);
            }
            PromptEvent::Ended => {}
            PromptEvent::Failed => replica.record_remote_failure(now),
        }
    }
}
