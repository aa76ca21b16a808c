//! Operators' commands against a running control group.

use crate::Executor;
use crate::cli::{ConfigCommand, Group, PolicyCommand};
use crate::control_client::ControlClient;
use crate::http_pool::connect;
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

/// Exit status of a command that found a failure.
const FAILED: u8 = 1;
/// Exit status for bad usage or settings.
const BAD_SETTINGS: u8 = 2;
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

/// `config …`.
///
/// # Errors
/// When the group can't be reached or a folder can't be read.
pub async fn config(executor: &Executor, command: ConfigCommand) -> Result<u8> {
    match command {
        ConfigCommand::Diff { group, folder } => diff(executor, &group, &folder).await,
        ConfigCommand::Apply { group, expect_revision, request_id, folder } => {
            let group_client = ControlGroup::new(executor, &group)?;
            let source = read_folder(&folder)?;
            if let Err(problems) = check_source(&source) {
                eprintln!("{problems}");
                return Ok(BAD_SETTINGS);
            }
            let change = ChangeRequest {
                expected: Revision(expect_revision),
                request: Digest::of(request_id.as_bytes()),
                source,
            };
            apply(&group_client, change, group.json).await
        }
        ConfigCommand::Status(group) => config_status(executor, &group).await,
        ConfigCommand::History(group) => history(executor, &group).await,
    }
}

async fn apply(group: &ControlGroup, change: ChangeRequest, as_json: bool) -> Result<u8> {
    match group.ask_leader(&Request::Change(change)).await? {
        Response::Change(ChangeReply::Accepted(revision)) => {
            if as_json {
                println!("{}", json!({ "accepted": revision.0 }));
            } else {
                println!("accepted as revision {revision}");
            }
            Ok(0)
        }
        Response::Change(ChangeReply::Conflict(revision)) => {
            if as_json {
                println!("{}", json!({ "conflict": revision.0 }));
            } else {
                eprintln!(
                    "not applied: the configuration is at revision {revision}; look at \
                     `config diff` and try again with --expect-revision {revision}"
                );
            }
            Ok(ErrorKind::RevisionConflict.exit_status())
        }
        other => Err(unexpected(&other)),
    }
}

async fn diff(executor: &Executor, group: &Group, folder: &Path) -> Result<u8> {
    let client = ControlGroup::new(executor, group)?;
    let (revision, current) = client.source().await?;
    let next = read_folder(folder)?;
    let deltas = current.deltas_to(&next);
    if group.json {
        let names: Vec<&str> = deltas.iter().map(|delta| delta.name.as_str()).collect();
        println!("{}", json!({ "revision": revision.0, "changed": names }));
        return Ok(0);
    }
    println!("against revision {revision}: {} file(s) differ", deltas.len());
    for delta in &deltas {
        let before = current.0.get(&delta.name).map_or("", String::as_str);
        let end = before.len() - delta.tail.min(before.len());
        let removed = before.get(delta.head..end).unwrap_or_default();
        println!("{}:", delta.name);
        removed.lines().for_each(|line| println!("  - {line}"));
        let added = delta.middle.as_deref().unwrap_or_default();
        added.lines().for_each(|line| println!("  + {line}"));
    }
    Ok(0)
}

async fn config_status(executor: &Executor, group: &Group) -> Result<u8> {
    let client = ControlGroup::new(executor, group)?;
    let statuses = client.statuses().await;
    let known: Vec<&MemberStatus> =
        statuses.iter().filter_map(|(_, status)| status.as_ref()).collect();
    let newest = known.iter().map(|status| status.revision).max();
    let newest = newest.ok_or_else(|| eyre!("no control member answers"))?;
    let nodes = newest_reports(&known);
    let behind: Vec<&NodeReport> = nodes.values().filter(|node| node.revision < newest).collect();
    if group.json {
        let rows: Vec<_> = nodes
            .values()
            .map(
                |node| json!({ "node": node.name, "zone": node.zone, "revision": node.revision.0 }),
            )
            .collect();
        println!("{}", json!({ "revision": newest.0, "nodes": rows, "behind": behind.len() }));
        return Ok(0);
    }
    println!(
        "revision {newest}; in force on {} of {} nodes",
        nodes.len() - behind.len(),
        nodes.len()
    );
    for node in behind {
        println!("  {} ({}) is at revision {}", node.name, node.zone, node.revision);
    }
    Ok(0)
}

