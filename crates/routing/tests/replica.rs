//! When a declared replica takes new work.

use std::time::Duration;
use topazmount_routing::{ReplicaDescription, ReplicaState};
use topazmount_types::{Incarnation, ReplicaId, Time, WeightsVersion, ZoneId};

const NOW: Time = Time::from_secs(100);
const WEIGHTS: WeightsVersion = WeightsVersion(1);

fn replica() -> ReplicaState {
    let description = ReplicaDescription { id: ReplicaId(1), zone: ZoneId(1), models: Vec::new() };
    let mut replica = ReplicaState::new(description);
    replica.observe_incarnation(Incarnation(1));
    replica
}

#[test]
fn one_that_asked_for_rest_takes_nothing_until_the_latest_end_that_it_named() {
    let mut replica = replica();
    replica.back_off(Duration::from_secs(2), NOW);
    replica.back_off(Duration::from_secs(1), NOW);
    let end = NOW + Duration::from_secs(2);
    assert!(!replica.is_available(WEIGHTS, end - Duration::from_millis(1)));
    assert!(replica.is_available(WEIGHTS, end));
}

#[test]
fn no_word_takes_it_away_for_good_and_a_restart_ends_it() {
    let mut replica = replica();
    replica.back_off(Duration::MAX, NOW);
    assert!(!replica.is_available(WEIGHTS, NOW + Duration::from_secs(59)));
    assert!(replica.is_available(WEIGHTS, NOW + Duration::from_secs(60)));
    replica.back_off(Duration::MAX, NOW);
    replica.observe_incarnation(Incarnation(2));
    assert!(replica.is_available(WEIGHTS, NOW));
}
