//! A whole deployment in one process: stand-ins, control group and one node for each zone.

use crate::engine::EngineParameters;
use crate::local::{
    self, Addresses, ReservedAddresses, any_port, free_addresses, lab_key, node_name, zone_delays,
};
use crate::standin::{application, engine, machines};
use eyre::{Result, eyre};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use topazmount::Executor;
use topazmount::control_process::{self, ControlHandle, ControlOptions};
use topazmount::node_process::{self, NodeHandle, NodeOptions};
use topazmount_settings::{ControlSettings, Declarations, NodeSettings, Peer, SourceFiles};
use topazmount_wire::ClusterKey;

/// Members of the control group.
pub const CONTROL_MEMBERS: usize = 3;
/// Time that the stand-in application takes for a call.
pub const CALL_WORK: Duration = Duration::from_millis(40);
/// Lag of the stand-in machine list.
pub const LIST_LAG: Duration = Duration::from_millis(2_000);
/// Name of the file with the cluster key in the work folder.
const KEY_FILE: &str = "cluster.key";

/// A running deployment.
pub struct Embedded {
    /// One node for each zone.
    pub nodes: Vec<NodeHandle>,
    /// What is declared, at the lab's addresses.
    pub declarations: Declarations,
    /// Addresses of the control members.
    pub control: ReservedAddresses,
    /// The machine list.
    pub machines: SocketAddr,
    /// The declarations at the lab's addresses, to be copied, edited and applied.
    pub folder: PathBuf,
    /// File with the cluster key, for operators' commands.
    pub key_file: PathBuf,
    members: Vec<ControlHandle>,
}

/// Starts all stand-ins of a deployment.
///
/// # Errors
/// When an address can't be bound.
pub async fn start_stand_ins(
    executor: &Executor,
    declarations: &Declarations,
    parameters: &EngineParameters,
) -> Result<Addresses> {
    let mut addresses = Addresses::default();
    for declared in &declarations.engines {
        let options = engine_options(declarations, &declared.replica.name, parameters)?;
        let (address, _) = engine::start(executor, options).await?;
        addresses.replicas.insert(declared.replica.name.clone(), address);
    }
    for declared in &declarations.applications {
        let runs = application::Runs::default();
        for replica in &declared.replicas {
            let address = application::start(executor, any_port(), runs.clone(), CALL_WORK).await?;
            addresses.replicas.insert(replica.name.clone(), address);
        }
    }
    addresses.machines = Some(machines::start(executor, any_port(), LIST_LAG).await?);
    Ok(addresses)
}

/// Options of a declared engine's stand-in.
///
/// # Errors
/// When no such engine is declared.
pub fn engine_options(
    declarations: &Declarations,
    name: &str,
    parameters: &EngineParameters,
) -> Result<engine::EngineOptions> {
    let declared = declarations.engines.iter().find(|engine| engine.replica.name == name);
    let declared = declared.ok_or_else(|| eyre!("no engine is named \"{name}\""))?;
    let models = declarations.models.iter().filter(|model| declared.models.contains(&model.id));
    let zone = declarations.zones.iter().find(|zone| zone.id == declared.replica.zone);
    let zone = zone.map(|zone| zone.name.as_str()).unwrap_or_default();
    let mut parameters = parameters.clone();
    parameters.block_tokens = declarations.block_tokens;
    Ok(engine::EngineOptions {
        address: any_port(),
        models: models.map(|model| (model.name.clone(), model.weights.0)).collect(),
        parameters,
        delays: zone_delays(declarations, zone),
    })
}

