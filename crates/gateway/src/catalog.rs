//! The service catalog: routes, services, tenants and limits, validated together.

use crate::quota::TenantLimit;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use thiserror::Error;
use topazmount_control::Document;
use topazmount_types::{Digest, TenantId};

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Responds with an event stream; runs at most once unless the route is resumable.
    Streaming,
}

/// A service's part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Name of the service.
    pub service: String,
    /// Share of the traffic, relative to the other parts.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time for a request.
    pub timeout: Duration,
    /// Target time to the response, or to its first event.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services that its requests are divided among.
    pub split: Vec<SplitPart>,
    /// Maximum number of replicas that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a stream may be resumed at another replica.
    pub is_resumable: bool,
}

impl Route {
    /// Services that its requests go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.split.iter().filter(|part| part.weight > 0).map(|part| part.service.as_str())
    }

    /// The only service that its requests go to, if there is one.
    pub fn only_service(&self) -> Option<&str> {
        let mut services = self.services();
        let service = services.next()?;
        services.next().is_none().then_some(service)
    }

    /// Whether a request that may have run may be retried.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// Parameters of a service of language-model replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineParameters {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of a replica's cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Bytes of cache per token.
    pub token_bytes: f64,
    /// Bandwidth for transfers of cached parts, in megabits per second.
    pub link_mbps: f64,
    /// Names of the models that it serves.
    pub models: Vec<String>,
}

/// Bytes per millisecond on a link of one megabit per second.
const BYTES_PER_MBPS_MS: f64 = 125.0;

impl EngineParameters {
    /// Duration of a transfer of cached tokens within a zone, in milliseconds.
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        self.transfer_ms_over(tokens, self.link_mbps)
    }

    /// Duration of a transfer over a link of the given bandwidth, in milliseconds.
    pub fn transfer_ms_over(&self, tokens: u32, link_mbps: f64) -> f64 {
        let bytes_per_ms = link_mbps * BYTES_PER_MBPS_MS;
        if bytes_per_ms > 0.0 { f64::from(tokens) * self.token_bytes / bytes_per_ms } else { 0.0 }
    }
}

/// A service that requests are routed to, or a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one replica accepts from all clients.
    pub max_connections: u32,
    /// Set for language-model replicas.
    pub engine: Option<EngineParameters>,
    /// Set for a store of prompt parts, which serves no requests.
    pub store: Option<StoreParameters>,
}

/// A shared store of prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreParameters {
    /// Address that replicas use.
    pub address: String,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a kept-alive connection, and of receiving a body.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A tenant, which owns API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// API keys.
    pub api_keys: Vec<String>,
    /// Priority; 0 is the most urgent. Takes precedence over the route's.
    pub priority: u32,
    /// Whether its cached prompt parts must not be shared with other tenants.
    pub is_isolated: bool,
    /// Limit over all gateways together; `None` if unlimited.
    pub limit: Option<TenantLimit>,
}

/// The parts of a catalog, as decoded from a document.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// Version of the catalog.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on clients.
    pub limits: HttpLimits,
    /// Tenants; `None` if no request needs a key.
    pub tenants: Option<Vec<Tenant>>,
}

/// Why a catalog is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CatalogError {
    /// The document can't be decoded.
    #[error("the document can't be read: {0}")]
    Unreadable(String),
    /// A route refers to a service that does not exist.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("two routes share host {host} and prefix {path_prefix}")]
    DuplicateRoute {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        path_prefix: String,
    },
    /// The weights of a route add up to 0.
    #[error("the weights of route {0} add up to 0")]
    ZeroWeight(String),
    /// A route has a timeout of 0.
    #[error("route {0} has a timeout of 0")]
    ZeroTimeout(String),
    /// Two services have the same name.
    #[error("two services are named {0}")]
    DuplicateService(String),
    /// Two tenants have the same key.
    #[error("tenants {0} and {1} share a key")]
    DuplicateKey(String, String),
}

/// A validated catalog.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    parts: CatalogParts,
    services: BTreeMap<String, usize>,
    /// Indexes of the routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    /// Limits of tenants, by the hash of their names.
    limits: HashMap<u64, TenantLimit>,
    longest_stream: Duration,
}

impl Catalog {
    /// Validates the parts.
    ///
    /// # Errors
    /// The first [`CatalogError`] found.
    pub fn new(parts: CatalogParts) -> Result<Self, CatalogError> {
        let services = index_services(&parts.services)?;
        for route in &parts.routes {
            check_route(route, &services)?;
        }
        let hosts = index_hosts(&parts.routes)?;
        let keys = index_keys(parts.tenants.as_deref().unwrap_or_default())?;
        let tenants = parts.tenants.iter().flatten();
        let limits =
            tenants.filter_map(|tenant| Some((TenantId::from_name(&tenant.name).0, tenant.limit?)));
        let limits = limits.collect();
        let streams = parts.routes.iter().filter(|route| route.kind == RouteKind::Streaming);
        let longest_stream = streams.map(|route| route.timeout).max().unwrap_or_default();
        Ok(Catalog { parts, services, hosts, keys, limits, longest_stream })
    }

