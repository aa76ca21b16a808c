//! What a deployment consists of: zones, models, engines, applications, tenants, limits and
//! policies.

use crate::reader::{Problems, Reader, Report, parse_table};
use crate::source::{MAIN_FILE, SourceFiles};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_types::{ModelId, Priority, ReplicaId, TenantId, WeightsVersion, ZoneId};

/// A whole deployment, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Declarations {
    /// Name of the deployment.
    pub name: String,
    /// Tokens in one cached block.
    pub block_tokens: u32,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Delays between machines.
    pub network: Network,
    /// Models that callers may ask for.
    pub models: Vec<Model>,
    /// Engine replicas.
    pub engines: Vec<Engine>,
    /// Applications whose operations run at most once.
    pub applications: Vec<Application>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Bounds on requests and work.
    pub limits: Limits,
    /// Which policies decide.
    pub routing: Routing,
    /// Policy programs.
    pub policies: Vec<PolicyDeclaration>,
    /// The store that engines load weights from.
    pub weights_store: WeightsStore,
    /// Where the platform's list of live and leaving machines is served, if it is.
    pub machine_list: Option<SocketAddr>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Identifier derived from the name.
    pub id: ZoneId,
    /// Name.
    pub name: String,
}

/// One-way delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    /// Between two zones.
    pub zone_delay: Duration,
    /// From a client to the node beside it.
    pub client_delay: Duration,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Identifier derived from the name.
    pub id: ModelId,
    /// Name as callers write it.
    pub name: String,
    /// Weights version that may serve it now.
    pub weights: WeightsVersion,
}

/// A back end's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Identifier derived from the name.
    pub id: ReplicaId,
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: ZoneId,
    /// Where it listens for HTTP.
    pub address: SocketAddr,
}

/// An engine replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its place.
    pub replica: Replica,
    /// Models it serves.
    pub models: Vec<ModelId>,
}

/// An application: services whose operations run at most once, on some replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Application {
    /// The service as callers write it.
    pub service: Service,
    /// Its replicas.
    pub replicas: Vec<Replica>,
}

/// A service and its operations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Operations.
    pub operations: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Identifier derived from the name.
    pub id: TenantId,
    /// Name.
    pub name: String,
    /// Hex BLAKE3 hash of the API key.
    pub api_key_hash: String,
    /// Prompt and generated tokens a second for the whole fleet.
    pub rate_tokens_per_second: u64,
    /// Tokens that may be used at once after a quiet time.
    pub burst_tokens: u64,
    /// Priority of requests that name none.
    pub priority: Priority,
}

/// Bounds on requests and work.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: u32,
    /// Most tokens that a request may ask for.
    pub max_completion_tokens: u32,
    /// Open connections of callers per node.
    pub max_connections: usize,
    /// Time for a caller to send its header and body.
    pub receive_timeout: Duration,
    /// Time from arrival to a terminal answer, for requests that name none.
    pub request_deadline: Duration,
    /// Silence of a back end in mid-answer after which the node resumes elsewhere.
    pub stall_timeout: Duration,
    /// Requests waiting per node before new ones are refused.
    pub queue_capacity: usize,
    /// Requests in flight per engine and node before others wait.
    pub engine_concurrency: u32,
    /// Retries allowed per first try, as a fraction.
    pub retry_ratio: f64,
    /// Time for open work to finish when a process stops.
    pub drain_timeout: Duration,
    /// How long a result of an at-most-once call is kept.
    pub result_retention: Duration,
}

/// Which policies decide.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Shares of traffic; what they leave to 1 goes to the built-in policy.
    pub shares: Vec<PolicyShare>,
    /// Policies that are evaluated and not obeyed.
    pub shadows: Vec<String>,
    /// Blocks that many prompts of a tenant begin with; such prompts meet on the same replicas.
    pub shared_blocks: usize,
}

/// A policy's share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyShare {
    /// Policy name, or `built-in`.
    pub policy: String,
    /// Fraction of requests, 0 to 1.
    pub share: f64,
}

/// A policy program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyDeclaration {
    /// Name.
    pub name: String,
    /// Version that the operator gives it.
    pub version: u32,
    /// Program text.
    pub program: String,
}

/// The rate-limited weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsStore {
    /// Time for one replica to load new weights when the store isn't crowded.
    pub load_time: Duration,
    /// Replicas that may load at once.
    pub max_concurrent_loads: u32,
}

