//! The service catalog: routes, services, tenants and limits, checked as a whole.

use crate::quota::TenantLimit;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use thiserror::Error;
use topazmount_types::TenantId;

/// What may be done again with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// One part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Service.
    pub service: String,
    /// Share of the traffic, relative to the other parts.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub target_latency: Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Where its requests go.
    pub split: Vec<SplitPart>,
    /// Most replicas that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a stream may go on at another replica.
    pub is_resumable: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again.
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
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that a replica's memory holds.
    pub kv_capacity_tokens: u64,
    /// Bytes of memory that one token takes.
    pub token_bytes: f64,
    /// Bandwidth for moves of memory, in megabits a second.
    pub link_mbps: f64,
    /// Models that it serves.
    pub models: Vec<String>,
}

/// Bytes that a link of one megabit a second carries in a millisecond.
const BYTES_PER_MBPS_MS: f64 = 125.0;

impl EngineParameters {
    /// Duration of a move of so many tokens within a zone, in milliseconds.
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        self.transfer_ms_over(tokens, self.link_mbps)
    }

    /// The same over another link, in megabits a second.
    pub fn transfer_ms_over(&self, tokens: u32, link_mbps: f64) -> f64 {
        let bytes_per_ms = link_mbps * BYTES_PER_MBPS_MS;
        if bytes_per_ms > 0.0 { f64::from(tokens) * self.token_bytes / bytes_per_ms } else { 0.0 }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one replica takes from all callers.
    pub max_connections: u32,
    /// Set for language-model replicas.
    pub engine: Option<EngineParameters>,
    /// Set for a store of prompt parts, which serves no requests.
    pub store: Option<StoreParameters>,
}

/// A shared store of prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreParameters {
    /// Address, as replicas are told of it.
    pub address: String,
    /// Its link, in megabits a second.
    pub link_mbps: f64,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest head in bytes.
    pub max_header_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head or body to arrive.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
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

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Keys.
    pub api_keys: Vec<String>,
    /// Rank, 0 is the most urgent; goes before the route's.
    pub priority: u32,
    /// Whether its cached prompt parts are kept from all other tenants.
    pub is_isolated: bool,
    /// How much it may use over all gateways together; `None` where that is not limited.
    pub limit: Option<TenantLimit>,
}

/// What a catalog is made of, as read from a document.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// Version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits.
    pub limits: HttpLimits,
    /// Tenants; `None` when requests need no key at all.
    pub tenants: Option<Vec<Tenant>>,
}

/// Why a catalog is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CatalogError {
    /// The document can't be read.
    #[error("the document can't be read: {0}")]
    Unreadable(String),
    /// A route names a service that is not there.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: String,
    },
    /// Two routes share host and prefix.
    #[error("two routes share host {host} and prefix {path_prefix}")]
    DuplicateRoute {
        /// Host.
        host: String,
        /// Prefix.
        path_prefix: String,
    },
    /// A route's weights add up to nothing.
    #[error("the weights of route {0} add up to 0")]
    ZeroWeight(String),
    /// A route has no time.
    #[error("route {0} has a timeout of 0")]
    ZeroTimeout(String),
    /// Two services share a name.
    #[error("two services are named {0}")]
    DuplicateService(String),
    /// Two tenants share a key.
    #[error("tenants {0} and {1} share a key")]
    DuplicateKey(String, String),
}

/// A checked catalog.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    parts: CatalogParts,
    services: BTreeMap<String, usize>,
    /// For each host its routes, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    /// Tenants that have limits, by the hash of their names.
    limits: HashMap<u64, TenantLimit>,
}

impl Catalog {
    /// Checks the parts as a whole.
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
        let limits = tenants.filter_map(|one| Some((TenantId::from_name(&one.name).0, one.limit?)));
        let limits = limits.collect();
        Ok(Catalog { parts, services, hosts, keys, limits })
    }

    /// Version.
    pub fn version(&self) -> u64 {
        self.parts.version
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

    /// The route with the longest prefix of the path, and its place in the list.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let positions = self.hosts.get(&host.to_ascii_lowercase())?;
        let routes = &self.parts.routes;
        let found = positions.iter().find(|at| path.starts_with(&routes[**at].path_prefix))?;
        Some((*found, &routes[*found]))
    }

    /// Whether requests need keys at all.
    pub fn has_tenants(&self) -> bool {
        self.parts.tenants.is_some()
    }

    /// The limit of a tenant, by the hash of its name.
    pub fn tenant_limit(&self, tenant: u64) -> Option<&TenantLimit> {
        self.limits.get(&tenant)
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        let tenants = self.parts.tenants.as_deref().unwrap_or_default();
        self.keys.get(key).map(|position| &tenants[*position])
    }
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
