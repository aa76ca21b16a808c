//! Declarations of a deployment: zones, models, engines, applications, tenants, limits and
//! policies.

mod read;

pub(crate) use read::read_address;

use crate::reader::{Problems, Reader, Report, parse_table};
use crate::source::{MAIN_FILE, SourceFiles};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_types::{ModelId, Priority, ReplicaId, TenantId, WeightsVersion, ZoneId};

/// Validated declarations of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Declarations {
    /// Name of the deployment.
    pub name: String,
    /// Tokens in one cached block.
    pub block_tokens: u32,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Network delays.
    pub network: Network,
    /// Models available to callers.
    pub models: Vec<Model>,
    /// Engine replicas.
    pub engines: Vec<Engine>,
    /// Applications with at-most-once operations.
    pub applications: Vec<Application>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Limits on requests.
    pub limits: Limits,
    /// Traffic shares of policies.
    pub routing: Routing,
    /// Policy programs.
    pub policies: Vec<PolicyDeclaration>,
    /// Store from which engines load weights.
    pub weights_store: WeightsStore,
    /// Address of the platform's list of live and leaving machines, if any.
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
    /// Between a client and its local node.
    pub client_delay: Duration,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Identifier derived from the name.
    pub id: ModelId,
    /// Name in requests.
    pub name: String,
    /// Weights version that serves it.
    pub weights: WeightsVersion,
}

/// Name, zone and address of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Identifier derived from the name.
    pub id: ReplicaId,
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: ZoneId,
    /// HTTP address.
    pub address: SocketAddr,
}

/// An engine replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Name, zone and address.
    pub replica: Replica,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// An application: a service with at-most-once operations, and its replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Application {
    /// Service.
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
    /// Hexadecimal BLAKE3 hash of the API key.
    pub api_key_hash: String,
    /// Prompt and generated tokens per second in the whole fleet.
    pub rate_tokens_per_second: u64,
    /// Burst size in tokens.
    pub burst_tokens: u64,
    /// Default priority of requests.
    pub priority: Priority,
}

/// Limits on requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum prompt length, in tokens.
    pub max_prompt_tokens: u32,
    /// Maximum number of tokens that a request can generate.
    pub max_completion_tokens: u32,
    /// Maximum number of open caller connections per node.
    pub max_connections: usize,
    /// Timeout for receiving the header and body of a request.
    pub receive_timeout: Duration,
    /// Default time from arrival until the response must be complete.
    pub request_deadline: Duration,
    /// Time without data from a back end after which a response is resumed at another one.
    pub stall_timeout: Duration,
    /// Maximum number of waiting requests per node.
    pub queue_capacity: usize,
    /// Maximum number of requests in flight per engine and node.
    pub engine_concurrency: u32,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Time for open requests to finish when a process stops.
    pub drain_timeout: Duration,
    /// How long results of at-most-once calls are kept.
    pub result_retention: Duration,
}

/// Traffic shares of policies.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Traffic shares; the built-in policy decides the rest.
    pub shares: Vec<PolicyShare>,
    /// Policies that are evaluated without effect.
    pub shadows: Vec<String>,
    /// Length in blocks of prefixes shared by many prompts of a tenant, which are routed to the
    /// same replicas.
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
    /// Version set by the operator.
    pub version: u32,
    /// Program text.
    pub program: String,
}

/// The rate-limited weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsStore {
    /// Time for a replica to load weights when the store is not overloaded.
    pub load_time: Duration,
    /// Maximum number of replicas that load at the same time.
    pub max_concurrent_loads: u32,
}

/// Name of the built-in policy.
const BUILT_IN_POLICY: &str = "built-in";
const MAX_MILLIS: u64 = 3_600_000;

/// Hexadecimal hash of an API key, as used in declarations.
pub fn api_key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl Declarations {
    /// Parses and validates the files of a deployment.
    ///
    /// # Errors
    /// All problems in all files.
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
        let declarations = read::read_root(&root, source);
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

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// The tenant whose API key hashes to `hash`.
    pub fn tenant_by_key_hash(&self, hash: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.api_key_hash == hash)
    }
}
