//! What is run: policies, loads, seeds and events in mid-run.

use crate::engine::EngineParameters;
use crate::experiment::measure::{Measures, measure};
use crate::local;
use crate::sim::{Fault, FaultKind, World, WorldSettings};
use crate::workload::{Arrival, Mix, TrafficSettings};
use eyre::{Result, WrapErr, bail};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use topazmount_routing::{PolicyProgram, ProgramLimits};
use topazmount_settings::{Declarations, SourceFiles};
use topazmount_types::Time;

/// Time left out of reports.
pub const WARM_UP: Time = Time::from_secs(20);
/// When events strike.
pub const EVENT_AT: Time = Time::from_secs(45);
/// When traffic ends.
pub const TRAFFIC_UNTIL: Time = Time::from_secs(80);
/// When a run ends.
const UNTIL: Time = Time::from_secs(100);
/// When traffic ends in the search for the capacity.
const SEARCH_UNTIL: Time = Time::from_secs(60);
/// Refused requests at which a rate is beyond capacity.
const MAX_REFUSED: f64 = 0.01;
/// Wait for the first token of 19 of 20 requests of all classes at which a rate is beyond capacity.
const MAX_P95_MS: f64 = 3_000.0;
/// Steps of the search; each halves the range.
const SEARCH_STEPS: u32 = 8;
/// Range of the search, in requests a second for each engine.
const SEARCH_RANGE: (f64, f64) = (0.2, 40.0);

/// A policy under comparison.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The one compiled into nodes.
    BuiltIn,
    /// The built-in one with perfect, instant knowledge.
    UpperBound,
    /// A program: its name and text.
    Program(String, String),
}

impl PolicyChoice {
    /// Finds a policy by its name or file.
    ///
    /// # Errors
    /// When there is no such program or it has a fault.
    pub fn find(name: &str) -> Result<PolicyChoice> {
        match name {
            "built-in" => return Ok(PolicyChoice::BuiltIn),
            "upper-bound" => return Ok(PolicyChoice::UpperBound),
            _ => {}
        }
        let path = match name.ends_with(".rhai") {
            true => name.into(),
            false => Path::new("policies").join(format!("{}.rhai", name.replace('-', "_"))),
        };
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("policy \"{name}\": reading {}", path.display()))?;
        if let Err(error) = PolicyProgram::compile(&text, ProgramLimits::default()) {
            bail!("policy \"{name}\": {}: {error}", path.display());
        }
        let stem = path.file_stem().map(|stem| stem.to_string_lossy().replace('_', "-"));
        Ok(PolicyChoice::Program(stem.unwrap_or_else(|| name.to_owned()), text))
    }

    /// Name in reports.
    pub fn name(&self) -> &str {
        match self {
            PolicyChoice::BuiltIn => "built-in",
            PolicyChoice::UpperBound => "upper-bound",
            PolicyChoice::Program(name, _) => name,
        }
    }

    /// The deployment with this policy deciding everything.
    fn source(&self, source: &SourceFiles) -> Result<SourceFiles> {
        match self {
            PolicyChoice::Program(name, text) => local::with_policy(source, name, text),
            _ => Ok(source.clone()),
        }
    }
}

/// Something that happens in mid-run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MidRunEvent {
    /// An engine is killed and comes back empty.
    Crash,
    /// What was cold becomes hot.
    Shift,
    /// All nodes restart at once.
    Herd,
}

impl MidRunEvent {
    /// Reads a list of events; `none` is the empty one.
    ///
    /// # Errors
    /// Names what is unknown.
    pub fn parse_list(text: &str) -> Result<Vec<MidRunEvent>> {
        let mut events = Vec::new();
        for part in text.split(',').filter(|part| *part != "none") {
            events.push(match part {
                "crash" => MidRunEvent::Crash,
                "shift" => MidRunEvent::Shift,
                "herd" => MidRunEvent::Herd,
                other => bail!("there is no event \"{other}\"; use crash, shift, herd or none"),
            });
        }
        Ok(events)
    }
}

/// What all runs of an experiment share.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Deployment.
    pub source: SourceFiles,
    /// What it declares.
    pub declarations: Arc<Declarations>,
    /// Events in mid-run.
    pub events: Vec<MidRunEvent>,
    /// Arrivals to replay in place of the mix.
    pub replay: Option<Arc<Vec<Arrival>>>,
}

impl Plan {
    fn settings(&self, policy: &PolicyChoice, rate: f64, seed: u64) -> Result<WorldSettings> {
        let fault = |kind| Fault { at: EVENT_AT, kind, lasts: Duration::from_millis(1_000) };
        let has = |event| self.events.contains(&event);
        let mut faults = Vec::new();
        if has(MidRunEvent::Crash) {
            faults.push(fault(FaultKind::EngineCrash));
        }
        if has(MidRunEvent::Herd) {
            faults.push(fault(FaultKind::NodeHerd));
        }
        let mut mix = Mix::of_deployment(&self.declarations.name);
        // At-most-once calls don't go to engines; they would only add noise here.
        mix.actions = 0.0;
        Ok(WorldSettings {
            seed,
            source: local::without_tenant_limits(&policy.source(&self.source)?)?,
            engine: EngineParameters::default(),
            traffic: TrafficSettings {
                mix,
                rate,
                seed,
                shift_at: has(MidRunEvent::Shift).then_some(EVENT_AT),
                bursts: Vec::new(),
                flood: None,
                replay: self.replay.clone(),
            },
            traffic_until: TRAFFIC_UNTIL,
            until: UNTIL,
            nodes_per_zone: 2,
            members: 0,
            has_operators: false,
            faults,
            plant: None,
            has_oracle: *policy == PolicyChoice::UpperBound,
            is_traced: false,
            warm_up: WARM_UP,
        })
    }
}

/// Runs one policy at one rate with one seed.
///
/// # Errors
/// When the deployment can't be rewritten for the policy.
pub fn run_cell(plan: &Plan, policy: &PolicyChoice, rate: f64, seed: u64) -> Result<Measures> {
    let mut world = World::new(plan.settings(policy, rate, seed)?);
    world.run();
    Ok(measure(&world))
}

/// The largest rate at which the upper bound still answers nearly everything in time.
///
/// # Errors
/// When the deployment can't be rewritten.
pub fn capacity(plan: &Plan) -> Result<f64> {
    let engines = plan.declarations.engines.len() as f64;
    let (mut low, mut high) = (SEARCH_RANGE.0 * engines, SEARCH_RANGE.1 * engines);
    let calm = Plan { events: Vec::new(), replay: None, ..plan.clone() };
    for _ in 0..SEARCH_STEPS {
        let rate = (low * high).sqrt();
        let mut settings = calm.settings(&PolicyChoice::UpperBound, rate, 1)?;
        settings.traffic_until = SEARCH_UNTIL;
        settings.until = SEARCH_UNTIL + Duration::from_secs(5);
        let mut world = World::new(settings);
        world.run();
        let measures = measure(&world);
        let refused = measures.refused as f64 / (measures.requests as f64).max(1.0);
        let is_beyond = refused > MAX_REFUSED || measures.quantile(0.95) > MAX_P95_MS;
        if is_beyond { high = rate } else { low = rate }
    }
    Ok(low)
}
