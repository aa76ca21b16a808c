//! Named failures, alone and in pairs, over ranges of seeds.

use crate::engine::EngineParameters;
use crate::sim::checks::Violation;
use crate::sim::faults::{Fault, FaultKind};
use crate::sim::plant::Plant;
use crate::sim::world::{Totals, World, WorldSettings};
use crate::workload::{Mix, TrafficSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;
use std::time::Duration;
use topazmount_settings::{Declarations, SourceFiles};
use topazmount_types::Time;

/// When traffic ends.
const TRAFFIC_UNTIL: Time = Time::from_secs(20);
/// When a run ends: every deadline has passed by then.
const UNTIL: Time = Time::from_secs(65);
/// Arrivals a second.
const RATE: f64 = 12.0;
/// When the first fault may strike, in milliseconds.
const FIRST_FAULT_MS: std::ops::Range<u64> = 3_000..10_000;
/// How long after it the same fault strikes again: often while the first is being mended.
const SECOND_FAULT_MS: std::ops::Range<u64> = 300..6_000;
/// How long a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 100..5_000;

/// How long one lasts that may last long.
const LONG_MS: std::ops::Range<u64> = 2_000..25_000;

/// A set of faults with a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Faults; each strikes twice.
    pub kinds: Vec<FaultKind>,
}

impl Scenario {
    /// Name: its faults joined with `+`, or `calm`.
    pub fn name(&self) -> String {
        if self.kinds.is_empty() {
            return "calm".to_owned();
        }
        let names: Vec<&str> = self.kinds.iter().map(|kind| kind.as_str()).collect();
        names.join("+")
    }

    /// The scenario of this name.
    pub fn parse(name: &str) -> Option<Scenario> {
        if name == "calm" {
            return Some(Scenario { kinds: Vec::new() });
        }
        let kind = |part: &str| FaultKind::ALL.iter().copied().find(|kind| kind.as_str() == part);
        let kinds: Option<Vec<FaultKind>> = name.split('+').map(kind).collect();
        kinds.map(|kinds| Scenario { kinds })
    }

    fn faults(&self, rng: &mut ChaCha8Rng) -> Vec<Fault> {
        let mut faults = Vec::new();
        for kind in &self.kinds {
            let first = rng.random_range(FIRST_FAULT_MS);
            let second = first + rng.random_range(SECOND_FAULT_MS);
            for at in [first, second] {
                let range = if kind.may_last() { LONG_MS } else { LASTS_MS };
                let lasts = Duration::from_millis(rng.random_range(range));
                faults.push(Fault { at: Time::from_millis(at), kind: *kind, lasts });
            }
        }
        faults
    }
}

/// All scenarios: calm, each fault, and each pair of faults.
pub fn scenarios() -> Vec<Scenario> {
    let mut all = vec![Scenario { kinds: Vec::new() }];
    all.extend(FaultKind::ALL.iter().map(|kind| Scenario { kinds: vec![*kind] }));
    for (position, first) in FaultKind::ALL.iter().enumerate() {
        for second in &FaultKind::ALL[position + 1..] {
            all.push(Scenario { kinds: vec![*first, *second] });
        }
    }
    all
}

/// Names of all scenarios.
pub fn scenario_names() -> Vec<String> {
    scenarios().iter().map(Scenario::name).collect()
}

/// What a scenario's runs found.
#[derive(Clone, Debug, Default)]
pub struct ScenarioReport {
    /// Scenario.
    pub scenario: String,
    /// Runs.
    pub seeds: u64,
    /// Completions and calls.
    pub requests: u64,
    /// Faults that struck.
    pub faults: u64,
    /// Violations.
    pub violations: u64,
    /// The first ones, with their seeds.
    pub details: Vec<(u64, Violation)>,
}

/// What all runs of a scenario share.
#[derive(Clone, Debug)]
pub struct ScenarioSettings {
    /// Deployment.
    pub source: SourceFiles,
    /// A planted violation.
    pub plant: Option<Plant>,
    /// Whether to tell what happens.
    pub is_traced: bool,
}

/// Settings of one run.
fn world_settings(scenario: &Scenario, settings: &ScenarioSettings, seed: u64) -> WorldSettings {
    let name = Declarations::parse(&settings.source).map(|d| d.name).unwrap_or_default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let faults = scenario.faults(&mut rng);
    let mut mix = Mix::of_deployment(&name);
    // Some deployments never ask the control group for anything but their configuration.
    if rng.random_bool(0.25) {
        mix.actions = 0.0;
    }
    WorldSettings {
        seed,
        source: settings.source.clone(),
        engine: EngineParameters::default(),
        traffic: TrafficSettings {
            mix,
            rate: RATE,
            seed: rng.random(),
            shift_at: Some(Time::from_secs(10)),
            bursts: vec![(Time::from_secs(12), Time::from_secs(14), 3.0)],
            flood: None,
            replay: None,
        },
        traffic_until: TRAFFIC_UNTIL,
        until: UNTIL,
        nodes_per_zone: 1,
        members: 3,
        has_operators: true,
        faults,
        plant: settings.plant,
        has_oracle: false,
        is_traced: settings.is_traced,
        warm_up: Time::ZERO,
    }
}

/// Runs one seed of a scenario.
pub fn run_seed(scenario: &Scenario, settings: &ScenarioSettings, seed: u64) -> (Totals, World) {
    let mut world = World::new(world_settings(scenario, settings, seed));
    world.run();
    (world.totals, world)
}

/// Runs a scenario over seeds.
pub fn run_scenario(
    scenario: &Scenario,
    settings: &ScenarioSettings,
    seeds: RangeInclusive<u64>,
) -> ScenarioReport {
    let mut report = ScenarioReport { scenario: scenario.name(), ..ScenarioReport::default() };
    for seed in seeds {
        let (totals, world) = run_seed(scenario, settings, seed);
        report.seeds += 1;
        report.requests += totals.operations;
        report.faults += totals.faults;
        report.violations += world.checks.total();
        report.details.extend(world.checks.kept.iter().map(|found| (seed, found.clone())));
    }
    report
}
