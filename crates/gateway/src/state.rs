//! What one gateway knows of the fleet, and for how long it may rely on it.

mod failures;
mod limits;
mod notices;
mod origins;
mod placement;
mod replicas;
mod trials;

pub use failures::{FailureOutput, MAX_VERDICTS};
pub use limits::LimitUpdate;
use notices::LeaderNotices;
use placement::FollowedStores;

use crate::balancer::{
    Balancer, Choice, ChoiceRequest, DEFAULT_RELIABLE_CACHE_AGE, ReplicaChanges,
};
use crate::budget::{BudgetSettings, RetryBudget};
use crate::catalog::{Catalog, Route, Tenant};
use crate::connections::{ConnectionReuse, ConnectionSettings};
use crate::crashes::CrashTracker;
use crate::failure_monitor::FailureMonitor;
use crate::quota::{QuotaSettings, Quotas};
use crate::shards::GatewayList;
use crate::software_history::SoftwareHistory;
use crate::split::Splits;
use crate::stream_origins::StreamOrigins;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use topazmount_admission::PushbackSettings;
use topazmount_control::{
    DEFAULT_HEARTBEAT_INTERVAL, Document, FleetView, RolloutSettings, SeenVersions,
};
use topazmount_routing::PolicyTable;
use topazmount_types::{ErrorKind, RequestDigest, SoftwareId, Time};

/// Minimum retry delay of a refused client.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum retry delay of a refused client.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Part of the bound on revoked keys that is reserved for a request on its way to a replica.
const REVOCATION_MARGIN: Duration = Duration::from_millis(700);

/// Settings of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Time after which every gateway refuses a removed key, connected or not; `None` where
    /// gateways without connection to the control group may keep serving.
    pub max_revocation_delay: Option<Duration>,
    /// Retry budget of the fleet.
    pub budget: BudgetSettings,
    /// Reuse of connections to replicas.
    pub connections: ConnectionSettings,
    /// Age up to which a cache record is relied on.
    pub reliable_cache_age: Duration,
    /// How far tenants' limits may be exceeded.
    pub quota: QuotaSettings,
    /// How long pushback of replicas is honored.
    pub pushback: PushbackSettings,
    /// Limits of a roll-out of weights.
    pub rollout: RolloutSettings,
    /// Interval at which replicas send heartbeats.
    pub heartbeat_interval: Duration,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            max_revocation_delay: Some(Duration::from_secs(5)),
            budget: BudgetSettings::default(),
            connections: ConnectionSettings::default(),
            reliable_cache_age: DEFAULT_RELIABLE_CACHE_AGE,
            quota: QuotaSettings::default(),
            pushback: PushbackSettings::default(),
            rollout: RolloutSettings::default(),
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
        }
    }
}

/// A request that was admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Route of the request.
    pub route: Route,
    /// The tenant that owns the key, where keys are required.
    pub tenant: Option<Tenant>,
    /// Service that the request goes to.
    pub service: String,
    /// Version of the catalog that admitted it.
    pub version: u64,
}

/// State of a gateway. Invariants: the catalog's version only rises; a request with a key is
/// admitted only while the last response that confirmed the newest catalog is younger than the
/// bound on revoked keys.
pub struct GatewayState {
    settings: GatewaySettings,
    catalog: Option<Arc<Catalog>>,
    seen: SeenVersions,
    /// Whether only a part of the replica list has been received.
    is_behind: bool,
    confirmed_until: Time,
    /// When a request first arrived unconfirmed, since the last confirmation.
    unconfirmed_since: Option<Time>,
    gateway_count: usize,
    gateways: GatewayList,
    /// Datagram addresses of the gateways in the leader's list, by their client addresses.
    peer_addresses: BTreeMap<String, SocketAddr>,
    /// Datagram addresses of the listed gateways that run legacy builds.
    legacy_peers: HashSet<SocketAddr>,
    /// Port at which all gateways receive datagrams.
    datagram_port: u16,
    balancer: Balancer,
    splits: Splits,
    rng: ChaCha8Rng,
    budgets: HashMap<String, RetryBudget>,
    connections: ConnectionReuse,
    crashes: CrashTracker,
    failure_monitor: FailureMonitor,
    quotas: Quotas,
    policies: PolicyTable,
    /// Datagram addresses of gateways that were listed since the last call of
    /// `limit_updates_for_new_gateways`.
    new_peers: Vec<SocketAddr>,
    leader_notices: LeaderNotices,
    followed_stores: FollowedStores,
    stream_origins: StreamOrigins,
    software_history: SoftwareHistory,
    /// The only software version of a service's replicas, if there is one, and the revision of their list
    /// that this is known of.
    only_software: HashMap<String, (u64, Option<SoftwareId>)>,
}

