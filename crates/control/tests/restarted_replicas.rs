//! Replicas that start again under their identifier.

mod fleet_world;

use fleet_world::{SPREAD, World};
use std::time::Duration;
use topazmount_control::Availability;

/// Time for which a replica is down between two starts.
const DOWN: Duration = Duration::from_millis(400);
/// Starts of the replicas' first and second incarnation, in milliseconds.
const FIRST: u64 = 1_000_000;
const SECOND: u64 = 1_020_000;

/// 12 replicas that hold version 2, in the bound after its acknowledgement.
fn world_on_second_version() -> World {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), FIRST + number));
    world.run_for(Duration::from_secs(10));
    world.name(2);
    world.run_for(SPREAD);
    assert!(world.replicas.values().all(|one| one.version == 2));
    world
}

/// Users saw requests begin on old weights long after newer ones were acknowledged and loaded everywhere.
///
/// Order of events: all replicas hold version 2. Four crash and start again after 0.4 s, under the same identifier and
/// address, with a later start, no orders counted and version 1. They send heartbeats that say so. No order comes, and they are told of
/// as open.
///
/// Cause: the holder of the roll-out kept the highest version that was ever heard under an identifier, so that what the
/// earlier incarnation had loaded was believed of the later one. Evidence: the events of a play say `before=2 said=1
/// belief=Kept` for each heartbeat, and the orders after the restart are none.
#[test]
fn replicas_that_start_again_with_older_weights_load_the_newest_again() {
    let mut world = world_on_second_version();
    let orders_before = world.orders.len();
    let restarted = ["r00", "r01", "r02", "r03"];
    restarted.iter().for_each(|id| world.replicas.get_mut(*id).unwrap().is_silent = true);
    world.run_for(DOWN);
    restarted.iter().for_each(|id| world.restart(id, SECOND, 1));
    world.run_for(Duration::from_millis(100));
    for id in restarted {
        let status = world.status(id);
        assert_eq!(status.models[0].version, 1, "{id} said so");
        assert_eq!(status.availability, Availability::Barred, "{id}: its weights are too old");
    }
    world.run_for(SPREAD);
    let versions: Vec<u32> = restarted.iter().map(|id| world.replicas[*id].version).collect();
    assert_eq!(versions, [2; 4], "{} orders", world.orders.len() - orders_before);
}
