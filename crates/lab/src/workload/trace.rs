//! Requests recorded elsewhere, replayed: one JSON object a line, see docs/POLICIES.md.

use crate::workload::classes::Class;
use crate::workload::prompt::PromptPath;
use crate::workload::traffic::{Arrival, Work};
use eyre::{Result, WrapErr, bail};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;
use topazmount_settings::Declarations;
use topazmount_types::Time;

/// Deadline of replayed requests.
const DEADLINE: Duration = Duration::from_secs(30);
/// Most blocks of a prompt.
const MAX_BLOCKS: usize = 10_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    at_ms: u64,
    zone: String,
    tenant: String,
    class: String,
    blocks: Vec<u64>,
    tail_tokens: u32,
    max_tokens: u32,
    #[serde(default)]
    session: u64,
}

/// A trace, and how many lines of it were left out.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Malformed lines that were skipped.
    pub skipped: usize,
}

/// Reads a trace for a deployment.
///
/// # Errors
/// Names the first malformed line, unless malformed lines are skipped.
pub fn read_trace(
    path: &Path,
    declarations: &Declarations,
    skips_malformed: bool,
) -> Result<Trace> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    let mut trace = Trace { arrivals: Vec::new(), skipped: 0 };
    for (number, line) in bytes.split(|byte| *byte == b'\n').enumerate() {
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match parse_line(line, declarations) {
            Ok(arrival) => trace.arrivals.push(arrival),
            Err(_) if skips_malformed => trace.skipped += 1,
            Err(error) => bail!(
                "{}, line {}: {error}; mend it, or leave such lines out with --skip-malformed",
                path.display(),
                number + 1
            ),
        }
    }
    trace.arrivals.sort_by_key(|arrival| arrival.at);
    Ok(trace)
}

fn parse_line(line: &[u8], declarations: &Declarations) -> Result<Arrival> {
    let row: Row = serde_json::from_slice(line)?;
    let zone = declarations.zones.iter().position(|zone| zone.name == row.zone);
    let Some(zone) = zone else { bail!("there is no zone \"{}\"", row.zone) };
    let tenant = declarations.tenants.iter().position(|tenant| tenant.name == row.tenant);
    let Some(tenant) = tenant else { bail!("there is no tenant \"{}\"", row.tenant) };
    let class = Class::ALL.into_iter().find(|class| class.as_str() == row.class);
    let Some(class) = class else { bail!("there is no class \"{}\"", row.class) };
    if row.blocks.len() > MAX_BLOCKS || row.max_tokens == 0 {
        bail!("more than {MAX_BLOCKS} blocks, or no token asked for");
    }
    let path = PromptPath { labels: row.blocks, tail: row.at_ms, tail_tokens: row.tail_tokens };
    let work = Work::Chat { class, path, max_tokens: row.max_tokens, session: row.session };
    Ok(Arrival { at: Time::from_millis(row.at_ms), zone, tenant, work, deadline: DEADLINE })
}
