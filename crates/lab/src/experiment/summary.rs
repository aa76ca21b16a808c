//! `topazmount-lab experiment`: runs, table, files.

use crate::cli::ExperimentFlags;
use crate::experiment::html;
use crate::experiment::measure::Measures;
use crate::experiment::plan::{MidRunEvent, Plan, PolicyChoice, capacity, run_cell};
use crate::experiment::statistics::{Comparison, Interval};
use crate::local;
use crate::parallel;
use crate::workload::read_trace;
use eyre::{Result, WrapErr, bail, eyre};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs of one policy at one load, one for each seed.
pub struct Cell {
    /// Policy.
    pub policy: String,
    /// Share of the capacity.
    pub load: f64,
    /// One for each seed, in order.
    pub runs: Vec<Measures>,
}

impl Cell {
    /// A value of each seed's run.
    pub fn values(&self, of: impl Fn(&Measures) -> f64) -> Vec<f64> {
        self.runs.iter().map(of).collect()
    }

    fn mean(&self, of: impl Fn(&Measures) -> f64) -> f64 {
        Interval::of(&self.values(of)).mean
    }
}

/// What is compared between policies, with the name in reports.
type Measured = (&'static str, fn(&Measures) -> f64);

const COMPARED: [Measured; 4] = [
    ("prefix_hit_rate", |run| run.hit_rate),
    ("short_ttft_p95_ms", |run| run.short_quantile(0.95)),
    ("short_ttft_p99_ms", |run| run.short_quantile(0.99)),
    ("wasted_share", Measures::wasted_share),
];

/// Runs the experiment and writes its reports.
///
/// # Errors
/// When something asked for is not there, or the folder can't be written.
pub fn run(flags: &ExperimentFlags) -> Result<u8> {
    let policies: Vec<PolicyChoice> =
        flags.policies.split(',').map(PolicyChoice::find).collect::<Result<_>>()?;
    let loads: Vec<f64> = flags.loads.split(',').map(parse_load).collect::<Result<_>>()?;
    let (source, declarations) = local::read_deployment(&flags.deployment)?;
    let replay = match &flags.trace {
        Some(path) => {
            let trace = read_trace(path, &declarations, flags.skip_malformed)?;
            eprintln!(
                "{} requests replayed, {} lines skipped",
                trace.arrivals.len(),
                trace.skipped
            );
            Some(Arc::new(trace.arrivals))
        }
        None => None,
    };
    let events = MidRunEvent::parse_list(&flags.events)?;
    let plan = Plan { source, declarations: Arc::new(declarations), events, replay };
    create_folder(flags)?;
    let capacity = match flags.capacity {
        Some(capacity) => capacity,
        None => capacity(&plan)?,
    };
    eprintln!("capacity: {capacity:.1} requests/s");
    let cells = run_cells(&plan, &policies, &loads, capacity, flags)?;
    let rows: Vec<Value> = cells.iter().map(|cell| row(cell, flags)).collect();
    print_table(&rows, flags.json);
    let report = json!({
        "deployment": plan.declarations.name, "capacity": capacity, "events": flags.events,
        "seeds": [flags.seeds.first, flags.seeds.last], "rows": rows,
        "comparisons": comparisons(&cells),
    });
    let write = |name: &str, text: String| {
        let path = flags.out.join(name);
        std::fs::write(&path, text).wrap_err_with(|| format!("writing {}", path.display()))
    };
    write("report.json", serde_json::to_string_pretty(&report)?)?;
    write("report.html", html::page(&plan.declarations.name, &report, &cells)?)?;
    Ok(0)
}

fn parse_load(text: &str) -> Result<f64> {
    let load: f64 = text.parse().map_err(|_| eyre!("\"{text}\" is not a load"))?;
    if !(0.01..=10.0).contains(&load) {
        bail!("load {text} is out of range; use shares of the capacity like 0.8");
    }
    Ok(load)
}

fn create_folder(flags: &ExperimentFlags) -> Result<()> {
    if flags.out.exists() {
        bail!("{} exists; name a new folder for the reports", flags.out.display());
    }
    std::fs::create_dir_all(&flags.out)
        .wrap_err_with(|| format!("making the folder {}", flags.out.display()))
}

fn run_cells(
    plan: &Plan,
    policies: &[PolicyChoice],
    loads: &[f64],
    capacity: f64,
    flags: &ExperimentFlags,
) -> Result<Vec<Cell>> {
    let mut work = Vec::new();
    for policy in policies {
        for load in loads {
            for seed in flags.seeds.first..=flags.seeds.last {
                work.push((policy, *load, seed));
            }
        }
    }
    let done = AtomicUsize::new(0);
    let runs = parallel::map(
        &work,
        |(policy, load, seed)| run_cell(plan, policy, load * capacity, *seed),
        |_, _| {
            let done = done.fetch_add(1, Ordering::Relaxed) + 1;
            eprint!("\r{done} of {} runs", work.len());
        },
    );
    eprintln!();
    let mut cells: Vec<Cell> = Vec::new();
    for ((policy, load, _), run) in work.iter().zip(runs) {
        let is_same = |cell: &Cell| cell.policy == policy.name() && cell.load == *load;
        if !cells.last().is_some_and(is_same) {
            cells.push(Cell { policy: policy.name().to_owned(), load: *load, runs: Vec::new() });
        }
        if let Some(cell) = cells.last_mut() {
            cell.runs.push(run?);
        }
    }
    Ok(cells)
}

fn row(cell: &Cell, flags: &ExperimentFlags) -> Value {
    let requests: u64 = cell.runs.iter().map(|run| run.requests).sum();
    let refused: u64 = cell.runs.iter().map(|run| run.refused).sum();
    let wasted: u64 = cell.runs.iter().map(Measures::wasted).sum();
    let half_width = |of: fn(&Measures) -> f64| Interval::of(&cell.values(of)).half_width;
    json!({
        "policy": cell.policy,
        "load": cell.load,
        "seeds": flags.seeds.last - flags.seeds.first + 1,
        "requests": requests,
        "refused": refused,
        "prefix_hit_rate": cell.mean(|run| run.hit_rate),
        "prefix_hit_rate_ci95": half_width(|run| run.hit_rate),
        "ttft_p50_ms": cell.mean(|run| run.quantile(0.5)),
        "ttft_p95_ms": cell.mean(|run| run.quantile(0.95)),
        "ttft_p99_ms": cell.mean(|run| run.quantile(0.99)),
        "short_ttft_p95_ms": cell.mean(|run| run.short_quantile(0.95)),
        "short_ttft_p95_ms_ci95": half_width(|run| run.short_quantile(0.95)),
        "short_ttft_p99_ms": cell.mean(|run| run.short_quantile(0.99)),
        "wasted_tokens": wasted,
        "wasted_share": cell.mean(Measures::wasted_share),
    })
}

fn print_table(rows: &[Value], as_json: bool) {
    if as_json {
        rows.iter().for_each(|row| println!("{row}"));
        return;
    }
    println!(
        "{:<16} {:>5} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>8}",
        "policy",
        "load",
        "requests",
        "refused",
        "hits %",
        "short p95",
        "short p99",
        "all p95",
        "wasted %"
    );
    for row in rows {
        let number = |key: &str| row[key].as_f64().unwrap_or_default();
        println!(
            "{:<16} {:>5.2} {:>8} {:>8} {:>8.2} {:>9.1} {:>9.1} {:>9.1} {:>8.2}",
            row["policy"].as_str().unwrap_or_default(),
            number("load"),
            row["requests"],
            row["refused"],
            100.0 * number("prefix_hit_rate"),
            number("short_ttft_p95_ms"),
            number("short_ttft_p99_ms"),
            number("ttft_p95_ms"),
            100.0 * number("wasted_share"),
        );
    }
}

/// Each policy against the first one at the same load, seed by seed.
fn comparisons(cells: &[Cell]) -> Vec<Value> {
    let Some(first) = cells.first().map(|cell| cell.policy.clone()) else { return Vec::new() };
    let mut rows = Vec::new();
    for cell in cells.iter().filter(|cell| cell.policy != first) {
        let base = cells.iter().find(|base| base.policy == first && base.load == cell.load);
        let Some(base) = base else { continue };
        for (name, of) in COMPARED {
            let (comparison, interval) = Comparison::paired(&cell.values(of), &base.values(of));
            rows.push(json!({
                "policy": cell.policy, "against": first, "load": cell.load, "measure": name,
                "is": comparison.as_str(), "difference": interval.mean,
                "ci95": interval.half_width,
            }));
        }
    }
    rows
}
