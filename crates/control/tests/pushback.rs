//! Replicas that ask the leader for backoff, or announce that they leave.

mod fleet_world;

use fleet_world::{DEADLINE, World};
use std::time::Duration;
use topazmount_admission::{Pushback, PushbackSettings};
use topazmount_control::RolloutSettings;
use topazmount_types::Time;

const START: u64 = 1_000_000;
/// Several times the delay after a failed order.
const BACKOFF: Duration = Duration::from_secs(40);
/// Time after a response within which calls may be in flight, and maximum calls from then to the
/// end of the backoff.
const IN_FLIGHT: Duration = Duration::from_millis(500);
const MAX_CALLS_IN_BACKOFF: usize = 2;

fn world() -> World {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), START));
    world.run_for(Duration::from_secs(10));
    world
}

fn calls(world: &World, id: &str) -> Vec<Time> {
    world.calls.iter().filter(|(_, called)| called == id).map(|(at, _)| *at).collect()
}

fn max_calls_in_backoff(calls: &[Time]) -> usize {
    let calls_after = |called: &Time| {
        calls.iter().filter(|at| **at > *called + IN_FLIGHT && **at < *called + BACKOFF).count()
    };
    calls.iter().map(calls_after).max().unwrap_or(0)
}

/// Two replicas refuse every query with a backoff; the others must not be delayed.
#[test]
fn replicas_in_backoff_get_no_queries_or_orders() {
    let mut world = world();
    let backoff = Pushback { backoff: Some(BACKOFF), ..Pushback::default() };
    let ids = ["r00", "r07"];
    world.pushbacks = ids.iter().map(|id| ((*id).to_owned(), backoff)).collect();
    world.publish(2);
    world.run_for(DEADLINE);
    let late = world
        .replicas
        .iter()
        .filter(|(id, replica)| replica.version < 2 && !ids.contains(&id.as_str()));
    assert_eq!(late.count(), 0, "others were delayed");
    world.run_for(BACKOFF * 2);
    for id in ids {
        let calls = calls(&world, id);
        assert!(calls.len() > 1, "{id} is called again after its backoff: {calls:?}");
        assert!(
            max_calls_in_backoff(&calls) <= MAX_CALLS_IN_BACKOFF,
            "{id} was called during its backoff: {calls:?}"
        );
    }
    world.pushbacks.clear();
    world.run_for(BACKOFF + DEADLINE);
    assert!(world.replicas.values().all(|replica| replica.version == 2));
}

/// A loading replica asks for backoff in the response to the next query.
#[test]
fn a_loading_replica_is_not_queried_during_backoff_and_its_load_counts() {
    let mut world = world();
    world.publish(2);
    while !world.orders.iter().any(|(_, order)| order.instance == "r00") {
        world.run_for(fleet_world::STEP);
    }
    let backoff = Pushback { backoff: Some(BACKOFF), ..Pushback::default() };
    world.pushbacks.insert("r00".to_owned(), backoff);
    let before = calls(&world, "r00").len();
    world.run_for(BACKOFF - DEADLINE);
    assert!(calls(&world, "r00").len() <= before + 1, "at most one call during the backoff");
    world.pushbacks.clear();
    world.run_for(DEADLINE * 3);
    assert_eq!(world.replicas["r00"].version, 2);
    let orders = world.orders.iter().filter(|(_, order)| order.instance == "r00").count();
    assert_eq!(orders, 1);
}

/// Pushback ends with the incarnation: the next one gets an order at once.
#[test]
fn a_leaving_replica_gets_no_calls_but_its_next_incarnation_does() {
    let mut world = world();
    let leaving = Pushback { is_leaving: true, ..Pushback::default() };
    world.pushbacks.insert("r03".to_owned(), leaving);
    world.publish(2);
    world.run_for(DEADLINE * 3);
    assert_eq!(calls(&world, "r03").len(), 1, "only the query with the announcement");
    world.pushbacks.clear();
    world.restart("r03", START + 1, 1);
    world.run_for(DEADLINE);
    assert_eq!(world.replicas["r03"].version, 2);
}

/// The settings limit the requested backoff to 5 s.
#[test]
fn a_backoff_is_limited_by_the_settings() {
    let pushback =
        PushbackSettings { max_backoff: Duration::from_secs(5), ..PushbackSettings::default() };
    let mut world = World::with(0, RolloutSettings { pushback, ..RolloutSettings::default() });
    world.add_started("r00", START);
    world.run_for(Duration::from_secs(10));
    let backoff = Pushback { backoff: Some(BACKOFF), ..Pushback::default() };
    world.pushbacks.insert("r00".to_owned(), backoff);
    world.publish(2);
    world.run_for(BACKOFF);
    let calls = calls(&world, "r00");
    let gaps: Vec<_> = calls.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(calls.len() >= 4, "called at {calls:?}");
    assert!(gaps.iter().all(|pause| *pause >= Duration::from_secs(5)), "{gaps:?}");
}