/// Name that stands for the policy compiled into the node.
const BUILT_IN_POLICY: &str = "built-in";
const MAX_MILLIS: u64 = 3_600_000;

/// Hex hash of an API key as declarations store it.
pub fn api_key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl Declarations {
    /// Parses and checks a deployment's files as a whole.
    ///
    /// # Errors
    /// Every problem of every file.
    pub fn parse(source: &SourceFiles) -> Result<Declarations, Problems> {
        let report = Report::default();
        let Some(text) = source.0.get(MAIN_FILE) else {
            report.add(MAIN_FILE, "file", "is missing", "create it in the deployment folder");
            return Err(Problems(report.into_result(()).unwrap_err().0));
        };
        let Some(table) = parse_table(MAIN_FILE, text, &report) else {
            return Err(report.into_result(()).unwrap_err());
        };
        let root = Reader::new(MAIN_FILE, &table, &report);
        let declarations = read_root(&root, source);
        root.finish();
        report.into_result(declarations)
    }

    /// The engine with this identifier.
    pub fn engine(&self, id: ReplicaId) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.replica.id == id)
    }

    /// The application that offers `service`.
    pub fn application(&self, service: &str) -> Option<&Application> {
        self.applications.iter().find(|application| application.service.name == service)
    }

    /// The model that callers name so.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// The tenant whose API key hashes to `hash`.
    pub fn tenant_by_key_hash(&self, hash: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.api_key_hash == hash)
    }
}

fn read_root(root: &Reader<'_>, source: &SourceFiles) -> Declarations {
    let zones = read_zones(root);
    let zone_names: BTreeSet<String> = zones.iter().map(|zone| zone.name.clone()).collect();
    let models = read_models(root);
    let mut addresses = BTreeMap::new();
    let engines = read_engines(root, &models, &zone_names, &mut addresses);
    let applications = read_applications(root, &zone_names, &mut addresses);
    let policies = read_policies(root, source);
    Declarations {
        name: root.string("name"),
        block_tokens: root.integer("block_tokens", 1000, 16..=16_384) as u32,
        network: read_network(root),
        tenants: read_tenants(root),
        limits: read_limits(root),
        routing: read_routing(root, &policies),
        weights_store: read_weights_store(root),
        machine_list: read_machine_list(root),
        zones,
        models,
        engines,
        applications,
        policies,
    }
}

/// Reads a section's `name` and reports it when it was used before.
fn unique_name(section: &Reader<'_>, seen: &mut BTreeSet<String>, what: &str) -> String {
    let name = section.string("name");
    if !name.is_empty() && !seen.insert(name.clone()) {
        let fault = format!("names a second {what} \"{name}\"");
        section.problem("name", fault, "give each its own name");
    }
    name
}

fn check_reference(section: &Reader<'_>, key: &str, name: &str, known: &BTreeSet<String>) {
    if name.is_empty() || known.contains(name) {
        return;
    }
    let list: Vec<&str> = known.iter().map(String::as_str).collect();
    let fault = format!("refers to \"{name}\", which is not declared");
    section.problem(key, fault, format!("declare it, or use one of: {}", list.join(", ")));
}

fn require_some<T>(root: &Reader<'_>, items: &[T], key: &str) {
    if items.is_empty() {
        root.problem(key, "is missing", format!("declare at least one [[{key}]]"));
    }
}

fn read_zones(root: &Reader<'_>) -> Vec<Zone> {
    let mut seen = BTreeSet::new();
    let mut zones = Vec::new();
    for section in root.sections("zone") {
        let name = unique_name(&section, &mut seen, "zone");
        zones.push(Zone { id: ZoneId::from_name(&name), name });
        section.finish();
    }
    require_some(root, &zones, "zone");
    zones
}

fn read_network(root: &Reader<'_>) -> Network {
    let section = root.section("network");
    let network = Network {
        zone_delay: micros(&section, "zone_delay_us", 0),
        client_delay: micros(&section, "client_delay_us", 0),
    };
    section.finish();
    network
}

fn read_models(root: &Reader<'_>) -> Vec<Model> {
    let mut seen = BTreeSet::new();
    let mut models = Vec::new();
    for section in root.sections("model") {
        let name = unique_name(&section, &mut seen, "model");
        let weights = section.integer("weights", 1, 1..=u64::from(u32::MAX)) as u32;
        models.push(Model {
            id: ModelId::from_name(&name),
            name,
            weights: WeightsVersion(weights),
        });
        section.finish();
    }
    require_some(root, &models, "model");
    models
}