impl GatewayState {
    /// Creates the state of a gateway in a zone, without catalog and replicas.
    pub fn new(zone: &str, settings: GatewaySettings, seed: u64) -> Self {
        let mut state = GatewayState {
            settings,
            catalog: None,
            seen: SeenVersions::default(),
            is_behind: false,
            confirmed_until: Time::ZERO,
            unconfirmed_since: None,
            gateway_count: 0,
            gateways: GatewayList::default(),
            peer_addresses: BTreeMap::new(),
            legacy_peers: HashSet::new(),
            datagram_port: 0,
            balancer: Balancer::new(zone, seed),
            splits: Splits::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            budgets: HashMap::new(),
            connections: ConnectionReuse::default(),
            crashes: CrashTracker::default(),
            failure_monitor: FailureMonitor::default(),
            quotas: Quotas::default(),
            policies: PolicyTable::default(),
            new_peers: Vec::new(),
            leader_notices: LeaderNotices::default(),
            followed_stores: FollowedStores::default(),
            stream_origins: StreamOrigins::default(),
            software_history: SoftwareHistory::default(),
            only_software: HashMap::new(),
        };
        state.set_settings(settings);
        state
    }

    /// Current settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Changes the settings.
    pub fn set_settings(&mut self, settings: GatewaySettings) {
        self.settings = settings;
        self.connections.set_settings(settings.connections);
        self.balancer.set_reliable_cache_age(settings.reliable_cache_age);
        self.quotas.set_settings(settings.quota);
        self.balancer.set_pushback_settings(settings.pushback);
        self.balancer.set_rollout_settings(settings.rollout);
        self.crashes.set_heartbeat_interval(settings.heartbeat_interval);
    }

    /// Versions of the data already applied, for the next request to the control group.
    pub fn seen_versions(&self) -> SeenVersions {
        self.seen
    }

    /// The current catalog.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Records of replicas, and the choice among them.
    pub fn balancer(&mut self) -> &mut Balancer {
        &mut self.balancer
    }

    /// Decides on the reuse of connections to replicas.
    pub fn connections(&mut self) -> &mut ConnectionReuse {
        &mut self.connections
    }

    /// Tracks requests that crash replicas.
    pub fn crashes(&mut self) -> &mut CrashTracker {
        &mut self.crashes
    }

    /// Applies the list of blocked requests if a view has a newer one. Returns the added and the
    /// removed requests.
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

    /// Maximum number of idle connections that this gateway keeps to one replica: its share of half
    /// of those that the replica accepts.
    pub fn max_pooled_connections(&self, service: &str) -> usize {
        let service = self.catalog.as_ref().and_then(|catalog| catalog.service(service));
        let max_connections = service.map_or(0, |service| service.max_connections as usize);
        (max_connections / 2 / self.gateway_count.max(1)).max(1)
    }

    /// Current routing policies.
    pub fn policies(&mut self) -> &mut PolicyTable {
        &mut self.policies
    }

    /// Name of the routing policy that rejects the request, if it does.
    pub fn rejecting_policy(&mut self, request: &ChoiceRequest<'_>) -> Option<String> {
        self.balancer.rejecting_policy(request, &mut self.policies)
    }

    /// Records the first token of a request, `waited` after it was sent.
    pub fn on_first_token(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        waited: Duration,
        now: Time,
    ) {
        self.balancer.on_first_token(choice, request, waited, now);
        self.policies.on_first_token(choice.policy, waited.as_secs_f64() * 1_000.0);
        if let Some(prompt) = request.prompt {
            let cached = prompt.prompt_tokens.saturating_sub(choice.expected_prefill);
            self.policies.on_finished(choice.policy, prompt.prompt_tokens, cached);
        }
    }

