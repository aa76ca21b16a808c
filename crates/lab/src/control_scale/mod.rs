//! A model of the control plane at size, on a virtual clock.
//!
//! The cores of the control members are the real ones, and their processor time is measured.
//! Gateways and replicas only keep what decides which requests they send. Machines have a share of
//! a core, memory and a link; what the model takes as given is listed in its module `machine`.

mod calls;
mod costs;
mod events;
mod gateway;
mod machine;
mod member;
mod report;
mod world;

use crate::cli::ControlScaleFlags;
use eyre::{Result, ensure};
pub use report::{Phase, Summary, Traffic};
use std::time::Duration;
use world::World;

/// Time from the start of all processes to the first disturbance.
const START: Duration = Duration::from_secs(15);
/// Time after each disturbance.
const AFTER: Duration = Duration::from_secs(10);
/// How long killed processes stay down.
const DOWN: Duration = Duration::from_millis(2_000);
/// Share of the gateways that are killed at once.
const KILLED_GATEWAYS: f64 = 0.5;
/// Share of the replicas that crash at once.
const CRASHED_REPLICAS: f64 = 0.14;
/// Largest sizes that the model accepts.
const MAX_GATEWAYS: usize = 10_000;
const MAX_REPLICAS: usize = 100_000;

/// Size of a modelled fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Registered replicas.
    pub replicas: usize,
    /// Control members.
    pub members: usize,
    /// Interval of the replicas' heartbeats.
    pub heartbeat: Duration,
}

impl Size {
    /// Reads the size from the command line.
    ///
    /// # Errors
    /// If a number is out of range; names the flag.
    pub fn from_flags(flags: &ControlScaleFlags) -> Result<Self> {
        let ControlScaleFlags { gateways, replicas, members, heartbeat_ms, .. } = *flags;
        ensure!((1..=MAX_GATEWAYS).contains(&gateways), "--gateways: must be 1 to {MAX_GATEWAYS}");
        ensure!((1..=MAX_REPLICAS).contains(&replicas), "--replicas: must be 1 to {MAX_REPLICAS}");
        ensure!((1..=15).contains(&members), "--members: must be 1 to 15");
        let is_interval = (100..=60_000).contains(&heartbeat_ms);
        ensure!(is_interval, "--heartbeat-ms: must be 100 to 60000");
        let heartbeat = Duration::from_millis(heartbeat_ms);
        Ok(Size { gateways, replicas, members, heartbeat })
    }
}

/// Runs all phases and prints them.
///
/// # Errors
/// If a size is out of range.
pub fn run(flags: &ControlScaleFlags) -> Result<u8> {
    let size = Size::from_flags(flags)?;
    let (phases, summary) = measure(size);
    for phase in &phases {
        match flags.json {
            true => println!("{}", serde_json::to_string(phase)?),
            false => println!("{phase}"),
        }
    }
    match flags.json {
        true => println!("{}", serde_json::to_string(&summary)?),
        false => println!("{summary}"),
    }
    Ok(0)
}

/// Runs all phases of a fleet.
pub fn measure(size: Size) -> (Vec<Phase>, Summary) {
    let mut world = World::new(size);
    let mut phases = Vec::new();
    phases.push(world.phase("start", START));
    world.kill_leader(DOWN);
    phases.push(world.phase("leader killed", AFTER));
    world.kill_gateways(KILLED_GATEWAYS, DOWN);
    phases.push(world.phase("half of the gateways killed", AFTER));
    world.crash_replicas(CRASHED_REPLICAS);
    phases.push(world.phase("14% of the replicas crashed", AFTER));
    world.kill_everything(DOWN);
    phases.push(world.phase("everything killed", START));
    let summary = Summary::new(size, &phases, world.gateway_peak_mb());
    (phases, summary)
}
