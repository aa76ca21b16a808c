//! What one gateway knows and for how long it may rely on it.

mod limits;
mod placement;
mod replicas;

pub use limits::LimitUpdate;

use crate::balancer::{Balancer, Choice, ChoiceRequest, ReplicaChanges, SURELY_KEPT};
use crate::budget::{BudgetSettings, RetryBudget};
use crate::catalog::{Catalog, Route, Tenant};
use crate::connections::{ConnectionReuse, ConnectionSettings};
use crate::crashes::CrashTracker;
use crate::quota::{QuotaSettings, Quotas};
use crate::shards::GatewayList;
use crate::split::Splits;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use topazmount_admission::PushbackSettings;
use topazmount_control::{FleetView, RolloutSettings, SeenVersions};
use topazmount_routing::PolicyTable;
use topazmount_types::{ErrorKind, RequestDigest, Time};

/// Least time after which a refused client should come back.
const SOON: Duration = Duration::from_millis(250);
/// Longest time that a refused client is told to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Time kept back of the bound on revoked keys, for a request on its way to a replica.
const REVOCATION_MARGIN: Duration = Duration::from_millis(700);

/// Bounds that a gateway keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Time after which a removed key is refused by every gateway, in touch or not; `None` where
    /// gateways out of touch may serve on.
    pub max_revocation_delay: Option<Duration>,
    /// The fleet's retry budget.
    pub budget: BudgetSettings,
    /// Kept connections to replicas.
    pub connections: ConnectionSettings,
    /// Age up to which a replica almost surely holds what it was seen to read or use.
    pub reliable_cache_age: Duration,
    /// How far tenants' limits may be exceeded.
    pub quota: QuotaSettings,
    /// How long what replicas ask is believed.
    pub pushback: PushbackSettings,
    /// Bounds of a roll-out of weights.
    pub rollout: RolloutSettings,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            max_revocation_delay: Some(Duration::from_secs(5)),
            budget: BudgetSettings::default(),
            connections: ConnectionSettings::default(),
            reliable_cache_age: SURELY_KEPT,
            quota: QuotaSettings::default(),
            pushback: PushbackSettings::default(),
            rollout: RolloutSettings::default(),
        }
    }
}

/// A request that may be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Its route.
    pub route: Route,
    /// The tenant that holds its key, where keys are needed.
    pub tenant: Option<Tenant>,
    /// Service that it goes to.
    pub service: String,
    /// Catalog version by which it was admitted.
    pub version: u64,
}

/// A gateway's knowledge. Invariants: the catalog's version only rises; a keyed request is
/// admitted only while word of a member that could vouch for the newest catalog is younger than
/// the bound on revoked keys.
pub struct GatewayState {
    settings: GatewaySettings,
    catalog: Option<Arc<Catalog>>,
    seen: SeenVersions,
    /// Whether it has heard only of a part of the replicas that a member knows.
    is_behind: bool,
    confirmed_until: Time,
    /// When a request first met it unconfirmed, since it was confirmed last.
    unconfirmed_since: Option<Time>,
    gateway_count: usize,
    gateways: GatewayList,
    /// Where the gateways of the leader's list take datagrams, by their addresses for clients.
    named: BTreeMap<String, SocketAddr>,
    /// Port at which all gateways take datagrams of others.
    own_port: u16,
    balancer: Balancer,
    splits: Splits,
    rng: ChaCha8Rng,
    budgets: HashMap<String, RetryBudget>,
    connections: ConnectionReuse,
    crashes: CrashTracker,
    quotas: Quotas,
    policies: PolicyTable,
    /// Where gateways take datagrams that were named since the last look.
    newcomers: Vec<SocketAddr>,
}

