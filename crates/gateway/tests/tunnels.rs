//! Which gateways carry tunnels, and which tunnels they carry.

mod common;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use topazmount_gateway::{CarrierState, Carriers, TunnelRefusal};
use topazmount_types::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn gateways(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|number| SocketAddr::from(([10, 0, 0, number], 7000))).collect()
}

const HEALTHY: CarrierState =
    CarrierState { is_stopping: false, is_partitioned: false, knows_replica: true, carried: 0 };

fn carries(state: CarrierState, expected: Result<(), TunnelRefusal>) {
    assert_eq!(state.admit(), expected);
}

cases! {
    carries:
    a_gateway_that_reaches_replicas_carries => HEALTHY, Ok(());
    a_gateway_that_is_cut_off_itself_does_not => CarrierState { is_partitioned: true, ..HEALTHY }, Err(TunnelRefusal::Partitioned);
    a_stopping_gateway_does_not => CarrierState { is_stopping: true, ..HEALTHY }, Err(TunnelRefusal::Stopping);
    no_gateway_connects_to_an_address_that_is_no_replica => CarrierState { knows_replica: false, ..HEALTHY }, Err(TunnelRefusal::UnknownReplica);
    a_gateway_with_many_tunnels_refuses_more => CarrierState { carried: 512, ..HEALTHY }, Err(TunnelRefusal::Full);
}

#[test]
fn gateways_that_refused_or_kept_silent_are_avoided_for_a_while() {
    let (all, mut carriers) = (gateways(2), Carriers::default());
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    carriers.on_refused(all[0], TunnelRefusal::Partitioned, at(0));
    for _ in 0..20 {
        assert_eq!(carriers.choose(&all, at(500), rng), Some(all[1]));
    }
    carriers.on_silent(all[1], at(500));
    assert_eq!(carriers.choose(&all, at(700), rng), None, "nobody is left to ask");
    assert_eq!(carriers.choose(&all, at(800), rng), Some(all[1]));
    carriers.on_silent(all[1], at(800));
    assert_eq!(carriers.choose(&all, at(1_100), rng), Some(all[0]));
}

#[test]
fn a_gateway_that_does_not_know_one_replica_is_asked_for_others() {
    let (all, mut carriers) = (gateways(1), Carriers::default());
    carriers.on_refused(all[0], TunnelRefusal::UnknownReplica, at(0));
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    assert_eq!(carriers.choose(&all, at(1), rng), Some(all[0]));
}

#[test]
fn tunnels_are_spread_over_several_gateways_that_carry() {
    let (all, mut carriers) = (gateways(200), Carriers::default());
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    let mut used = BTreeSet::new();
    for _ in 0..100 {
        let carrier = carriers.choose(&all, at(0), rng).unwrap();
        carriers.on_carried(carrier);
        used.insert(carrier);
    }
    assert!((4..=8).contains(&used.len()), "{} gateways were used", used.len());
}

#[test]
fn gateways_that_left_the_list_carry_nothing() {
    let (all, mut carriers) = (gateways(5), Carriers::default());
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    all.iter().for_each(|gateway| carriers.on_carried(*gateway));
    assert_eq!(carriers.choose(&[], at(0), rng), None);
    assert_eq!(carriers.choose(&all[4..], at(0), rng), Some(all[4]));
}

#[test]
fn the_only_carrier_is_asked_again_soon_after_it_was_slow_once() {
    let (all, mut carriers) = (gateways(1), Carriers::default());
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    for _ in 0..5 {
        carriers.on_silent(all[0], at(0));
    }
    assert_eq!(carriers.choose(&all, at(249), rng), None);
    assert_eq!(carriers.choose(&all, at(250), rng), Some(all[0]));
}

#[test]
fn a_gateway_that_stays_silent_is_asked_less_and_less_often() {
    let (all, mut carriers) = (gateways(1), Carriers::default());
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    let (mut now, mut asked) = (0, 0);
    while now < 20_000 {
        now += 50;
        if carriers.choose(&all, at(now), rng).is_some() {
            asked += 1;
            carriers.on_silent(all[0], at(now));
        }
    }
    assert!((10..=14).contains(&asked), "asked {asked} times in 20 s");
    carriers.on_carried(all[0]);
    carriers.on_silent(all[0], at(30_000));
    assert_eq!(carriers.choose(&all, at(30_250), rng), Some(all[0]));
}
