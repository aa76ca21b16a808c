//! Reads and validates declarations, section by section.

use super::*;

pub(super) fn read_root(root: &Reader<'_>, source: &SourceFiles) -> Declarations {
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

/// Reads the `name` of a section and reports duplicates.
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