impl GatewayState {
    /// A gateway in a zone that knows nothing yet.
    pub fn new(zone: &str, settings: GatewaySettings, seed: u64) -> Self {
        let mut knowledge = GatewayState {
            settings,
            catalog: None,
            seen: SeenVersions::default(),
            is_behind: false,
            confirmed_until: Time::ZERO,
            unconfirmed_since: None,
            gateway_count: 0,
            gateways: GatewayList::default(),
            named: BTreeMap::new(),
            own_port: 0,
            balancer: Balancer::new(zone, seed),
            splits: Splits::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            budgets: HashMap::new(),
            connections: ConnectionReuse::default(),
            crashes: CrashTracker::default(),
            quotas: Quotas::default(),
            policies: PolicyTable::default(),
            newcomers: Vec::new(),
        };
        knowledge.set_settings(settings);
        knowledge
    }

    /// Bounds that it keeps.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Changes the settings.
    pub fn set_settings(&mut self, settings: GatewaySettings) {
        self.settings = settings;
        self.connections.set_settings(settings.connections);
        self.balancer.set_reliable_cache_age(settings.reliable_cache_age);
        self.quotas.set(settings.quota);
        self.balancer.set_pushback_settings(settings.pushback);
        self.balancer.set_rollout_settings(settings.rollout);
    }

    /// What it has seen, for the next request for news.
    pub fn seen_versions(&self) -> SeenVersions {
        self.seen
    }

    /// The catalog in force here.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Replicas and their choice.
    pub fn balancer(&mut self) -> &mut Balancer {
        &mut self.balancer
    }

    /// Decides on kept connections to replicas.
    pub fn connections(&mut self) -> &mut ConnectionReuse {
        &mut self.connections
    }

    /// Requests under which replicas crash.
    pub fn crashes(&mut self) -> &mut CrashTracker {
        &mut self.crashes
    }

    /// Takes the list of requests that must not be sent on, if a view has a newer one. Returns those that
    /// are new in it, and those that are gone from it.
    pub fn apply_blocked(
        &mut self,
        view: &FleetView,
        now: Time,
    ) -> (Vec<RequestDigest>, Vec<RequestDigest>) {
        if view.staleness.is_some() {
            self.crashes.record_control_contact(now);
        }
        match &view.blocked {
            Some((changes, blocked)) if *changes > self.seen.blocked => {
                self.seen.blocked = *changes;
                self.crashes.set_blocked(blocked, now)
            }
            _ => Default::default(),
        }
    }

    /// Connections at rest that this gateway may keep to one replica of a service: half of those
    /// that the replica takes, shared by all gateways.
    pub fn max_pooled_connections(&self, service: &str) -> usize {
        let service = self.catalog.as_ref().and_then(|catalog| catalog.service(service));
        let most = service.map_or(0, |service| service.max_connections as usize);
        (most / 2 / self.gateway_count.max(1)).max(1)
    }

    /// Policies in force.
    pub fn policies(&mut self) -> &mut PolicyTable {
        &mut self.policies
    }

    /// Whether the policy that decides on a request lets it run.
    pub fn is_admitted_by_policy(&mut self, request: &ChoiceRequest<'_>) -> bool {
        self.balancer.admits(request, &mut self.policies)
    }

    /// Notes the first token of a request, `waited` after it was sent.
    pub fn on_first_token(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        waited: Duration,
        now: Time,
    ) {
        self.balancer.on_first_token(choice, request, waited, now);
        self.policies.first_token(choice.policy, waited.as_secs_f64() * 1_000.0);
        if let Some(prompt) = request.prompt {
            let found = prompt.prompt_tokens.saturating_sub(choice.expected_prefill);
            self.policies.ended(choice.policy, prompt.prompt_tokens, found);
        }
    }

    /// Whether what it knows is confirmed now.
    pub fn is_confirmed(&self, now: Time) -> bool {
        self.catalog.is_some() && now < self.confirmed_until
    }

