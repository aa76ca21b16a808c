//! Availability of a replica during and after a backoff.

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
fn a_replica_is_unavailable_until_the_latest_backoff_ends() {
    let mut replica = replica();
    replica.back_off(Duration::from_secs(2), NOW);
    replica.back_off(Duration::from_secs(1), NOW);
    let end = NOW + Duration::from_secs(2);
    assert!(!replica.is_available(WEIGHTS, end - Duration::from_millis(1)));
    assert!(replica.is_available(WEIGHTS, end));
}

#[test]
fn a_backoff_is_bounded_and_ends_with_a_restart() {
    let mut replica = replica();
    replica.back_off(Duration::MAX, NOW);
    assert!(!replica.is_available(WEIGHTS, NOW + Duration::from_secs(59)));
    assert!(replica.is_available(WEIGHTS, NOW + Duration::from_secs(60)));
    replica.back_off(Duration::MAX, NOW);
    replica.observe_incarnation(Incarnation(2));
    assert!(replica.is_available(WEIGHTS, NOW));
}