    /// Whether the catalog is currently confirmed, and the replicas' notices are known.
    pub fn is_confirmed(&self, now: Time) -> bool {
        self.catalog.is_some() && now < self.confirmed_until && self.leader_notices.are_settled(now)
    }

    /// Applies a view that was requested at `asked_at`. `catalog` is the view's document as decoded
    /// by the dialect, if there is a readable one. Returns changes that invalidate records of
    /// replicas.
    pub fn apply(
        &mut self,
        view: &FleetView,
        catalog: Option<Catalog>,
        asked_at: Time,
    ) -> ReplicaChanges {
        if let Some(catalog) = catalog
            && catalog.version() > self.seen.document
        {
            let is_rerouted =
                self.catalog.as_ref().is_some_and(|known| is_rerouted(known, &catalog));
            self.software_history.on_catalog(catalog.longest_stream(), is_rerouted, asked_at);
            // Services that are gone need no entry.
            self.only_software.clear();
            self.seen.document = catalog.version();
            self.balancer.stores().set(catalog.stores());
            self.catalog = Some(Arc::new(catalog));
        }
        let mut changes = self.apply_instances(view, asked_at);
        if view.is_leased() {
            self.balancer.record_leader_contact(asked_at);
        }
        self.balancer.set_published(&view.weights, asked_at);
        self.balancer.set_min_versions(&view.oldest_weights);
        if let Some((count, statuses)) = &view.statuses {
            self.seen.statuses = *count;
            changes.extend(statuses.iter().flat_map(|status| self.balancer.set_status(status)));
        }
        // A leader without a lease may have been deposed, so its list must not move grants.
        if let Some(update) = view.gateways.as_ref().filter(|_| view.is_leased()) {
            self.seen.gateways = update.count;
            self.set_gateways(update, asked_at);
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

    /// Decides whether a request is admitted, and which service it goes to.
    ///
    /// # Errors
    ///
    /// The reason of the refusal. While the catalog is unconfirmed, an unknown route or key is
    /// reported as a missing configuration.
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
        if !self.leader_notices.are_settled(now) {
            return Err(ErrorKind::NoConfiguration);
        }
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

    /// Retry delay for a client that was refused. An outage of the catalog is expected to last as
    /// long again as it has lasted.
    pub fn retry_after(&mut self, kind: ErrorKind, now: Time) -> Duration {
        if kind != ErrorKind::NoConfiguration {
            return MIN_RETRY_DELAY;
        }
        let since = *self.unconfirmed_since.get_or_insert(now);
        (MIN_RETRY_DELAY + now.since(since)).min(MAX_RETRY_DELAY)
    }

    /// Retry delay for a client whose request no replica accepts now: until the first one is
    /// available again, plus up to half of that at random; `None` if no replica will be.
    pub fn retry_after_pushback(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<Duration> {
        let backoff = self.balancer.time_until_available(request, now)?;
        let spread = (backoff / 2).max(MIN_RETRY_DELAY).mul_f64(self.rng.random_range(0.0..1.0));
        Some(backoff + spread)
    }

    /// Chooses a replica of the whole service.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>, now: Time) -> Option<Choice> {
        self.choose_in_shard(request, None, now)
    }

    /// Counts a request in the retry budget of its service.
    pub fn record_request(&mut self, service: &str, now: Time) {
        let budget = self.budgets.entry(service.to_owned()).or_default();
        budget.record_request(now, &self.settings.budget);
    }

    /// Number of gateways that divide what all together may spend. Those that a new leader does not
    /// know yet, or that are cut off from it, still spend their parts.
    fn sharing_gateways(&self) -> usize {
        self.gateway_count.max(self.quotas.gateway_count())
    }

    /// Takes one retry from the budget of a service, if there is one left.
    pub fn try_retry(&mut self, service: &str, now: Time) -> bool {
        let nodes = self.sharing_gateways();
        let budget = self.budgets.entry(service.to_owned()).or_default();
        budget.try_retry(now, &self.settings.budget, nodes)
    }
}

/// Whether streams may go to other services by the next catalog.
fn is_rerouted(known: &Catalog, next: &Catalog) -> bool {
    let before = known.stream_routing();
    before != Document::NO_STREAMS && before != next.stream_routing()
}