    /// Takes news that was asked for at `asked_at`. `catalog` is the view's document as read by
    /// the dialect, if the view has one that can be read. Returns which beliefs on replicas it took back.
    pub fn apply(
        &mut self,
        view: &FleetView,
        catalog: Option<Catalog>,
        asked_at: Time,
    ) -> ReplicaChanges {
        if let Some(catalog) = catalog
            && catalog.version() > self.seen.document
        {
            self.seen.document = catalog.version();
            self.balancer.stores().set(catalog.stores());
            self.catalog = Some(Arc::new(catalog));
        }
        let mut changes = self.apply_instances(view);
        if view.is_leased() {
            self.balancer.record_leader_contact(asked_at);
        }
        self.balancer.set_published(&view.weights, asked_at);
        self.balancer.set_min_versions(&view.oldest_weights);
        if let Some((count, statuses)) = &view.statuses {
            self.seen.statuses = *count;
            changes.extend(statuses.iter().flat_map(|status| self.balancer.set_status(status)));
        }
        // A leader without a lease may have been deposed: its list must move no grants, and is told again.
        if let Some(news) = view.gateways.as_ref().filter(|_| view.is_leased()) {
            self.seen.gateways = news.count;
            self.set_gateways(news, asked_at);
        }
        if view.gateway_count > 0 {
            self.gateway_count = view.gateway_count as usize;
        }
        if let Some(staleness) = view.staleness {
            let until = match self.settings.max_revocation_delay {
                Some(bound) => asked_at + bound.saturating_sub(staleness + REVOCATION_MARGIN),
                None => Time::NEVER,
            };
            self.confirmed_until = self.confirmed_until.max(until);
            self.unconfirmed_since = None;
        }
        changes
    }

    /// Decides whether a request may be served, and where it belongs.
    ///
    /// # Errors
    /// The kind of refusal. Where the gateway can't be sure of the newest catalog it does not say
    /// that a route or key does not exist.
    pub fn admit(
        &mut self,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: Time,
    ) -> Result<Admission, ErrorKind> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(ErrorKind::NoConfiguration);
        };
        let is_confirmed = self.is_confirmed(now);
        let refusal = |kind| if is_confirmed { kind } else { ErrorKind::NoConfiguration };
        let Some((_, route)) = catalog.route(host, path) else {
            return Err(refusal(ErrorKind::NotFound));
        };
        let needs_key = catalog.has_tenants() && !route.is_public;
        let tenant = key.and_then(|key| catalog.tenant(key));
        if needs_key && tenant.is_none() {
            return Err(refusal(ErrorKind::Unauthenticated));
        }
        if needs_key && !is_confirmed {
            return Err(ErrorKind::NoConfiguration);
        }
        Ok(Admission {
            route: route.clone(),
            tenant: tenant.filter(|_| needs_key).cloned(),
            service: self.splits.next(route, &mut self.rng),
            version: catalog.version(),
        })
    }

    /// When a client that is refused with a kind may come back. How long a gateway will still lack a
    /// confirmed catalog is best guessed by how long it has lacked one already.
    pub fn retry_after(&mut self, kind: ErrorKind, now: Time) -> Duration {
        if kind != ErrorKind::NoConfiguration {
            return SOON;
        }
        let since = *self.unconfirmed_since.get_or_insert(now);
        (SOON + now.since(since)).min(LONGEST_WAIT)
    }

    /// When a client whose request no replica may be sent should come back: when the first one has rested, spread over
    /// half of that time more so that they don't come at one moment; `None` where none rests.
    pub fn retry_after_pushback(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<Duration> {
        let rest = self.balancer.time_until_available(request, now)?;
        let spread = (rest / 2).max(SOON).mul_f64(self.rng.random_range(0.0..1.0));
        Some(rest + spread)
    }

    /// Chooses a replica.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>, now: Time) -> Option<Choice> {
        self.choose_in_shard(request, None, now)
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str, now: Time) {
        let budget = self.budgets.entry(service.to_owned()).or_default();
        budget.record_request(now, &self.settings.budget);
    }

    /// Asks the budget of a service for one repeat.
    pub fn try_retry(&mut self, service: &str, now: Time) -> bool {
        let nodes = self.gateway_count;
        let budget = self.budgets.entry(service.to_owned()).or_default();
        budget.try_retry(now, &self.settings.budget, nodes)
    }
}
