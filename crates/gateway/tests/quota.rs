//! Limits of tenants over all gateways together: no window exceeds the limit through partitions,
//! freezes, restarts and replacements of gateways, and requests within the limit are served.

mod common;
mod quota_simulation;

use proptest::prelude::*;
use quota_simulation::{Event, LIMIT, Simulation, any_event, bound, tenant_hash};
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
        let mut simulation = Simulation::new(8, seed);
        simulation.apply(Event::Pass(8_000));
        events.into_iter().for_each(|event| simulation.apply(event));
        simulation.apply(Event::Heal);
        simulation.apply(Event::Elect);
        simulation.apply(Event::Pass(10_000));
        let max_used = simulation.max_in_window();
        prop_assert!(max_used <= bound(LIMIT), "{max_used} of {}", bound(LIMIT));
        // Grants must have been given throughout the series.
        prop_assert!(simulation.spent.len() > 50);
    }
}

/// Each new leader starts with an empty list of gateways, which fills up again one by one.
#[test]
fn a_new_leader_moves_no_grants() {
    let mut simulation = Simulation::new(12, 7);
    simulation.advance(Duration::from_secs(8), Simulation::demand_all);
    simulation.spent.clear();
    for _ in 0..10 {
        simulation.apply(Event::LoseLeader);
        simulation.apply(Event::Pass(1_300));
        simulation.apply(Event::Elect);
        simulation.apply(Event::Pass(2_000));
    }
    assert!(simulation.max_in_window() <= bound(LIMIT));
    let used: f64 = simulation.spent.iter().map(|(_, amount)| amount).sum();
    let allowed = LIMIT.rate * 33.0;
    assert!(used > 0.9 * allowed, "{used} of {allowed}: grants continue without a leader");
}

/// Requests use about half of the limit, with the sizes of long prompts; optionally the granter of
/// a stripe is lost.
fn normal_traffic(gateways: usize, lose_granter: bool) -> Simulation {
    let mut simulation = Simulation::new(gateways, 3);
    simulation.advance(Duration::from_secs(9), |_| {});
    if lose_granter {
        let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
        let granter_of = |simulation: &Simulation, number: usize| {
            let gateway = simulation.gateways[number].as_ref().unwrap();
            gateway.state.granter(stripe, simulation.now)
        };
        let granter =
            (0..gateways).find(|gateway| granter_of(&simulation, *gateway) == Some(Granter::Local));
        simulation.apply(Event::Kill(granter.unwrap()));
    }
    simulation.advance(Duration::from_secs(40), |simulation| {
        let number = simulation.rng.random_range(0..simulation.gateways.len());
        if simulation.gateways[number].is_some() && simulation.rng.random_bool(0.55) {
            let amount = simulation.rng.random_range(10..90);
            simulation.request(number, amount);
        }
    });
    simulation
}

#[test]
fn requests_within_the_limit_are_granted_by_one_granter() {
    for gateways in [30, 300] {
        let simulation = normal_traffic(gateways, false);
        assert!(simulation.requests > 300);
        assert_eq!(simulation.refused, 0);
        assert!(
            simulation.grant_requests <= simulation.requests,
            "{} requests to granters",
            simulation.grant_requests
        );
    }
}

#[test]
fn the_loss_of_a_granter_refuses_no_request_within_the_limit() {
    let simulation = normal_traffic(30, true);
    assert!(simulation.requests > 300);
    assert_eq!(simulation.refused, 0);
}

#[test]
fn a_lower_limit_holds_after_a_window_and_a_higher_one_at_once() {
    let mut simulation = Simulation::new(8, 5);
    simulation.advance(Duration::from_secs(12), Simulation::demand_all);
    simulation.limit = TenantLimit { rate: 100.0, burst: 100.0, ..LIMIT };
    simulation.version = 2;
    simulation.apply(Event::Pass(1_000));
    simulation.spent.clear();
    simulation.apply(Event::Pass(20_000));
    assert!(simulation.max_in_window() <= bound(simulation.limit));
    simulation.limit = LIMIT;
    simulation.version = 3;
    simulation.apply(Event::Pass(1_000));
    simulation.spent.clear();
    simulation.apply(Event::Pass(5_000));
    let used: f64 = simulation.spent.iter().map(|(_, amount)| amount).sum();
    assert!(used > 4_500.0, "{used}");
}

/// Refused clients get retry delays at which there is enough for each in turn.
#[test]
fn refused_clients_retry_one_after_another() {
    let mut simulation = Simulation::new(1, 5);
    simulation.advance(Duration::from_secs(12), |_| {});
    let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
    while simulation.ask(0, stripe, 100) == Some(GrantResponse::Granted) {}
    let waits: Vec<Duration> = (0..5)
        .filter_map(|_| match simulation.ask(0, stripe, 100) {
            Some(GrantResponse::LimitExceeded(wait)) => Some(wait),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 5);
    let intervals: Vec<f64> = waits.windows(2).map(|two| (two[1] - two[0]).as_secs_f64()).collect();
    let time_per_request = 100.0 / (LIMIT.rate / f64::from(STRIPES));
    assert!(
        intervals.iter().all(|interval| (interval - time_per_request).abs() < 0.001),
        "{intervals:?}"
    );
}

#[test]
fn units_of_requests_that_did_not_run_are_returned() {
    let mut simulation = Simulation::new(1, 5);
    simulation.advance(Duration::from_secs(12), |_| {});
    let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
    while simulation.ask(0, stripe, 100) == Some(GrantResponse::Granted) {}
    let now = simulation.now;
    simulation.gateways[0].as_mut().unwrap().state.return_units(stripe, 100, now);
    assert_eq!(simulation.ask(0, stripe, 100), Some(GrantResponse::Granted));
}
