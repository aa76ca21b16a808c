//! A deployment as real processes on loopback, which can be killed, frozen and drained.

use crate::embedded::control_peers;
use crate::local::{self, Addresses, ReservedAddresses, any_port, free_addresses, node_name};
use eyre::{Result, WrapErr, bail, eyre};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use topazmount_settings::{Declarations, Peer};

/// Time for a process to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at something awaited.
const POLL: Duration = Duration::from_millis(10);
/// What stand-ins print before their address.
pub const LISTENING: &str = "listening ";

/// What kinds of processes to run and where their programs are.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Deployment folder.
    pub deployment: PathBuf,
    /// Folder for settings, data and logs; must be empty or absent.
    pub folder: PathBuf,
    /// `topazmount`.
    pub program: PathBuf,
    /// `topazmount-lab`.
    pub lab_program: PathBuf,
    /// Control members.
    pub control_members: usize,
    /// Nodes for each zone.
    pub nodes_per_zone: usize,
}

/// A running deployment. Processes end when it is dropped.
pub struct Fleet {
    /// Callers' addresses of nodes, by name.
    pub nodes: BTreeMap<String, SocketAddr>,
    /// Addresses of control members, by name.
    pub control: BTreeMap<String, SocketAddr>,
    /// Addresses of stand-ins.
    pub addresses: Addresses,
    /// What is declared, at the fleet's addresses.
    pub declarations: Declarations,
    options: FleetOptions,
    /// Addresses that are this fleet's own.
    reserved: Vec<ReservedAddresses>,
    processes: BTreeMap<String, Child>,
}

impl Fleet {
    /// Starts everything; returns when all listen.
    ///
    /// # Errors
    /// When the deployment has problems or a process does not start.
    pub fn start(options: FleetOptions) -> Result<Fleet> {
        let (source, declarations) = local::read_deployment(&options.deployment)?;
        std::fs::create_dir_all(&options.folder)?;
        let mut fleet = Fleet {
            nodes: BTreeMap::new(),
            control: BTreeMap::new(),
            addresses: Addresses::default(),
            declarations,
            options,
            reserved: Vec::new(),
            processes: BTreeMap::new(),
        };
        fleet.start_stand_ins()?;
        let source = local::relocate(&source, &fleet.addresses)?;
        fleet.declarations = Declarations::parse(&source)?;
        local::write_folder(&source, &fleet.declarations_folder())?;
        std::fs::write(fleet.key_file(), format!("{:032x}", rand::random::<u128>()))?;
        fleet.start_control()?;
        fleet.start_nodes()?;
        Ok(fleet)
    }

    /// The relocated deployment folder.
    pub fn declarations_folder(&self) -> PathBuf {
        self.options.folder.join("declarations")
    }

    /// File with the cluster key.
    pub fn key_file(&self) -> PathBuf {
        self.options.folder.join("cluster.key")
    }

    fn start_stand_ins(&mut self) -> Result<()> {
        let declarations = self.declarations.clone();
        let folder = self.options.deployment.display().to_string();
        let addresses = free_addresses(declarations.engines.len())?;
        for (engine, address) in declarations.engines.iter().zip(addresses.iter()) {
            let name = engine.replica.name.clone();
            let address = address.to_string();
            let arguments = ["engine", "--address", &address, &folder, &name];
            let address = self.start_stand_in(&name, &arguments)?;
            self.addresses.replicas.insert(name, address);
        }
        self.reserved.push(addresses);
        for application in &declarations.applications {
            for replica in &application.replicas {
                let address = self.start_stand_in(&replica.name, &["application"])?;
                self.addresses.replicas.insert(replica.name.clone(), address);
            }
        }
        self.addresses.machines = Some(self.start_stand_in("machines", &["machines"])?);
        Ok(())
    }

    fn start_stand_in(&mut self, name: &str, arguments: &[&str]) -> Result<SocketAddr> {
        let mut command = Command::new(&self.options.lab_program);
        command.arg("stand-in").args(arguments);
        self.spawn_listening(name, command)
    }