fn read_replica(
    section: &Reader<'_>,
    seen: &mut BTreeSet<String>,
    zones: &BTreeSet<String>,
    addresses: &mut BTreeMap<SocketAddr, String>,
) -> Replica {
    let name = unique_name(section, seen, "replica");
    let zone = section.string("zone");
    check_reference(section, "zone", &zone, zones);
    let address = read_address(section, "address");
    if address.port() != 0
        && let Some(other) = addresses.insert(address, name.clone())
    {
        let fault = format!("{address} is also the address of \"{other}\"");
        section.problem("address", fault, "give each replica its own address");
    }
    Replica { id: ReplicaId::from_name(&name), zone: ZoneId::from_name(&zone), name, address }
}

/// Reads an IP address and port.
pub(crate) fn read_address(section: &Reader<'_>, key: &str) -> SocketAddr {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let text = section.string(key);
    if text.is_empty() {
        return unspecified;
    }
    text.parse().unwrap_or_else(|_| {
        let fault = format!("\"{text}\" is not an IP address with a port");
        section.problem(key, fault, "write it like 10.0.0.1:8000");
        unspecified
    })
}

fn read_machine_list(root: &Reader<'_>) -> Option<SocketAddr> {
    root.has("machine_list").then(|| read_address(root, "machine_list"))
}

fn read_engines(
    root: &Reader<'_>,
    models: &[Model],
    zones: &BTreeSet<String>,
    addresses: &mut BTreeMap<SocketAddr, String>,
) -> Vec<Engine> {
    let known: BTreeSet<String> = models.iter().map(|model| model.name.clone()).collect();
    let mut seen = BTreeSet::new();
    let mut engines = Vec::new();
    for section in root.sections("engine") {
        let replica = read_replica(&section, &mut seen, zones, addresses);
        let names = section.strings("models");
        if names.is_empty() {
            section.problem("models", "is missing or empty", "name the models it serves");
        }
        for name in &names {
            check_reference(&section, "models", name, &known);
        }
        let models = names.iter().map(|name| ModelId::from_name(name)).collect();
        engines.push(Engine { replica, models });
        section.finish();
    }
    require_some(root, &engines, "engine");
    engines
}

fn read_applications(
    root: &Reader<'_>,
    zones: &BTreeSet<String>,
    addresses: &mut BTreeMap<SocketAddr, String>,
) -> Vec<Application> {
    let mut seen = BTreeSet::new();
    let mut seen_replicas = BTreeSet::new();
    let mut applications = Vec::new();
    for section in root.sections("application") {
        let name = unique_name(&section, &mut seen, "application");
        let operations = section.strings("operations");
        if operations.is_empty() {
            section.problem("operations", "is missing or empty", "name its operations");
        }
        let mut replicas = Vec::new();
        for replica in section.sections("replica") {
            replicas.push(read_replica(&replica, &mut seen_replicas, zones, addresses));
            replica.finish();
        }
        require_some(&section, &replicas, "replica");
        applications.push(Application { service: Service { name, operations }, replicas });
        section.finish();
    }
    applications
}

fn read_tenants(root: &Reader<'_>) -> Vec<Tenant> {
    let mut seen = BTreeSet::new();
    let mut seen_hashes = BTreeSet::new();
    let mut tenants = Vec::new();
    for section in root.sections("tenant") {
        let name = unique_name(&section, &mut seen, "tenant");
        let hash = section.string("api_key_hash").to_lowercase();
        let is_hash = hash.len() == 64 && hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hash.is_empty() && !is_hash {
            let remedy = "write the output of `topazmount key-hash`";
            section.problem("api_key_hash", "is not 64 hexadecimal digits", remedy);
        }
        if is_hash && !seen_hashes.insert(hash.clone()) {
            section.problem("api_key_hash", "belongs to another tenant too", "issue a new key");
        }
        let rate = section.integer("rate_tokens_per_second", 100_000, 1..=1_000_000_000);
        tenants.push(Tenant {
            id: TenantId::from_name(&name),
            name,
            api_key_hash: hash,
            rate_tokens_per_second: rate,
            burst_tokens: section.integer("burst_tokens", rate * 4, 1..=1_000_000_000_000),
            priority: read_priority(&section),
        });
        section.finish();
    }
    require_some(root, &tenants, "tenant");
    tenants
}

