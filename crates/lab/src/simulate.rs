//! `topazmount-lab simulate`.

use crate::cli::SeedRange;
use crate::local;
use crate::parallel;
use crate::sim::{
    Scenario, ScenarioReport, ScenarioSettings, run_scenario, scenario_names, scenarios,
};
use eyre::{Result, eyre};
use serde_json::json;
use std::path::Path;

/// Violations printed for each scenario.
const SHOWN: usize = 5;
/// Exit status when a violation was found.
const FAILED: u8 = 1;

/// Runs scenarios over seeds and prints what they found.
///
/// # Errors
/// When the deployment has problems or there is no such scenario.
pub fn run(
    deployment: &Path,
    scenario: &str,
    seeds: SeedRange,
    is_traced: bool,
    as_json: bool,
) -> Result<u8> {
    if scenario == "list" {
        scenario_names().iter().for_each(|name| println!("{name}"));
        return Ok(0);
    }
    let chosen = match scenario {
        "all" => scenarios(),
        name => vec![Scenario::parse(name).ok_or_else(|| {
            eyre!("there is no scenario \"{name}\"; --scenario list shows the names")
        })?],
    };
    let (source, _) = local::read_deployment(deployment)?;
    let settings = ScenarioSettings { source, plant: None, is_traced };
    let work: Vec<(usize, u64)> = (0..chosen.len())
        .flat_map(|number| (seeds.first..=seeds.last).map(move |seed| (number, seed)))
        .collect();
    let reports = parallel::map(
        &work,
        |(number, seed)| run_scenario(&chosen[*number], &settings, *seed..=*seed),
        |_, _| {},
    );
    let mut violations = 0;
    for (number, scenario) in chosen.iter().enumerate() {
        let own = work.iter().zip(&reports).filter(|((of, _), _)| *of == number);
        let report = merged(scenario, own.map(|(_, report)| report));
        violations += report.violations;
        print(&report, as_json);
    }
    Ok(if violations > 0 { FAILED } else { 0 })
}

fn merged<'a>(
    scenario: &Scenario,
    reports: impl Iterator<Item = &'a ScenarioReport>,
) -> ScenarioReport {
    let mut sum = ScenarioReport { scenario: scenario.name(), ..ScenarioReport::default() };
    for report in reports {
        sum.seeds += report.seeds;
        sum.requests += report.requests;
        sum.faults += report.faults;
        sum.violations += report.violations;
        sum.details.extend(report.details.iter().cloned());
    }
    sum
}

fn print(report: &ScenarioReport, as_json: bool) {
    if as_json {
        let row = json!({
            "scenario": report.scenario, "seeds": report.seeds, "requests": report.requests,
            "faults": report.faults, "violations": report.violations,
        });
        println!("{row}");
    } else {
        println!(
            "{}: {} seeds, {} requests, {} faults, {} violations",
            report.scenario, report.seeds, report.requests, report.faults, report.violations
        );
    }
    for (seed, violation) in report.details.iter().take(SHOWN) {
        eprintln!("  seed {seed}: {violation}");
    }
}
