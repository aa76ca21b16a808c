//! Healthy replicas load a published version before the deadline, counted from the publication or
//! from their return.

mod fleet_world;

use fleet_world::{DEADLINE, HEARTBEAT, STEP, World};
use std::time::Duration;

const LATER_START: u64 = 2_000_000;
const EARLIER_START: u64 = 1_000_000;

fn started(replicas: usize, start: u64) -> World {
    let mut world = World::new(0);
    (0..replicas).for_each(|number| world.add_started(&format!("r{number:02}"), start));
    world.run_for(Duration::from_secs(10));
    world
}

/// A replica restarts with an earlier start, at various delays after its timeout. It must load
/// before the deadline, counted from its first heartbeat.
#[test]
fn an_earlier_start_loads_before_the_deadline_at_any_delay() {
    for delay in [0, 10, 20, 30, 50, 100, 300, 1_000, 3_000] {
        let mut world = started(12, LATER_START);
        world.publish(2);
        world.run_for(DEADLINE);
        world.replicas.get_mut("r03").unwrap().is_silent = true;
        while world.view().instances.iter().any(|entry| entry.id == "r03") {
            world.run_for(STEP);
        }
        world.run_for(Duration::from_millis(delay));
        world.restart("r03", EARLIER_START, 1);
        world.run_for(HEARTBEAT + DEADLINE);
        assert_eq!(world.replicas["r03"].version, 2, "{delay} ms after the timeout");
    }
}

/// Up to a third of the replicas ignore all queries. They must not delay the others, and must be
/// queried only a few times per deadline.
#[test]
fn replicas_that_ignore_queries_delay_nobody_and_are_queried_rarely() {
    for faulty_count in 0..=4 {
        let mut world = started(12, EARLIER_START);
        world.ignores_queries = (0..faulty_count).map(|number| format!("r{number:02}")).collect();
        world.publish(2);
        for period in 1..=5 {
            let before = world.queries;
            world.run_for(DEADLINE);
            let others =
                world.replicas.iter().filter(|(id, _)| !world.ignores_queries.contains(*id));
            let late = others.filter(|(_, replica)| replica.version < 2).count();
            assert_eq!(late, 0, "{faulty_count} ignore queries, period {period}");
            let query_count = world.queries - before;
            assert!(
                period == 1 || query_count <= faulty_count * 8,
                "{query_count} queries to {faulty_count} replicas that ignore them"
            );
        }
    }
}
