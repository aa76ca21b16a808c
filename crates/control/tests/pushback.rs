//! Replicas that ask the leader for rest, or say in answers to it that they leave.

mod fleet_world;

use fleet_world::{SPREAD, World};
use std::time::Duration;
use topazmount_admission::{Pushback, PushbackSettings};
use topazmount_control::RolloutSettings;
use topazmount_types::Time;

const EARLIER: u64 = 1_000_000;
/// Several times the 8 s for which a replica that failed comes after all others.
const REST: Duration = Duration::from_secs(40);
/// Time after an answer within which calls may still be on their way, and most calls from then to the end of the rest.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;

fn world() -> World {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER));
    world.run_for(Duration::from_secs(10));
    world
}

fn calls(world: &World, id: &str) -> Vec<Time> {
    world.calls.iter().filter(|(_, called)| called == id).map(|(at, _)| *at).collect()
}

fn most_in_rest(calls: &[Time]) -> usize {
    let within = |asked: &Time| {
        calls.iter().filter(|at| **at > *asked + ON_THE_WAY && **at < *asked + REST).count()
    };
    calls.iter().map(within).max().unwrap_or(0)
}

/// Two replicas turn every question away and ask for rest each time: they get it, whoever leads, and the others load.
#[test]
fn replicas_that_ask_for_rest_are_neither_asked_nor_ordered_until_it_is_over() {
    let mut world = world();
    let rest = Pushback { backoff: Some(REST), ..Pushback::default() };
    let unwilling = ["r00", "r07"];
    world.unwilling = unwilling.iter().map(|id| ((*id).to_owned(), rest)).collect();
    world.name(2);
    world.run_for(SPREAD);
    let late = world
        .replicas
        .iter()
        .filter(|(id, one)| one.version < 2 && !unwilling.contains(&id.as_str()));
    assert_eq!(late.count(), 0, "others were held up");
    world.run_for(REST * 2);
    for id in unwilling {
        let calls = calls(&world, id);
        assert!(calls.len() > 1, "{id} is asked again once it has rested: {calls:?}");
        assert!(most_in_rest(&calls) <= MOST_IN_REST, "{id} was called in its rest: {calls:?}");
    }
    world.unwilling.clear();
    world.run_for(REST + SPREAD);
    assert!(world.replicas.values().all(|one| one.version == 2));
}

/// A replica whose load is under way asks for rest at the next question.
#[test]
fn a_replica_that_loads_is_not_asked_in_its_rest_and_its_load_counts() {
    let mut world = world();
    world.name(2);
    while !world.orders.iter().any(|(_, order)| order.instance == "r00") {
        world.run_for(fleet_world::STEP);
    }
    let rest = Pushback { backoff: Some(REST), ..Pushback::default() };
    world.unwilling.insert("r00".to_owned(), rest);
    let before = calls(&world, "r00").len();
    world.run_for(REST - SPREAD);
    assert!(calls(&world, "r00").len() <= before + 1, "asked once, and then left alone");
    world.unwilling.clear();
    world.run_for(SPREAD * 3);
    assert_eq!(world.replicas["r00"].version, 2);
    let orders = world.orders.iter().filter(|(_, order)| order.instance == "r00").count();
    assert_eq!(orders, 1);
}

/// What ends with the incarnation ends for the leader too: the next one is ordered at once.
#[test]
fn a_replica_that_leaves_is_left_alone_and_the_next_incarnation_is_not() {
    let mut world = world();
    let leaving = Pushback { is_leaving: true, ..Pushback::default() };
    world.unwilling.insert("r03".to_owned(), leaving);
    world.name(2);
    world.run_for(SPREAD * 3);
    assert_eq!(calls(&world, "r03").len(), 1, "only the question that it answered so");
    world.unwilling.clear();
    world.restart("r03", EARLIER + 1, 1);
    world.run_for(SPREAD);
    assert_eq!(world.replicas["r03"].version, 2);
}

/// A replica asks for 40 s of rest where the settings believe 5 s at most. The leader believed 60 s whatever they say, since only
/// gateways were given them: it was asked again after 40 s, and not ordered within the bound of any version named meanwhile.
#[test]
fn a_rest_is_believed_for_as_long_as_the_settings_say() {
    let pushback =
        PushbackSettings { max_backoff: Duration::from_secs(5), ..PushbackSettings::default() };
    let mut world = World::with(0, RolloutSettings { pushback, ..RolloutSettings::default() });
    world.add_started("r00", EARLIER);
    world.run_for(Duration::from_secs(10));
    let rest = Pushback { backoff: Some(REST), ..Pushback::default() };
    world.unwilling.insert("r00".to_owned(), rest);
    world.name(2);
    world.run_for(REST);
    let calls = calls(&world, "r00");
    let pauses: Vec<_> = calls.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(calls.len() >= 4, "called at {calls:?}");
    assert!(pauses.iter().all(|pause| *pause >= Duration::from_secs(5)), "{pauses:?}");
}