/// Each node's newest report over all members.
fn newest_reports(statuses: &[&MemberStatus]) -> BTreeMap<String, NodeReport> {
    let mut newest: BTreeMap<String, NodeReport> = BTreeMap::new();
    for report in statuses.iter().flat_map(|status| &status.nodes) {
        let known = newest.get(&report.name);
        if known.is_none_or(|known| known.heard_at < report.heard_at) {
            newest.insert(report.name.clone(), report.clone());
        }
    }
    newest
}

async fn history(executor: &Executor, group: &Group) -> Result<u8> {
    let client = ControlGroup::new(executor, group)?;
    for (_, member) in &client.clients {
        let Ok(Response::History(rows)) = member.ask(Request::History, ANSWER_TIMEOUT).await else {
            continue;
        };
        for row in rows {
            let files = row.files.join(", ");
            if group.json {
                let at = row.at.as_secs_f64();
                println!("{}", json!({ "revision": row.revision.0, "at": at, "files": row.files }));
            } else {
                println!("revision {} at {:.0}: {files}", row.revision, row.at.as_secs_f64());
            }
        }
        return Ok(0);
    }
    bail!("no control member answers")
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
    for node in newest_reports(&known).values() {
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
        });
        println!("{row}");
        return;
    }
    let role = if status.is_leader { "leads" } else { "follows" };
    println!(
        "control {} {address}: {role}, term {}, entry {}, revision {}, {} voters, {} learners",
        status.name,
        status.term,
        status.applied,
        status.revision,
        status.membership.voters.len(),
        status.membership.learners.len()
    );
}

/// `policy …`.
///
/// # Errors
/// When a file or the group can't be read.
pub async fn policy(executor: &Executor, command: PolicyCommand) -> Result<u8> {
    match command {
        PolicyCommand::Check { file } => check_policy(&file),
        PolicyCommand::List(group) => list_policies(executor, &group).await,
        PolicyCommand::Report { node, json } => report(&node, json).await,
    }
}

fn check_policy(file: &Path) -> Result<u8> {
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    match PolicyProgram::compile(&text, ProgramLimits::default()) {
        Ok(_) => {
            println!("{}: no problems", file.display());
            Ok(0)
        }
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            Ok(BAD_SETTINGS)
        }
    }
}

async fn list_policies(executor: &Executor, group: &Group) -> Result<u8> {
    let client = ControlGroup::new(executor, group)?;
    let (revision, source) = client.source().await?;
    let declarations = Declarations::parse(&source)?;
    let share_of = |name: &str| {
        let shares = declarations.routing.shares.iter();
        shares.filter(|share| share.policy == name).map(|share| share.share).sum::<f64>()
    };
    let given: f64 = declarations.routing.shares.iter().map(|share| share.share).sum();
    let built_in = topazmount_routing::BUILT_IN;
    let rest = 1.0 - given + share_of(built_in);
    let mut rows = vec![(built_in.to_owned(), 0, rest, String::new())];
    for policy in &declarations.policies {
        let hash = format!("{:032x}", Digest::of(policy.program.as_bytes()).0);
        rows.push((policy.name.clone(), policy.version, share_of(&policy.name), hash));
    }
    for (name, version, share, hash) in rows {
        let shadow = declarations.routing.shadows.contains(&name);
        if group.json {
            println!(
                "{}",
                json!({ "policy": name, "version": version, "share": share, "shadow": shadow,
                        "hash": hash, "revision": revision.0 })
            );
        } else {
            let shadow = if shadow { ", shadow" } else { "" };
            println!("{name} version {version}: share {share:.2}{shadow} {hash}");
        }
    }
    Ok(0)
}

