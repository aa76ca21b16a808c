//! A declared deployment moved to loopback: same shape, other addresses and known API keys.

use eyre::{Result, WrapErr, ensure, eyre};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::ops::{Deref, Range};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr as HoldName, UnixDatagram};
use std::path::Path;
use std::time::Duration;
use topazmount_settings::{Declarations, SourceFiles, api_key_hash, read_folder};

/// File with the deployment's main declarations.
const MAIN_FILE: &str = "deployment.toml";

/// Any free port of the loopback address.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports that the system gives to no connection by itself (it begins at 32,768), and that tests elsewhere don't take (from 20,000).
const RESERVABLE: Range<u16> = 10_000..20_000;

/// Addresses of which this process alone may use the ports, for as long as it is kept: for processes that must know one another before they
/// start, and that find their port as they left it when they start again.
///
/// Each is held by a socket of a name that has no file and ends with the process. Ports that were merely free a moment ago
/// were given twice, 180 of 6,000 where 60 fleets ask at about the same time; the second process could not bind.
#[derive(Debug, Default)]
pub struct ReservedAddresses {
    addresses: Vec<SocketAddr>,
    _held: Vec<UnixDatagram>,
}

impl Deref for ReservedAddresses {
    type Target = [SocketAddr];

    fn deref(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

/// Reserves addresses.
///
/// # Errors
/// When too few ports are left.
pub fn free_addresses(count: usize) -> Result<ReservedAddresses> {
    let mut reserved = ReservedAddresses::default();
    let first = rand::random_range(RESERVABLE);
    for port in (first..RESERVABLE.end).chain(RESERVABLE.start..first) {
        if reserved.addresses.len() == count {
            break;
        }
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let name = HoldName::from_abstract_name(format!("topazmount-port-{port}"))?;
        let Ok(held) = UnixDatagram::bind_addr(&name) else { continue };
        if TcpListener::bind(address).is_ok() {
            reserved.addresses.push(address);
            reserved._held.push(held);
        }
    }
    ensure!(reserved.addresses.len() == count, "no {count} ports are left in {RESERVABLE:?}");
    Ok(reserved)
}

/// Where the stand-ins of a deployment listen.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    /// Engines and application replicas, by name.
    pub replicas: BTreeMap<String, SocketAddr>,
    /// The machine list.
    pub machines: Option<SocketAddr>,
}

/// API key that the lab gives to a tenant of its loopback deployments.
pub fn lab_key(tenant: &str) -> String {
    format!("lab-{tenant}")
}

/// Name of the lab's node in a zone.
pub fn node_name(zone: &str) -> String {
    format!("node-{zone}")
}

/// Reads and checks a deployment folder.
///
/// # Errors
/// When it can't be read or has problems.
pub fn read_deployment(folder: &Path) -> Result<(SourceFiles, Declarations)> {
    let source = read_folder(folder).wrap_err_with(|| format!("reading {}", folder.display()))?;
    let declarations = topazmount_node::check_source(&source)?;
    Ok((source, declarations))
}

/// Writes a deployment's files below a folder.
///
/// # Errors
/// When the folder can't be written.
pub fn write_folder(source: &SourceFiles, folder: &Path) -> Result<()> {
    for (name, text) in &source.0 {
        let path = folder.join(name);
        std::fs::create_dir_all(path.parent().unwrap_or(&path))?;
        std::fs::write(path, text)?;
    }
    Ok(())
}

/// The deployment with the lab's addresses and API keys.
///
/// # Errors
/// When the declarations can't be rewritten; they were checked before.
pub fn relocate(source: &SourceFiles, addresses: &Addresses) -> Result<SourceFiles> {
    rewritten(source, |table| {
        for section in sections(table, "engine") {
            set_address(section, addresses);
        }
        for application in sections(table, "application") {
            for section in sections(application, "replica") {
                set_address(section, addresses);
            }
        }
        for tenant in sections(table, "tenant") {
            let name = tenant.get("name").and_then(toml::Value::as_str).unwrap_or_default();
            let hash = api_key_hash(&lab_key(name));
            tenant.insert("api_key_hash".to_owned(), hash.into());
        }
        match addresses.machines {
            Some(address) => table.insert("machine_list".to_owned(), address.to_string().into()),
            None => table.remove("machine_list"),
        };
    })
}

/// The deployment with one policy program that decides everything.
///
/// # Errors
/// When the declarations can't be rewritten.
pub fn with_policy(source: &SourceFiles, name: &str, program: &str) -> Result<SourceFiles> {
    let file = format!("policies/{name}.rhai");
    let policy = [("name", name), ("file", &file)];
    let share = [("policy", toml::Value::from(name)), ("share", toml::Value::from(1.0))];
    let mut next = rewritten(source, |table| {
        let policy = policy.map(|(key, value)| (key, toml::Value::from(value)));
        table.insert("policy".to_owned(), vec![table_of(policy)].into());
        let routing = table.entry("routing").or_insert_with(|| toml::Table::new().into());
        if let Some(routing) = routing.as_table_mut() {
            routing.insert("share".to_owned(), vec![table_of(share)].into());
        }
    })?;
    next.0.insert(file, program.to_owned());
    Ok(next)
}

/// The deployment with rates so high that no tenant reaches them; for measures of routing alone.
///
/// # Errors
/// When the declarations can't be rewritten.
pub fn without_tenant_limits(source: &SourceFiles) -> Result<SourceFiles> {
    const PLENTY: i64 = 1_000_000_000;
    rewritten(source, |table| {
        for tenant in sections(table, "tenant") {
            tenant.insert("rate_tokens_per_second".to_owned(), PLENTY.into());
            tenant.insert("burst_tokens".to_owned(), PLENTY.into());
        }
    })
}

fn table_of<const N: usize>(pairs: [(&str, toml::Value); N]) -> toml::Value {
    let pairs = pairs.into_iter().map(|(key, value)| (key.to_owned(), value));
    toml::Value::Table(pairs.collect())
}

fn rewritten(source: &SourceFiles, change: impl FnOnce(&mut toml::Table)) -> Result<SourceFiles> {
    let text = source.0.get(MAIN_FILE).ok_or_else(|| eyre!("{MAIN_FILE} is missing"))?;
    let mut table: toml::Table = toml::from_str(text)?;
    change(&mut table);
    let mut next = source.clone();
    next.0.insert(MAIN_FILE.to_owned(), toml::to_string(&table)?);
    Ok(next)
}

fn sections<'a>(
    table: &'a mut toml::Table,
    key: &str,
) -> impl Iterator<Item = &'a mut toml::Table> {
    let list = table.get_mut(key).and_then(toml::Value::as_array_mut);
    list.into_iter().flatten().filter_map(toml::Value::as_table_mut)
}

fn set_address(section: &mut toml::Table, addresses: &Addresses) {
    let name = section.get("name").and_then(toml::Value::as_str).unwrap_or_default();
    if let Some(address) = addresses.replicas.get(name) {
        section.insert("address".to_owned(), address.to_string().into());
    }
}

/// What a back end in `zone` adds to answers for the lab's nodes of other zones: the way there and
/// back. Keyed by the `via` header that nodes send.
pub fn zone_delays(declarations: &Declarations, zone: &str) -> BTreeMap<String, Duration> {
    let others = declarations.zones.iter().filter(|other| other.name != zone);
    let delay = declarations.network.zone_delay * 2;
    others.map(|other| (format!("1.1 {}", node_name(&other.name)), delay)).collect()
}
