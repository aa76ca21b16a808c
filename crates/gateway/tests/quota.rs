//! Limits of tenants over all gateways together: what is granted in any window keeps the limit, whoever is cut off, frozen,
//! restarted or replaced, and what is within the limit is let through.

mod common;
mod quota_world;

use proptest::prelude::*;
use quota_world::{Event, LIMIT, World, any_event, bound, tenant_hash};
use rand::Rng;
use std::time::Duration;
use topazmount_gateway::{GrantResponse, Granter, STRIPES, StripeId, TenantLimit};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn no_window_exceeds_the_limit(
        seed in any::<u64>(),
        events in prop::collection::vec(any_event(), 10..50),
    ) {
        let mut world = World::new(8, seed);
        world.take(Event::Pass(8_000));
        events.into_iter().for_each(|event| world.take(event));
        world.take(Event::Heal);
        world.take(Event::Elect);
        world.take(Event::Pass(10_000));
        let most = world.most_in_window();
        prop_assert!(most <= bound(LIMIT), "{most} of {}", bound(LIMIT));
        // The series says something only where grants were given to the end.
        prop_assert!(world.spent.len() > 50);
    }
}

/// The whole list is lost with each leader, and gateways come back to it one after the other.
#[test]
fn a_new_leader_moves_no_grants() {
    let mut world = World::new(12, 7);
    world.pass(Duration::from_secs(8), World::press);
    world.spent.clear();
    for _ in 0..10 {
        world.take(Event::LoseLeader);
        world.take(Event::Pass(1_300));
        world.take(Event::Elect);
        world.take(Event::Pass(2_000));
    }
    assert!(world.most_in_window() <= bound(LIMIT));
    let used: f64 = world.spent.iter().map(|(_, amount)| amount).sum();
    let owed = LIMIT.rate * 33.0;
    assert!(used > 0.9 * owed, "{used} of {owed}: grants go on while there is no leader");
}

/// Requests come at about half of the limit, as they do on a calm day; a size is what a long prompt has.
fn calm_day(gateways: usize, lose_one: bool) -> World {
    let mut world = World::new(gateways, 3);
    world.pass(Duration::from_secs(9), |_| {});
    if lose_one {
        let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
        let knowledge = |world: &World, number: usize| {
            let gateway = world.gateways[number].as_ref().unwrap();
            gateway.knowledge.granter(stripe, world.now)
        };
        let holder = (0..gateways).find(|one| knowledge(&world, *one) == Some(Granter::Local));
        world.take(Event::Kill(holder.unwrap()));
    }
    world.pass(Duration::from_secs(40), |world| {
        let number = world.rng.random_range(0..world.gateways.len());
        if world.gateways[number].is_some() && world.rng.random_bool(0.55) {
            let amount = world.rng.random_range(10..90);
            world.request(number, amount);
        }
    });
    world
}

#[test]
fn what_is_within_the_limit_is_let_through_at_one_question() {
    for gateways in [30, 300] {
        let world = calm_day(gateways, false);
        assert!(world.asked > 300);
        assert_eq!(world.refused, 0);
        assert!(world.questions <= world.asked, "{} questions", world.questions);
    }
}

#[test]
fn the_loss_of_a_granter_costs_no_request_within_the_limit() {
    let world = calm_day(30, true);
    assert!(world.asked > 300);
    assert_eq!(world.refused, 0);
}

#[test]
fn a_lower_limit_holds_a_window_later_and_a_higher_one_at_once() {
    let mut world = World::new(8, 5);
    world.pass(Duration::from_secs(12), World::press);
    world.limit = TenantLimit { rate: 100.0, burst: 100.0, ..LIMIT };
    world.version = 2;
    world.take(Event::Pass(1_000));
    world.spent.clear();
    world.take(Event::Pass(20_000));
    assert!(world.most_in_window() <= bound(world.limit));
    world.limit = LIMIT;
    world.version = 3;
    world.take(Event::Pass(1_000));
    world.spent.clear();
    world.take(Event::Pass(5_000));
    let used: f64 = world.spent.iter().map(|(_, amount)| amount).sum();
    assert!(used > 4_500.0, "{used}");
}

/// Refused clients are told to come one after another, when there is enough for each.
#[test]
fn refused_clients_return_one_after_another() {
    let mut world = World::new(1, 5);
    world.pass(Duration::from_secs(12), |_| {});
    let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
    while world.ask(0, stripe, 100) == Some(GrantResponse::Granted) {}
    let waits: Vec<Duration> = (0..5)
        .filter_map(|_| match world.ask(0, stripe, 100) {
            Some(GrantResponse::LimitExceeded(wait)) => Some(wait),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 5);
    let apart: Vec<f64> = waits.windows(2).map(|two| (two[1] - two[0]).as_secs_f64()).collect();
    let each = 100.0 / (LIMIT.rate / f64::from(STRIPES));
    assert!(apart.iter().all(|time| (time - each).abs() < 0.001), "{apart:?}");
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut world = World::new(1, 5);
    world.pass(Duration::from_secs(12), |_| {});
    let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
    while world.ask(0, stripe, 100) == Some(GrantResponse::Granted) {}
    let now = world.now;
    world.gateways[0].as_mut().unwrap().knowledge.return_units(stripe, 100, now);
    assert_eq!(world.ask(0, stripe, 100), Some(GrantResponse::Granted));
}