/// Counters of one policy, added up over nodes.
#[derive(Clone, Copy, Debug, Default)]
struct PolicyTotals {
    decided: f64,
    failures: f64,
    prompt_tokens: f64,
    cached_tokens: f64,
    first_tokens: f64,
    wait_sum: f64,
    wait_squares: f64,
}

impl PolicyTotals {
    fn hit_rate(&self) -> f64 {
        if self.prompt_tokens > 0.0 { self.cached_tokens / self.prompt_tokens } else { 0.0 }
    }

    fn mean_wait_ms(&self) -> f64 {
        if self.first_tokens > 0.0 { self.wait_sum / self.first_tokens } else { 0.0 }
    }

    /// Half width of the 95% confidence interval of the mean wait.
    fn wait_margin_ms(&self) -> f64 {
        const NORMAL_95: f64 = 1.96;
        if self.first_tokens < 2.0 {
            return f64::INFINITY;
        }
        let mean = self.mean_wait_ms();
        let variance = (self.wait_squares / self.first_tokens - mean * mean).max(0.0);
        NORMAL_95 * (variance / self.first_tokens).sqrt()
    }
}

async fn report(nodes: &[SocketAddr], as_json: bool) -> Result<u8> {
    let mut totals: BTreeMap<String, PolicyTotals> = BTreeMap::new();
    for node in nodes {
        add_metrics(&mut totals, &read_metrics(*node).await?);
    }
    let built_in = totals.get(topazmount_routing::BUILT_IN).copied().unwrap_or_default();
    for (name, total) in &totals {
        let margin = total.wait_margin_ms();
        let difference = (total.mean_wait_ms() - built_in.mean_wait_ms()).abs();
        let is_noise = difference <= margin + built_in.wait_margin_ms();
        if as_json {
            println!(
                "{}",
                json!({ "policy": name, "requests": total.decided, "failures": total.failures,
                        "prefix_hit_rate": total.hit_rate(), "ttft_mean_ms": total.mean_wait_ms(),
                        "ttft_margin_ms": margin.is_finite().then_some(margin),
                        "differs_from_built_in": !is_noise })
            );
            continue;
        }
        let verdict =
            if is_noise { "no difference from built-in" } else { "differs from built-in" };
        println!(
            "{name}: {} requests, hit rate {:.3}, first token {:.1} ms ± {margin:.1}, {} cut off; \
             {verdict} in time to first token",
            total.decided,
            total.hit_rate(),
            total.mean_wait_ms(),
            total.failures
        );
    }
    Ok(0)
}

async fn read_metrics(node: SocketAddr) -> Result<String> {
    let stream = connect(node).await.wrap_err_with(|| format!("connecting to node {node}"))?;
    let url = http_types::Url::parse(&format!("http://{node}/metrics"))?;
    let request = http_types::Request::new(http_types::Method::Get, url);
    let mut response = async_h1::connect(stream, request).await.map_err(|e| eyre!("{e}"))?;
    response.body_string().await.map_err(|error| eyre!("{error}"))
}

fn add_metrics(totals: &mut BTreeMap<String, PolicyTotals>, text: &str) {
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("topazmount_policy_") else {
            continue;
        };
        let Some((metric, rest)) = rest.split_once("{policy=\"") else {
            continue;
        };
        let Some((name, value)) = rest.split_once("\"} ") else {
            continue;
        };
        let value: f64 = value.parse().unwrap_or(0.0);
        let total = totals.entry(name.to_owned()).or_default();
        match metric {
            "decided" => total.decided += value,
            "failures" => total.failures += value,
            "prompt_tokens" => total.prompt_tokens += value,
            "cached_tokens" => total.cached_tokens += value,
            "first_tokens" => total.first_tokens += value,
            "first_token_ms_sum" => total.wait_sum += value,
            "first_token_ms_squares" => total.wait_squares += value,
            _ => {}
        }
    }
}