/// Starts a deployment; `folder` receives its durable state.
///
/// # Errors
/// When the deployment has problems or an address can't be bound.
pub async fn start(
    executor: &Executor,
    deployment: &Path,
    folder: &Path,
    first_address: SocketAddr,
) -> Result<Embedded> {
    let (source, declarations) = local::read_deployment(deployment)?;
    let addresses = start_stand_ins(executor, &declarations, &EngineParameters::default()).await?;
    let source = local::relocate(&source, &addresses)?;
    let declarations = Declarations::parse(&source)?;
    let folder_in_use = folder.join("declarations");
    local::write_folder(&source, &folder_in_use)?;
    let key_file = folder.join(KEY_FILE);
    std::fs::write(&key_file, format!("{:032x}", rand::random::<u128>()))?;
    let key = ClusterKey::from_text(&std::fs::read_to_string(&key_file)?);

    let control = free_addresses(CONTROL_MEMBERS)?;
    let peers = control_peers(&control);
    let mut members = Vec::new();
    for peer in &peers {
        let settings = ControlSettings {
            name: peer.name.clone(),
            internal_address: peer.address,
            data_folder: folder.join(&peer.name),
            declarations: deployment.to_owned(),
            cluster_key_file: key_file.clone(),
            initial_members: peers.clone(),
        };
        let (source, key) = (source.clone(), key.clone());
        let options = ControlOptions {
            settings,
            form_group: true,
            source,
            key,
            rollout: Default::default(),
            heartbeat_interval: topazmount_control::DEFAULT_HEARTBEAT_INTERVAL,
            actions: None,
        };
        members.push(control_process::start(executor, options).await?);
    }
    let shared = NodeStart { executor, deployment, key_file: &key_file, key, source, peers };
    let mut nodes = Vec::new();
    for zone in &declarations.zones {
        let address = if nodes.is_empty() { first_address } else { any_port() };
        nodes.push(shared.start(&zone.name, address, 1.0 / declarations.zones.len() as f64).await?);
    }
    let machines = addresses.machines.ok_or_else(|| eyre!("no machine list"))?;
    Ok(Embedded {
        nodes,
        declarations,
        control,
        machines,
        folder: folder_in_use,
        key_file,
        members,
    })
}

/// Names of a control group's members.
pub fn control_peers(addresses: &[SocketAddr]) -> Vec<Peer> {
    let peer = |(number, address): (usize, &SocketAddr)| Peer {
        name: format!("control-{}", number + 1),
        address: *address,
    };
    addresses.iter().enumerate().map(peer).collect()
}

struct NodeStart<'a> {
    executor: &'a Executor,
    deployment: &'a Path,
    key_file: &'a Path,
    key: ClusterKey,
    source: SourceFiles,
    peers: Vec<Peer>,
}

impl NodeStart<'_> {
    async fn start(&self, zone: &str, address: SocketAddr, share: f64) -> Result<NodeHandle> {
        let settings = NodeSettings {
            name: node_name(zone),
            zone: zone.to_owned(),
            callers_address: address,
            data_folder: None,
            declarations: self.deployment.to_owned(),
            cluster_key_file: self.key_file.to_owned(),
            control: self.peers.clone(),
        };
        let options = NodeOptions {
            settings,
            source: self.source.clone(),
            key: self.key.clone(),
            tenant_share: share,
        };
        node_process::start(self.executor, options).await
    }
}

impl Embedded {
    /// Drains the nodes and stops the control group.
    pub async fn stop(self) {
        for node in &self.nodes {
            node.drain().await;
        }
        for member in self.members {
            member.stop().await;
        }
    }

    /// A command line that a reader can paste.
    pub fn curl_line(&self) -> Option<String> {
        let node = self.nodes.first()?;
        let tenant = self.declarations.tenants.first()?;
        let model = self.declarations.models.first()?;
        Some(format!(
            "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' \
             -d '{{\"model\":\"{}\",\"stream\":true,\"max_tokens\":16,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Which cleats fit?\"}}]}}'",
            node.address,
            lab_key(&tenant.name),
            model.name
        ))
    }

    /// One line about the work done so far.
    pub fn status_line(&self) -> String {
        let (mut waiting, mut open) = (0, 0);
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for node in &self.nodes {
            node.process.read(|core| {
                let (queued, all) = core.open_requests();
                waiting += queued;
                open += all;
                let counters = core.counters();
                *totals.entry("answered").or_default() += counters.answered;
                *totals.entry("refused").or_default() += counters.refusals();
                *totals.entry("prompt").or_default() += counters.prompt_tokens;
                *totals.entry("cached").or_default() += counters.cached_tokens;
            });
        }
        let of = |name: &str| totals.get(name).copied().unwrap_or_default();
        let hits = 100.0 * of("cached") as f64 / of("prompt").max(1) as f64;
        format!(
            "{} answered, {} refused, {open} open, {waiting} waiting, prefix hits {hits:.1} %",
            of("answered"),
            of("refused")
        )
    }
}
