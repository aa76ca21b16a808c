//! `topazmount policy`.

use super::*;
use crate::http1::get;

/// Most bytes of a node's metrics.
const MAX_METRICS: usize = 16 << 20;

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
    let metrics = get(node, "/metrics", MAX_METRICS, ANSWER_TIMEOUT).await;
    let metrics = metrics.wrap_err_with(|| format!("reading the metrics of node {node}"))?;
    Ok(String::from_utf8(metrics)?)
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