    /// Version of the catalog.
    pub fn version(&self) -> u64 {
        self.parts.version
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.parts.routes.len()
    }

    /// Limits on clients.
    pub fn limits(&self) -> HttpLimits {
        self.parts.limits
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.parts.services
    }

    /// All stores of prompt parts.
    pub fn stores(&self) -> impl Iterator<Item = StoreParameters> + '_ {
        self.parts.services.iter().filter_map(|service| service.store.clone())
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|position| &self.parts.services[*position])
    }

    /// The route with the longest matching path prefix, and its index.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let positions = self.hosts.get(&host.to_ascii_lowercase())?;
        let routes = &self.parts.routes;
        let found = positions.iter().find(|at| path.starts_with(&routes[**at].path_prefix))?;
        Some((*found, &routes[*found]))
    }

    /// Digest of the services that the routes of streams lead to; [`Document::NO_STREAMS`] without such
    /// routes. While it is the same, a stream's request leads to the services that it led to before.
    pub fn stream_routing(&self) -> u64 {
        let streams = self.parts.routes.iter().filter(|route| route.kind == RouteKind::Streaming);
        let mut routes: Vec<Digest> = streams.map(routing_of).collect();
        if routes.is_empty() {
            return Document::NO_STREAMS;
        }
        routes.sort_unstable();
        let bytes: Vec<u8> = routes.iter().flat_map(|digest| digest.0.to_le_bytes()).collect();
        Digest::of(&bytes).prefix()
    }

    /// Maximum time for a request for a stream; zero without such routes.
    pub fn longest_stream(&self) -> Duration {
        self.longest_stream
    }

    /// Whether any request needs a key.
    pub fn has_tenants(&self) -> bool {
        self.parts.tenants.is_some()
    }

    /// The limit of a tenant, by the hash of its name.
    pub fn tenant_limit(&self, tenant: u64) -> Option<&TenantLimit> {
        self.limits.get(&tenant)
    }

    /// The tenant that owns a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        let tenants = self.parts.tenants.as_deref().unwrap_or_default();
        self.keys.get(key).map(|position| &tenants[*position])
    }
}

/// Digest of a route's requests and of the services that they go to.
fn routing_of(route: &Route) -> Digest {
    let host = route.host.to_ascii_lowercase();
    let mut services: Vec<&str> = route.services().collect();
    services.sort_unstable();
    let mut parts = vec![host.as_bytes(), route.path_prefix.as_bytes()];
    parts.extend(services.into_iter().map(str::as_bytes));
    Digest::of_parts(&parts)
}

fn index_services(services: &[Service]) -> Result<BTreeMap<String, usize>, CatalogError> {
    let mut index = BTreeMap::new();
    for (position, service) in services.iter().enumerate() {
        if index.insert(service.name.clone(), position).is_some() {
            return Err(CatalogError::DuplicateService(service.name.clone()));
        }
    }
    Ok(index)
}

fn check_route(route: &Route, services: &BTreeMap<String, usize>) -> Result<(), CatalogError> {
    if route.timeout.is_zero() {
        return Err(CatalogError::ZeroTimeout(route.name.clone()));
    }
    let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    if total == 0 {
        return Err(CatalogError::ZeroWeight(route.name.clone()));
    }
    match route.split.iter().find(|part| !services.contains_key(&part.service)) {
        Some(part) => Err(CatalogError::UnknownService {
            route: route.name.clone(),
            service: part.service.clone(),
        }),
        None => Ok(()),
    }
}

fn index_hosts(routes: &[Route]) -> Result<HashMap<String, Vec<usize>>, CatalogError> {
    let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
    for (position, route) in routes.iter().enumerate() {
        let on_host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
        if on_host.iter().any(|other| routes[*other].path_prefix == route.path_prefix) {
            return Err(CatalogError::DuplicateRoute {
                host: route.host.clone(),
                path_prefix: route.path_prefix.clone(),
            });
        }
        on_host.push(position);
    }
    for on_host in hosts.values_mut() {
        on_host.sort_by_key(|at| std::cmp::Reverse(routes[*at].path_prefix.len()));
    }
    Ok(hosts)
}

fn index_keys(tenants: &[Tenant]) -> Result<HashMap<String, usize>, CatalogError> {
    let mut keys: HashMap<String, usize> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        for key in &tenant.api_keys {
            let earlier = keys.insert(key.clone(), position);
            if let Some(other) = earlier.filter(|other| *other != position) {
                let first = tenants[other].name.clone();
                return Err(CatalogError::DuplicateKey(first, tenant.name.clone()));
            }
        }
    }
    Ok(keys)
}
