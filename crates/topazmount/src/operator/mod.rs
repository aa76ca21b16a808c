//! Operators' commands against a running control group.

mod config;
mod policy;

pub use config::config;
pub use policy::policy;

use crate::Executor;
use crate::cli::{ConfigCommand, Group, PolicyCommand};
use crate::control_client::ControlClient;
use crate::runtime::{BAD_SETTINGS, FAILED};
use eyre::{Result, WrapErr, bail, eyre};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use topazmount_control::{ChangeReply, ChangeRequest, MemberStatus, NodeReport, Request, Response};
use topazmount_node::check_source;
use topazmount_routing::{PolicyProgram, ProgramLimits};
use topazmount_settings::{Declarations, SourceFiles, read_folder};
use topazmount_types::{Digest, ErrorKind, Revision};
use topazmount_wire::ClusterKey;

/// Time for one member to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for the group as a whole to answer, over elections.
const GROUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two rounds over the members.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Reads the cluster key.
///
/// # Errors
/// When the file can't be read.
pub fn read_key(path: &Path) -> Result<ClusterKey> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("reading the cluster key from {}", path.display()))?;
    if text.trim().is_empty() {
        bail!("the cluster key file {} is empty; write a long random text", path.display());
    }
    Ok(ClusterKey::from_text(&text))
}

/// `check DIR`.
///
/// # Errors
/// When the folder can't be read.
pub fn check(folder: &Path, as_json: bool) -> Result<u8> {
    let source = read_folder(folder)
        .wrap_err_with(|| format!("reading the deployment folder {}", folder.display()))?;
    match check_source(&source) {
        Ok(declarations) => {
            println!("{}", summary(&declarations, as_json));
            Ok(0)
        }
        Err(problems) => {
            for problem in &problems.0 {
                if as_json {
                    let row = json!({
                        "file": problem.file, "key": problem.key,
                        "fault": problem.fault, "remedy": problem.remedy,
                    });
                    println!("{row}");
                } else {
                    eprintln!("{problem}");
                }
            }
            Ok(BAD_SETTINGS)
        }
    }
}

fn summary(declarations: &Declarations, as_json: bool) -> String {
    let applications: usize = declarations.applications.iter().map(|a| a.replicas.len()).sum();
    if as_json {
        return json!({
            "name": declarations.name, "zones": declarations.zones.len(),
            "engines": declarations.engines.len(), "application_replicas": applications,
            "tenants": declarations.tenants.len(), "policies": declarations.policies.len(),
        })
        .to_string();
    }
    format!(
        "{}: {} zones, {} engines, {} application replicas, {} tenants, {} policies; no problems",
        declarations.name,
        declarations.zones.len(),
        declarations.engines.len(),
        applications,
        declarations.tenants.len(),
        declarations.policies.len()
    )
}

/// A control group as an operator reaches it.
struct ControlGroup {
    clients: Vec<(SocketAddr, ControlClient)>,
}

impl ControlGroup {
    fn new(executor: &Executor, group: &Group) -> Result<Self> {
        let key = read_key(&group.key_file)?;
        let client =
            |address: &SocketAddr| (*address, ControlClient::new(executor, *address, key.clone()));
        Ok(ControlGroup { clients: group.control.iter().map(client).collect() })
    }

    /// Asks until the leader answers.
    async fn ask_leader(&self, request: &Request) -> Result<Response> {
        let asking = async {
            loop {
                for (_, client) in &self.clients {
                    match client.ask(request.clone(), ANSWER_TIMEOUT).await {
                        Ok(Response::NotLeader(_)) | Err(_) => {}
                        Ok(response) => return Ok(response),
                    }
                }
                async_io::Timer::after(ROUND_PAUSE).await;
            }
        };
        crate::frames::within(GROUP_TIMEOUT, asking)
            .await
            .map_err(|_| eyre!("no leader of the control group answered"))
    }

    async fn statuses(&self) -> Vec<(SocketAddr, Option<MemberStatus>)> {
        let mut statuses = Vec::new();
        for (address, client) in &self.clients {
            let status = match client.ask(Request::Status, ANSWER_TIMEOUT).await {
                Ok(Response::Status(status)) => Some(*status),
                _ => None,
            };
            statuses.push((*address, status));
        }
        statuses
    }

    async fn source(&self) -> Result<(Revision, SourceFiles)> {
        match self.ask_leader(&Request::Source).await? {
            Response::Source(revision, source) => Ok((revision, source)),
            other => Err(unexpected(&other)),
        }
    }
}

fn unexpected(response: &Response) -> eyre::Report {
    match response {
        Response::Refused(refusal) => eyre!("{refusal}"),
        _ => eyre!("the control group gave an answer of another kind"),
    }
}

/// `status`.
///
/// # Errors
/// When the key can't be read.
pub async fn status(executor: &Executor, group: &Group) -> Result<u8> {
    let client = ControlGroup::new(executor, group)?;
    let statuses = client.statuses().await;
    let mut has_leader = false;
    for (address, status) in &statuses {
        let Some(status) = status else {
            print_member_down(*address, group.json);
            continue;
        };
        has_leader |= status.is_leader;
        print_member(*address, status, group.json);
    }
    let known: Vec<&MemberStatus> =
        statuses.iter().filter_map(|(_, status)| status.as_ref()).collect();
    for node in config::newest_reports(&known).values() {
        if group.json {
            let row = json!({ "node": node.name, "zone": node.zone, "revision": node.revision.0 });
            println!("{row}");
        } else {
            println!("node {} in {}: revision {}", node.name, node.zone, node.revision);
        }
    }
    Ok(if has_leader { 0 } else { FAILED })
}

fn print_member_down(address: SocketAddr, as_json: bool) {
    if as_json {
        println!("{}", json!({ "address": address.to_string(), "alive": false }));
    } else {
        println!("control {address}: no answer");
    }
}

fn print_member(address: SocketAddr, status: &MemberStatus, as_json: bool) {
    if as_json {
        let row = json!({
            "control": status.name, "address": address.to_string(), "alive": true,
            "leader": status.is_leader, "term": status.term, "applied": status.applied,
            "revision": status.revision.0, "ledger_keys": status.ledger_keys,
            "voters": status.membership.voters.len(), "learners": status.membership.learners.len(),
            "standing": status.standing, "standing_s": status.standing_for.as_secs_f64(),
            "doubled_voters": status.duplicate_voters(),
            "answering_voters": status.is_leader.then(|| status.responding_voters()),
        });
        println!("{row}");
        return;
    }
    let role = if status.is_leader { "leads" } else { "follows" };
    println!(
        "control {} {address}: {role}, {:?} for {:.1} s, term {}, entry {}, revision {}, {} voters ({} \
         doubled), {} learners",
        status.name,
        status.standing,
        status.standing_for.as_secs_f64(),
        status.term,
        status.applied,
        status.revision,
        status.membership.voters.len(),
        status.duplicate_voters(),
        status.membership.learners.len()
    );
}