    /// Starts a stand-in and reads where it listens.
    fn spawn_listening(&mut self, name: &str, mut command: Command) -> Result<SocketAddr> {
        command.stdout(Stdio::piped()).stderr(self.log_file(name)?);
        let mut child = command.spawn().wrap_err_with(|| format!("starting {name}"))?;
        let output = child.stdout.take().ok_or_else(|| eyre!("no output of {name}"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        self.processes.insert(name.to_owned(), child);
        let address = line.trim().strip_prefix(LISTENING);
        let address = address.ok_or_else(|| eyre!("{name} did not start, see its log"))?;
        Ok(address.parse()?)
    }

    fn log_file(&self, name: &str) -> Result<Stdio> {
        let path = self.options.folder.join(format!("{name}.log"));
        let file = std::fs::File::options().append(true).create(true).open(path)?;
        Ok(file.into())
    }

    fn peers(&self) -> Vec<Peer> {
        control_peers(&self.control.values().copied().collect::<Vec<_>>())
    }

    fn start_control(&mut self) -> Result<()> {
        let addresses = free_addresses(self.options.control_members)?;
        for peer in control_peers(&addresses) {
            self.control.insert(peer.name, peer.address);
        }
        self.reserved.push(addresses);
        for peer in self.peers() {
            let text = self.control_settings(&peer);
            std::fs::write(self.settings_file(&peer.name), text)?;
            self.start_control_member(&peer.name, true)?;
        }
        self.control.values().try_for_each(|address| wait_for_port(*address))
    }

    /// Starts a control member; `form_group` at the group's first start only.
    ///
    /// # Errors
    /// When the process can't be started.
    pub fn start_control_member(&mut self, name: &str, form_group: bool) -> Result<()> {
        let mut command = Command::new(&self.options.program);
        command.args(["--log", "info", "control", "--settings"]).arg(self.settings_file(name));
        if form_group {
            command.arg("--form-group");
        }
        self.spawn(name, command)
    }

    fn start_nodes(&mut self) -> Result<()> {
        let zones: Vec<String> =
            self.declarations.zones.iter().map(|zone| zone.name.clone()).collect();
        let addresses = free_addresses(zones.len() * self.options.nodes_per_zone)?;
        for (number, address) in addresses.iter().copied().enumerate() {
            let zone = &zones[number % zones.len()];
            let copy = number / zones.len();
            let name =
                if copy == 0 { node_name(zone) } else { format!("{}-{copy}", node_name(zone)) };
            std::fs::write(self.settings_file(&name), self.node_settings(&name, zone, address))?;
            self.nodes.insert(name.clone(), address);
            self.start_node(&name)?;
        }
        self.reserved.push(addresses);
        self.nodes.values().try_for_each(|address| wait_for_port(*address))
    }

    /// Starts a node, for the first time or again.
    ///
    /// # Errors
    /// When the process can't be started.
    pub fn start_node(&mut self, name: &str) -> Result<()> {
        let mut command = Command::new(&self.options.program);
        command.args(["--log", "info", "node", "--settings"]).arg(self.settings_file(name));
        self.spawn(name, command)
    }

    fn spawn(&mut self, name: &str, mut command: Command) -> Result<()> {
        command.stdout(Stdio::null()).stderr(self.log_file(name)?);
        let child = command.spawn().wrap_err_with(|| format!("starting {name}"))?;
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    /// Settings file of a process.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.options.folder.join(format!("{name}.toml"))
    }

    /// Data folder of a control member.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.options.folder.join(format!("{name}.data"))
    }

    fn control_settings(&self, peer: &Peer) -> String {
        let mut text = format!(
            "name = \"{}\"\ninternal_address = \"{}\"\ndata_folder = \"{}\"\n{}",
            peer.name,
            peer.address,
            self.data_folder(&peer.name).display(),
            self.common_settings(),
        );
        for member in self.peers() {
            text.push_str(&peer_section("initial_member", &member));
        }
        text
    }

    fn node_settings(&self, name: &str, zone: &str, address: SocketAddr) -> String {
        let mut text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\ncallers_address = \"{address}\"\n\
             data_folder = \"{}\"\n{}",
            self.data_folder(name).display(),
            self.common_settings(),
        );
        for member in self.peers() {
            text.push_str(&peer_section("control", &member));
        }
        text
    }

    fn common_settings(&self) -> String {
        format!(
            "declarations = \"{}\"\ncluster_key_file = \"{}\"\n",
            self.declarations_folder().display(),
            self.key_file().display(),
        )
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    /// When there is no such process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let child = self.processes.get(name).ok_or_else(|| eyre!("no process {name}"))?;
        let pid = Pid::from_raw(child.id() as i32).ok_or_else(|| eyre!("no process id"))?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Kills a process and waits until it is gone.
    ///
    /// # Errors
    /// When there is no such process.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let child = self.processes.get_mut(name).ok_or_else(|| eyre!("no process {name}"))?;
        child.kill()?;
        child.wait()?;
        self.processes.remove(name);
        Ok(())
    }

    /// Asks a process to stop as planned, and waits for its exit status.
    ///
    /// # Errors
    /// When it does not end within `limit`.
    pub fn stop(&mut self, name: &str, limit: Duration) -> Result<i32> {
        self.signal(name, Signal::TERM)?;
        let child = self.processes.get_mut(name).ok_or_else(|| eyre!("no process {name}"))?;
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = child.try_wait()? {
                self.processes.remove(name);
                return Ok(status.code().unwrap_or(-1));
            }
            std::thread::sleep(POLL);
        }
        bail!("{name} did not stop within {limit:?}")
    }

    /// Restarts a stand-in with nothing remembered, at the same address.
    ///
    /// # Errors
    /// When it does not start.
    pub fn restart_engine(&mut self, name: &str) -> Result<()> {
        let address = self.addresses.replicas.get(name).copied();
        let address = address.ok_or_else(|| eyre!("no engine {name}"))?.to_string();
        let folder = self.options.deployment.display().to_string();
        let arguments = ["engine", "--address", &address, &folder, name];
        self.start_stand_in(name, &arguments).map(drop)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn peer_section(key: &str, peer: &Peer) -> String {
    format!("\n[[{key}]]\nname = \"{}\"\naddress = \"{}\"\n", peer.name, peer.address)
}

/// Waits until somebody accepts connections at an address.
///
/// # Errors
/// When nobody does in time.
pub fn wait_for_port(address: SocketAddr) -> Result<()> {
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        if std::net::TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(POLL);
    }
    bail!("nothing listens at {address}")
}

/// The `topazmount` program beside this one.
///
/// # Errors
/// When the own path can't be told.
pub fn sibling_program(own: &Path) -> Result<PathBuf> {
    let folder = own.parent().ok_or_else(|| eyre!("{} has no folder", own.display()))?;
    Ok(folder.join("topazmount"))
}

/// An address that any free port stands for, unless one is given.
pub fn address_or_any(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or_else(any_port)
}
