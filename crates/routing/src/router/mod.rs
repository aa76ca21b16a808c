//! Routing decisions, and the state that is updated from their outcomes.

mod estimate;

use crate::cache_view::CacheView;
use crate::candidate::{Candidate, RouteRequest};
use crate::home::rendezvous_weight;
use crate::policy_table::PolicyTable;
use crate::replica::{LoadReport, ReplicaDescription, ReplicaState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use topazmount_types::{Incarnation, ReplicaId, TenantId, Time, WeightsVersion, ZoneId};

/// Prefix lengths, in blocks, that are assigned to home replicas.
const HOME_DEPTHS: [usize; 7] = [1, 2, 4, 8, 16, 32, 64];
/// Initial probability that a home replica has cached its prefix.
const INITIAL_HOME_CHANCE: f64 = 0.5;
/// Lower bound of that probability: nodes keep sending a prefix to its home replica even after
/// misses, so that it is computed in one place.
const MIN_HOME_CHANCE: f64 = 0.8;
/// Home replicas of a prefix of up to the shared depth, which can be too popular for one replica.
const SHARED_HOMES: usize = 3;
/// Smoothing factor of that probability.
const HOME_CHANCE_GAIN: f64 = 0.05;
/// Maximum number of tenants with own probabilities; beyond it all are reset.
const MAX_HOME_CHANCES: usize = 8_192;
/// Random replicas added to the candidates, so that nodes do not all choose the same idle replica.
const SAMPLES: usize = 4;
/// Smoothing factor of the prefill rate.
const RATE_GAIN: f64 = 0.05;
/// Initial prefill rate, in tokens per second.
const INITIAL_PREFILL_RATE: f64 = 8_000.0;
/// Report age used without a report.
const NO_REPORT_AGE_MS: f64 = 1e9;
/// A replica with fewer waiting tokens is idle; only then the time to the first token measures the
/// prefill rate.
const IDLE_TOKENS: f64 = 1.0;
/// Minimum number of uncached tokens for a measurement of the prefill rate.
const MIN_RATE_TOKENS: u32 = 500;

/// Parameters of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The node's zone.
    pub zone: ZoneId,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// One-way delay between zones.
    pub zone_delay: Duration,
    /// Capacity of the cache view, in blocks.
    pub cache_blocks: usize,
    /// Maximum number of requests that this node has in flight at one replica.
    pub max_in_flight: u32,
    /// Length in blocks of prefixes shared by many prompts; home replicas of longer prefixes are
    /// chosen among the home replicas of this length.
    pub shared_depth: usize,
    /// Maximum number of candidates passed to a policy.
    pub max_candidates: usize,
}

impl Default for RouterSettings {
    fn default() -> Self {
        RouterSettings {
            zone: ZoneId::default(),
            block_tokens: 1_000,
            zone_delay: Duration::ZERO,
            cache_blocks: 100_000,
            max_in_flight: 64,
            shared_depth: 4,
            max_candidates: 32,
        }
    }
}

/// Exact, current state of replicas. Used only in the lab, as an upper bound.
pub trait Oracle {
    /// Prompt tokens in the replica's cache now.
    fn cached_tokens(&self, replica: ReplicaId, request: &RouteRequest<'_>) -> u32;
    /// Prompt tokens waiting there now.
    fn waiting_tokens(&self, replica: ReplicaId) -> f64;
}

/// Replica chosen for a request, and what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Replica.
    pub replica: ReplicaId,
    /// Uncached prompt tokens expected there.
    pub expected_prefill: u32,
    /// Leading blocks expected from the cache view, and their age.
    pub predicted_hit: Option<(u32, Duration)>,
    /// Whether the replica was estimated to be idle.
    pub was_idle: bool,
    /// Home depths for which this replica was a home: one bit per index into the list of depths.
    pub home_depths: u8,
}

/// Result of a routing decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to this target.
    Send(Target),
    /// All available replicas are at their limit of requests in flight.
    Saturated,
    /// No replica that serves the model is available.
    NoReplica,
}

/// Cache usage that an engine reported for a finished request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheReport {
    /// Incarnation that served it.
    pub incarnation: Incarnation,
    /// Prompt tokens found in cache.
    pub cached_tokens: u32,
}

