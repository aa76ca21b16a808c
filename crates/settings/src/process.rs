//! Settings of one process: its name, zone, addresses, peers and data folder.

use crate::declarations::read_address;
use crate::reader::{Problems, Reader, Report, parse_table};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Name and address of a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: String,
    /// Internal address.
    pub address: SocketAddr,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name, unique in the deployment.
    pub name: String,
    /// Zone name.
    pub zone: String,
    /// Listening address for callers.
    pub callers_address: SocketAddr,
    /// Folder that stores the latest configuration; without it, a restarted node uses
    /// `declarations`.
    pub data_folder: Option<PathBuf>,
    /// Deployment folder used until a control member responds.
    pub declarations: PathBuf,
    /// File with the cluster key.
    pub cluster_key_file: PathBuf,
    /// Control members.
    pub control: Vec<Peer>,
}

/// Settings of a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Name, unique in the control group.
    pub name: String,
    /// Listening address for other processes.
    pub internal_address: SocketAddr,
    /// Folder for durable state.
    pub data_folder: PathBuf,
    /// Deployment folder with the initial configuration, revision 0.
    pub declarations: PathBuf,
    /// File with the cluster key.
    pub cluster_key_file: PathBuf,
    /// Members of the group at its first start; later, members to contact for joining.
    pub initial_members: Vec<Peer>,
}

/// Command-line values that override those of the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Zone.
    pub zone: Option<String>,
    /// Listening address of the process.
    pub address: Option<SocketAddr>,
}

/// Reads the text of a process settings file.
///
/// # Errors
/// A problem with the file name if it can't be read.
pub fn read_process_file(path: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|error| {
        let report = Report::default();
        let file = path.display().to_string();
        report.add(&file, "file", error.to_string(), "check the path given with --settings");
        report.into_result(()).unwrap_err()
    })
}

/// Parses a node's settings.
///
/// # Errors
/// All problems found.
pub fn parse_node(file: &str, text: &str, flags: &Overrides) -> Result<NodeSettings, Problems> {
    let report = Report::default();
    let Some(table) = parse_table(file, text, &report) else {
        return Err(report.into_result(()).unwrap_err());
    };
    let root = Reader::new(file, &table, &report);
    let settings = NodeSettings {
        name: root.string("name"),
        zone: overridden(&root, "zone", flags.zone.clone()),
        callers_address: overridden_address(&root, "callers_address", flags.address),
        data_folder: root.optional_string("data_folder").map(PathBuf::from),
        declarations: root.string("declarations").into(),
        cluster_key_file: root.string("cluster_key_file").into(),
        control: read_peers(&root, "control"),
    };
    root.finish();
    report.into_result(settings)
}

/// Parses a control member's settings.
///
/// # Errors
/// All problems found.
pub fn parse_control(
    file: &str,
    text: &str,
    flags: &Overrides,
) -> Result<ControlSettings, Problems> {
    let report = Report::default();
    let Some(table) = parse_table(file, text, &report) else {
        return Err(report.into_result(()).unwrap_err());
    };
    let root = Reader::new(file, &table, &report);
    let settings = ControlSettings {
        name: root.string("name"),
        internal_address: overridden_address(&root, "internal_address", flags.address),
        data_folder: root.string("data_folder").into(),
        declarations: root.string("declarations").into(),
        cluster_key_file: root.string("cluster_key_file").into(),
        initial_members: read_peers(&root, "initial_member"),
    };
    root.finish();
    report.into_result(settings)
}

fn overridden(root: &Reader<'_>, key: &str, flag: Option<String>) -> String {
    match flag {
        Some(value) => {
            let _ = root.optional_string(key);
            value
        }
        None => root.string(key),
    }
}

fn overridden_address(root: &Reader<'_>, key: &str, flag: Option<SocketAddr>) -> SocketAddr {
    match flag {
        Some(value) => {
            let _ = root.optional_string(key);
            value
        }
        None => read_address(root, key),
    }
}

fn read_peers(root: &Reader<'_>, key: &str) -> Vec<Peer> {
    let mut peers: Vec<Peer> = Vec::new();
    for section in root.sections(key) {
        let name = section.string("name");
        if peers.iter().any(|peer| peer.name == name) {
            let fault = format!("names a second member \"{name}\"");
            section.problem("name", fault, "give each its own name");
        }
        peers.push(Peer { name, address: read_address(&section, "address") });
        section.finish();
    }
    if peers.is_empty() {
        root.problem(key, "is missing", format!("declare at least one [[{key}]]"));
    }
    peers
}
