//! Which replica a forwarded request goes to.
//!
//! A [`Balancer`] lists candidates with what each would cost, and the policies choose. For prompts
//! the cost is that of reading what the replica lacks; who holds what and how much waits where is
//! known from this node's own requests and from the [`LoadUpdate`] of other nodes. Prompts that
//! nobody is known to hold meet at their homes, which all nodes find alike.

mod candidates;
mod choice;
mod cost;
mod holders;
mod incarnations;
mod news;
mod progress;
mod pushback;
mod replica;
mod sharded;
mod source;
mod unled;
mod view;

use crate::estimator::PrefillEstimator;
use crate::shards::Shard;
use crate::stores::{Stores, cache_salt};
use choice::shared_of;
pub use choice::{Choice, ChoiceRequest};
use cost::PREFILL_PRIOR;
use holders::Holders;
pub use incarnations::{DOWNGRADE_PAUSE, ReplicaChange, ReplicaChanges, VersionRefusal};
pub use news::{LoadUpdate, MIN_UPDATE_TOKENS, PromptEvent};
pub(crate) use pushback::key_of;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use replica::Replica;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use topazmount_admission::{Pushbacks, RequestLimits};
use topazmount_routing::PolicyTable;
use topazmount_types::{Incarnation, InstanceId, Time};
use unled::Unled;

/// Age up to which what a replica read is taken from it where settings do not say it.
pub(crate) const SURELY_KEPT: Duration = Duration::from_millis(1_500);

/// One node's knowledge of the replicas, and its choice among them.
pub struct Balancer {
    zone: String,
    replicas: BTreeMap<InstanceId, Replica>,
    by_slot: HashMap<u32, InstanceId>,
    by_key: HashMap<u64, InstanceId>,
    holders: Holders,
    /// Newest version named for each model; it only rises.
    named: HashMap<String, u32>,
    /// What this node may count for itself while nobody leads.
    unled: Unled,
    /// Oldest version of each model's weights that may begin on requests.
    oldest: HashMap<String, u32>,
    stores: Stores,
    /// Age up to which a replica almost surely holds what it was seen to read or use. Later a store
    /// is the better source, although its link is slower.
    surely_kept: Duration,
    /// Rates at which engines read, by service.
    prefill: HashMap<String, PrefillEstimator>,
    /// Whether gateways are so many that coordinators place prompts.
    has_coordinators: bool,
    /// What incarnations asked of this process.
    pushbacks: Pushbacks,
    /// Limits that incarnations named.
    limits: RequestLimits,
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
            named: HashMap::new(),
            unled: Unled::default(),
            oldest: HashMap::new(),
            stores: Stores::default(),
            surely_kept: SURELY_KEPT,
            prefill: HashMap::new(),
            has_coordinators: false,
            pushbacks: Pushbacks::default(),
            limits: RequestLimits::default(),
            next_slot: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Sets the age up to which a replica almost surely holds what it was seen to read or use.
    pub fn set_reliable_cache_age(&mut self, age: Duration) {
        self.surely_kept = age;
    }

    /// Replicas of a service.
    fn serving(&self, service: &str) -> impl Iterator<Item = &Replica> {
        self.replicas.values().filter(move |replica| replica.instance.service == service)
    }

    /// Chooses a replica, or none when no replica of the service may be asked.
    pub fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
        policies: &mut PolicyTable,
    ) -> Option<Choice> {
        self.choose_in_shard(request, None, now, policies)
    }

    /// Chooses a replica of one shard, or of the whole service.
    pub(crate) fn choose_in_shard(
        &mut self,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        now: Time,
        policies: &mut PolicyTable,
    ) -> Option<Choice> {
        self.sequence += 1;
        let open = self.open_replicas(request, shard, now);
        if open.is_empty() {
            return None;
        }
        let chain = request.chain();
        let view = self.prompt_view(request, shared_of(&chain), shard, now);
        let candidates = self.candidates(&open, request, &view, now);
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
            has_empty_queue: replica.waiting_tokens(now) == 0,
            slot_utilization: replica.taken_share(now),
            version: self.version_to_name(replica.version(request.model), request, now),
            required_version: self.expected(replica.version(request.model), request, now),
            source: source.map(|source| source.address),
            save_to: None,
            limit: self.limits.limit(replica.key.0),
            has_prompt: request.prompt.is_some(),
            slot: replica.slot,
        })
    }

    /// Rate at which the engines of a service read prompts, in tokens a millisecond.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.prefill.get(service).map_or(PREFILL_PRIOR, PrefillEstimator::tokens_per_ms)
    }

    /// Stores of prompt parts.
    pub fn stores(&mut self) -> &mut Stores {
        &mut self.stores
    }

    /// The store to which the chosen replica should send the prompt's parts, if any. A replica with
    /// older weights than another one holds is about to load: a run that outlasts the load would save
    /// parts made with the new weights under the old salt.
    pub fn select_store(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        now: Time,
    ) -> Option<String> {
        let prompt = request.prompt?;
        let newest =
            self.serving(request.service).filter_map(|one| one.version(request.model)).max();
        if choice.version < newest {
            return None;
        }
        let salt = cache_salt(choice.version?, request.isolated_tenant);
        self.stores.select_for_save(prompt, shard, &salt, now)
    }

    /// Whether the policy that decides on the request lets it run.
    pub fn admits(&self, request: &ChoiceRequest<'_>, policies: &mut PolicyTable) -> bool {
        let chain = request.chain();
        let route_request = request.as_policies_see_it(&chain, self.sequence + 1);
        let policy = policies.assign(&route_request);
        policies.admit(policy, &route_request)
    }

    /// Whether any replica may be asked; nothing is counted.
    pub fn has_available_replica(&self, request: &ChoiceRequest<'_>, now: Time) -> bool {
        !self.open_replicas(request, None, now).is_empty()
    }

    /// What other nodes should know of a prompt. Where each tells all others, short prompts are not
    /// worth a message, nor is their end.
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
        let parts = request.shared();
        self.news_of(choice, parts, event)
    }

    /// What other nodes should know after a prompt ended.
    pub fn end_update(&self, choice: &Choice, event: PromptEvent) -> Option<LoadUpdate> {
        let is_told = self.has_coordinators && choice.has_prompt;
        is_told.then(|| self.news_of(choice, Vec::new(), event)).flatten()
    }

    fn news_of(&self, choice: &Choice, parts: Vec<u64>, event: PromptEvent) -> Option<LoadUpdate> {
        let replica = self.chosen(choice)?;
        Some(LoadUpdate {
            node: 0,
            replica: replica.key.0,
            pending_prefill: replica.pending_prefill,
            in_flight: replica.in_flight,
            version: choice.version?,
            parts,
            event,
        })
    }

    /// Takes another node's word.
    pub fn apply_load_update(&mut self, news: &LoadUpdate, now: Time) {
        let Some(id) = self.by_key.get(&news.replica) else { return };
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.note_peer(news.node, news.pending_prefill, news.in_flight, now);
        let incarnation: Incarnation = replica.incarnation(news.version);
        match news.event {
            PromptEvent::Sent => self.holders.sent(&news.parts, replica.slot, incarnation, now),
            PromptEvent::Prefilled => {
                replica.heard_at = now;
                self.holders.read(&news.parts, replica.slot, incarnation, now);
            }
            PromptEvent::Ended => {}
            PromptEvent::Failed => replica.note_failure_elsewhere(now),
        }
    }
}