/// Tracks replicas and chooses one for each request.
pub struct Router {
    settings: RouterSettings,
    replicas: Vec<ReplicaState>,
    slots: HashMap<ReplicaId, u32>,
    cache: CacheView,
    home_chance: BTreeMap<(TenantId, u8), f64>,
    /// Smoothed prefill rate in tokens per second. Shared by all replicas: rates per replica have
    /// too few samples.
    prefill_rate: f64,
    rng: ChaCha8Rng,
    scratch: Scratch,
}

/// Buffers kept between decisions.
#[derive(Default)]
struct Scratch {
    candidates: Vec<Candidate>,
    predicted: Vec<(u32, Duration)>,
    expected: Vec<f64>,
    home_depths: Vec<u8>,
    eligible: Vec<u32>,
}

impl Router {
    /// Creates a router without replicas.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Router {
            cache: CacheView::new(settings.cache_blocks),
            settings,
            replicas: Vec::new(),
            slots: HashMap::new(),
            home_chance: BTreeMap::new(),
            prefill_rate: INITIAL_PREFILL_RATE,
            rng: ChaCha8Rng::seed_from_u64(seed),
            scratch: Scratch::default(),
        }
    }

    /// Changes parameters; the size of the cache view is kept.
    pub fn set_settings(&mut self, settings: RouterSettings) {
        self.settings = settings;
    }

    /// Replaces the declared replicas; the state of those that remain is kept.
    pub fn set_replicas(&mut self, mut descriptions: Vec<ReplicaDescription>) {
        descriptions.sort_by_key(|description| description.id);
        let mut known: HashMap<ReplicaId, ReplicaState> = std::mem::take(&mut self.replicas)
            .into_iter()
            .map(|state| (state.description.id, state))
            .collect();
        let ids_before: Vec<ReplicaId> = {
            let mut ids: Vec<_> = self.slots.iter().map(|(id, slot)| (*slot, *id)).collect();
            ids.sort_unstable();
            ids.into_iter().map(|(_, id)| id).collect()
        };
        self.replicas = descriptions
            .into_iter()
            .map(|description| match known.remove(&description.id) {
                Some(state) => ReplicaState { description, ..state },
                None => ReplicaState::new(description),
            })
            .collect();
        let ids: Vec<ReplicaId> = self.replicas.iter().map(|state| state.description.id).collect();
        if ids != ids_before {
            // The view refers to replicas by slot, and slots have changed.
            self.cache = CacheView::new(self.settings.cache_blocks);
        }
        self.slots = ids.into_iter().zip(0..).collect();
    }

    /// Replicas, in the order of their identifiers.
    pub fn replicas(&self) -> &[ReplicaState] {
        &self.replicas
    }

    /// State of a replica.
    pub fn replica(&self, id: ReplicaId) -> Option<&ReplicaState> {
        self.slots.get(&id).map(|slot| &self.replicas[*slot as usize])
    }

    /// Mutable state of a replica.
    pub fn replica_mut(&mut self, id: ReplicaId) -> Option<&mut ReplicaState> {
        self.slots.get(&id).map(|slot| &mut self.replicas[*slot as usize])
    }

    /// Number of blocks in the cache view.
    pub fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Chooses a replica for a request; `exclude` lists those already tried.
    pub fn decide(
        &mut self,
        request: &RouteRequest<'_>,
        now: Time,
        exclude: &[ReplicaId],
        policies: &mut PolicyTable,
        policy: usize,
        oracle: Option<&dyn Oracle>,
    ) -> Decision {
        let serving = |state: &&ReplicaState| {
            state.description.models.contains(&request.model)
                && state.is_available(request.weights, now)
                && !exclude.contains(&state.description.id)
        };
        if !self.replicas.iter().any(|state| serving(&state)) {
            return Decision::NoReplica;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        self.estimate_caches(request, now, &mut scratch);
        self.collect_eligible(request, now, exclude, oracle.is_some(), &mut scratch);
        self.build_candidates(request, now, oracle, &mut scratch);
        let chosen = policies.choose(policy, request, &scratch.candidates);
        let decision = match chosen.and_then(|position| scratch.candidates.get(position)) {
            Some(candidate) => Decision::Send(self.target(request, candidate, &scratch, now)),
            None => Decision::Saturated,
        };
        self.scratch = scratch;
        decision
    }

    /// Collects candidate slots: home replicas, cached replicas and a few random ones; all of them
    /// when there are few.
    fn collect_eligible(
        &mut self,
        request: &RouteRequest<'_>,
        now: Time,
        exclude: &[ReplicaId],
        all: bool,
        scratch: &mut Scratch,
    ) {
        scratch.eligible.clear();
        for (slot, state) in self.replicas.iter().enumerate() {
            let may_serve = state.description.models.contains(&request.model)
                && state.in_flight < self.settings.max_in_flight
                && state.is_available(request.weights, now)
                && !exclude.contains(&state.description.id);
            if may_serve {
                scratch.eligible.push(slot as u32);
            }
        }
        let limit = self.settings.max_candidates;
        if all || scratch.eligible.len() <= limit {
            return;
        }
        let rng = &mut self.rng;
        let is_known = |slot: &u32| scratch.expected[*slot as usize] > 0.0;
        let (mut known, others): (Vec<u32>, Vec<u32>) =
            scratch.eligible.iter().partition(|slot| is_known(slot));
        known.truncate(limit.saturating_sub(SAMPLES));
        let samples = SAMPLES.min(others.len());
        known.extend((0..samples).map(|_| others[rng.random_range(0..others.len())]));
        known.sort_unstable();
        known.dedup();
        scratch.eligible = known;
    }

    fn build_candidates(
        &self,
        request: &RouteRequest<'_>,
        now: Time,
        oracle: Option<&dyn Oracle>,
        scratch: &mut Scratch,
    ) {
        let deepest = request.blocks.last().copied().unwrap_or(request.sequence);
        let block_tokens = f64::from(self.settings.block_tokens);
        scratch.candidates.clear();
        for (position, slot) in scratch.eligible.iter().enumerate() {
            let state = &self.replicas[*slot as usize];
            let id = state.description.id;
            let expected = scratch.expected[*slot as usize] * block_tokens;
            let (cached, waiting) = match oracle {
                Some(oracle) => {
                    (f64::from(oracle.cached_tokens(id, request)), oracle.waiting_tokens(id))
                }
                None => (expected, state.waiting_tokens(now, self.prefill_rate)),
            };
            let is_local = state.description.zone == self.settings.zone;
            let delay = if is_local { Duration::ZERO } else { self.settings.zone_delay };
            let uncached = (f64::from(request.prompt_tokens) - cached).max(0.0);
            let per_token_ms = 1_000.0 / self.prefill_rate;
            let age = state.load_received_at.map(|at| now.since(at).as_secs_f64() * 1_000.0);
            scratch.candidates.push(Candidate {
                replica: id,
                position: position as u32,
                is_local,
                in_flight: state.in_flight,
                reported_running: state.load.running,
                reported_waiting_tokens: state.load.waiting_tokens,
                report_age_ms: age.unwrap_or(NO_REPORT_AGE_MS),
                cached_tokens: cached as u32,
                home_rank: 0,
                queue_ms: waiting * per_token_ms,
                prefill_ms: uncached * per_token_ms,
                network_ms: 2.0 * delay.as_secs_f64() * 1_000.0,
            });
        }
        rank_homes(deepest, &mut scratch.candidates);
    }

    fn target(
        &self,
        request: &RouteRequest<'_>,
        candidate: &Candidate,
        scratch: &Scratch,
        now: Time,
    ) -> Target {
        let slot = self.slots[&candidate.replica] as usize;
        let (blocks, age) = scratch.predicted[slot];
        Target {
            replica: candidate.replica,
            expected_prefill: request.prompt_tokens.saturating_sub(candidate.cached_tokens),
            predicted_hit: (blocks > 0).then_some((blocks, age)),
            was_idle: self.replicas[slot].waiting_tokens(now, self.prefill_rate) < IDLE_TOKENS,
            home_depths: scratch.home_depths[slot],
        }
    }

    /// Records that a request was sent to its target.
    pub fn on_sent(&mut self, target: &Target, now: Time) {
        if let Some(state) = self.replica_mut(target.replica) {
            state.in_flight += 1;
            state.pending_prefill += target.expected_prefill;
            state.breaker.on_sent(now);
        }
    }

    /// Records the incarnation and load in a response of an engine.
    pub fn on_response(
        &mut self,
        replica: ReplicaId,
        incarnation: Incarnation,
        load: Option<LoadReport>,
        now: Time,
    ) {
        let Some(state) = self.replica_mut(replica) else {
            return;
        };
        state.observe_incarnation(incarnation);
        if let Some(load) = load {
            state.observe_load(load, now);
        }
    }

    /// Records the first token of a request, `wait` after it was sent.
    pub fn on_first_token(&mut self, target: &Target, wait: Duration) {
        let round_trip = self.settings.zone_delay * 2;
        if let Some(state) = self.replica_mut(target.replica) {
            state.pending_prefill = state.pending_prefill.saturating_sub(target.expected_prefill);
            state.breaker.on_success();
            if target.was_idle && target.expected_prefill >= MIN_RATE_TOKENS {
                let took = wait.saturating_sub(round_trip);
                self.observe_prefill(target.expected_prefill, took);
            }
        }
    }

    /// Updates the prefill rate from the time that `tokens` took.
    fn observe_prefill(&mut self, tokens: u32, took: Duration) {
        if !took.is_zero() {
            let rate = f64::from(tokens) / took.as_secs_f64();
            self.prefill_rate += RATE_GAIN * (rate - self.prefill_rate);
        }
    }

    /// Records the end of a request, successful or not.
    pub fn on_finished(&mut self, target: &Target, had_first_token: bool) {
        if let Some(state) = self.replica_mut(target.replica) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if !had_first_token {
                let pending = state.pending_prefill;
                state.pending_prefill = pending.saturating_sub(target.expected_prefill);
                state.breaker.on_abandoned();
            }
        }
    }

    /// Updates the cache view and home probabilities from the cache usage of a request.
    pub fn on_cache_report(
        &mut self,
        request: &RouteRequest<'_>,
        target: &Target,
        outcome: &CacheReport,
        now: Time,
    ) {
        let Some(&slot) = self.slots.get(&target.replica) else {
            return;
        };
        let block_tokens = self.settings.block_tokens;
        let found = (outcome.cached_tokens / block_tokens) as usize;
        if let Some((blocks, age)) = target.predicted_hit {
            let state = &mut self.replicas[slot as usize];
            let is_hit = found >= blocks as usize;
            state.observe_retention(age, is_hit);
        }
        self.update_home_chances(request, target.home_depths, found);
        let missing = &request.blocks[found.min(request.blocks.len())..];
        self.cache.remove(missing, slot);
        // The engine has computed and cached the missing blocks.
        self.cache.record(request.blocks, slot, outcome.incarnation, now);
    }

    fn update_home_chances(&mut self, request: &RouteRequest<'_>, home_depths: u8, found: usize) {
        if self.home_chance.len() >= MAX_HOME_CHANCES * HOME_DEPTHS.len() {
            self.home_chance.clear();
        }
        for (level, depth) in HOME_DEPTHS.iter().enumerate() {
            if home_depths & (1 << level) == 0 {
                continue;
            }
            let key = (request.tenant, level as u8);
            let chance = self.home_chance.entry(key).or_insert(INITIAL_HOME_CHANCE);
            let hit = f64::from(u8::from(found >= *depth));
            *chance += HOME_CHANCE_GAIN * (hit - *chance);
        }
    }

    /// Records that a replica refused a request because it lacks the weights.
    pub fn on_weights_refused(&mut self, replica: ReplicaId, weights: WeightsVersion, now: Time) {
        if let Some(state) = self.replica_mut(replica) {
            state.on_weights_refused(weights, now);
        }
    }
}

fn rank_homes(key: u64, candidates: &mut [Candidate]) {
    let mut order: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(position, candidate)| (rendezvous_weight(key, candidate.replica), position))
        .collect();
    order.sort_unstable_by(|left, right| right.cmp(left));
    for (rank, (_, position)) in order.into_iter().enumerate() {
        candidates[position].home_rank = rank as u32;
    }
}
