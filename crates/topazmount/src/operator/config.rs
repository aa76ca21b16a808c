//! `topazmount config`.

use super::*;

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
        let end = before.len() - delta.suffix_bytes.min(before.len());
        let removed = before.get(delta.prefix_bytes..end).unwrap_or_default();
        println!("{}:", delta.name);
        removed.lines().for_each(|line| println!("  - {line}"));
        let added = delta.replacement.as_deref().unwrap_or_default();
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
pub(super) fn newest_reports(statuses: &[&MemberStatus]) -> BTreeMap<String, NodeReport> {
    let mut newest: BTreeMap<String, NodeReport> = BTreeMap::new();
    for report in statuses.iter().flat_map(|status| &status.nodes) {
        let known = newest.get(&report.name);
        if known.is_none_or(|known| known.received_at < report.received_at) {
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