fn read_priority(section: &Reader<'_>) -> Priority {
    let Some(text) = section.optional_string("priority") else {
        return Priority::Normal;
    };
    let found = Priority::ALL.into_iter().find(|priority| priority.as_str() == text);
    found.unwrap_or_else(|| {
        let fault = format!("\"{text}\" is not a priority");
        section.problem("priority", fault, "use interactive, normal or batch");
        Priority::Normal
    })
}

fn millis(section: &Reader<'_>, key: &str, default: u64) -> Duration {
    Duration::from_millis(section.integer(key, default, 1..=MAX_MILLIS))
}

fn micros(section: &Reader<'_>, key: &str, default: u64) -> Duration {
    Duration::from_micros(section.integer(key, default, 0..=10_000_000))
}

fn read_limits(root: &Reader<'_>) -> Limits {
    let section = root.section("limits");
    let limits = Limits {
        max_body_bytes: section.integer("max_body_bytes", 4 << 20, 1024..=(64 << 20)) as usize,
        max_prompt_tokens: section.integer("max_prompt_tokens", 131_072, 1..=10_000_000) as u32,
        max_completion_tokens: section.integer("max_completion_tokens", 8_192, 1..=1_000_000)
            as u32,
        max_connections: section.integer("max_connections", 4_096, 1..=65_536) as usize,
        receive_timeout: millis(&section, "receive_timeout_ms", 10_000),
        request_deadline: millis(&section, "request_deadline_ms", 60_000),
        stall_timeout: millis(&section, "stall_timeout_ms", 2_000),
        queue_capacity: section.integer("queue_capacity", 256, 1..=100_000) as usize,
        engine_concurrency: section.integer("engine_concurrency", 64, 1..=10_000) as u32,
        retry_ratio: section.fraction("retry_ratio", 0.1, 0.0..=1.0),
        drain_timeout: millis(&section, "drain_timeout_ms", 120_000),
        result_retention: Duration::from_secs(section.integer(
            "result_retention_s",
            86_400,
            1..=31_536_000,
        )),
    };
    section.finish();
    limits
}

fn read_routing(root: &Reader<'_>, policies: &[PolicyDeclaration]) -> Routing {
    let mut known: BTreeSet<String> = policies.iter().map(|policy| policy.name.clone()).collect();
    known.insert(BUILT_IN_POLICY.to_owned());
    let section = root.section("routing");
    let mut shares = Vec::new();
    for share in section.sections("share") {
        let policy = share.string("policy");
        check_reference(&share, "policy", &policy, &known);
        shares.push(PolicyShare { policy, share: share.fraction("share", 1.0, 0.0..=1.0) });
        share.finish();
    }
    let sum: f64 = shares.iter().map(|share| share.share).sum();
    if sum > 1.0 + 1e-9 {
        section.problem("share", format!("shares add up to {sum}"), "keep their sum at 1 or less");
    }
    let shadows = section.strings("shadows");
    for shadow in &shadows {
        check_reference(&section, "shadows", shadow, &known);
    }
    let shared_blocks = section.integer("shared_blocks", 4, 1..=64) as usize;
    section.finish();
    Routing { shares, shadows, shared_blocks }
}

fn read_policies(root: &Reader<'_>, source: &SourceFiles) -> Vec<PolicyDeclaration> {
    let mut seen = BTreeSet::from([BUILT_IN_POLICY.to_owned()]);
    let mut policies = Vec::new();
    for section in root.sections("policy") {
        let name = unique_name(&section, &mut seen, "policy");
        let file = section.string("file");
        let program = source.0.get(&file).cloned();
        if program.is_none() && !file.is_empty() {
            let fault = format!("file \"{file}\" is not in the deployment folder");
            section.problem("file", fault, "write it like policies/name.rhai and add the file");
        }
        let version = section.integer("version", 1, 1..=u64::from(u32::MAX)) as u32;
        policies.push(PolicyDeclaration { name, version, program: program.unwrap_or_default() });
        section.finish();
    }
    policies
}

fn read_weights_store(root: &Reader<'_>) -> WeightsStore {
    let section = root.section("weights_store");
    let store = WeightsStore {
        load_time: millis(&section, "load_time_ms", 500),
        max_concurrent_loads: section.integer("max_concurrent_loads", 3, 1..=1_000) as u32,
    };
    section.finish();
    store
}
