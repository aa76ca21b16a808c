//! Whole deployments on a virtual clock: the product's cores, the engine model, a simulated
//! network and disks, callers and operators, driven by one seed.
//!
//! A run is a sequence of events in order of time. Nothing reads the machine's clock or an
//! unseeded generator, so a seed replays exactly.

mod applications;
mod callers;
mod checks;
mod engines;
mod faults;
mod links;
mod machines;
mod members;
mod network;
mod nodes;
mod operators;
mod oracle;
mod packet;
mod plant;
mod record;
mod scenario;
mod schedule;
mod world;

pub use checks::{Invariant, Violation};
pub use faults::{Fault, FaultKind};
pub use plant::Plant;
pub use record::{Outcome, Record};
pub use scenario::{
    Scenario, ScenarioReport, ScenarioSettings, run_scenario, run_seed, scenario_names, scenarios,
};
pub use world::{Totals, World, WorldSettings};
