//! A member and its fleet: heartbeats, updates and the roll-out of weights, on a virtual clock.

mod fleet_world;

use fleet_world::{Behavior, DEADLINE, HEARTBEAT, LEASE, STEP, World, instance};
use std::time::Duration;
use topazmount_control::{
    Availability, FleetRequest, FleetResponse, InstanceReport, Response, SeenVersions,
};
use topazmount_types::Instance;

#[test]
fn published_versions_are_loaded_before_the_deadline_with_few_concurrent_loads() {
    for replicas in [3, 12, 18, 40] {
        let mut world = World::new(replicas);
        world.run_for(Duration::from_secs(10));
        let mut published = Vec::new();
        for version in 2..=5 {
            world.publish(version);
            published.push((version, world.now));
            world.run_for(Duration::from_millis(3_200));
        }
        let mut due = published.into_iter().peekable();
        let end = world.now + Duration::from_secs(10);
        while world.now < end {
            world.run_for(STEP);
            while let Some((version, _)) = due.next_if(|(_, at)| world.now >= *at + DEADLINE) {
                let oldest = world.replicas.values().map(|replica| replica.version).min();
                assert!(oldest >= Some(version), "{replicas} replicas: {oldest:?} < {version}");
            }
        }
        let max_orders = replicas * 4;
        assert!(world.orders.len() < max_orders, "{} orders for {replicas}", world.orders.len());
        let at_once = replicas.div_ceil(6);
        assert!(world.max_loading <= at_once, "{} loaded at once", world.max_loading);
    }
}

#[test]
fn a_new_leader_waits_for_the_lease_of_its_predecessor() {
    let mut world = World::new(3);
    world.run_for(Duration::from_secs(2));
    world.publish(2);
    world.run_for(Duration::from_secs(8));
    let first = world.orders.first().unwrap().0;
    let leader_since = world.leader_since.unwrap();
    assert!(first >= leader_since + LEASE, "{first} is less than a lease after {leader_since}");
}

#[test]
fn a_delayed_order_does_not_revert_a_replica() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    world.add("late", Behavior::LateOnce);
    world.run_for(Duration::from_secs(2));
    for version in 2..=4 {
        world.publish(version);
        world.run_for(Duration::from_millis(3_000));
    }
    world.run_for(Duration::from_secs(12));
    let seen = &world.replicas["late"].loaded_versions;
    assert!(seen.is_sorted(), "{seen:?}");
    assert_eq!(world.replicas["late"].version, 4);
}

/// A leader refused for its fence must not use that fence again.
#[test]
fn a_fenced_leader_sends_no_further_orders() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    world.add("fenced", Behavior::Fences);
    world.run_for(Duration::from_secs(2));
    world.publish(2);
    world.run_for(Duration::from_secs(12));
    let orders = world.orders.iter().filter(|(_, order)| order.instance == "fenced").count();
    assert_eq!(orders, 1);
    assert_eq!(world.status("fenced").availability, Availability::Excluded);
    assert!(["r00", "r01"].iter().all(|id| world.replicas[*id].version == 2));
}

#[test]
fn a_replica_with_outdated_weights_is_excluded_in_time() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    world.add("stubborn", Behavior::Refuses);
    world.run_for(Duration::from_secs(2));
    world.publish(2);
    let published_at = world.now;
    while world.now < published_at + DEADLINE - Duration::from_millis(1_400) {
        world.run_for(STEP);
    }
    assert_eq!(world.status("stubborn").availability, Availability::Excluded);
    assert_eq!(world.status("r00").availability, Availability::Available);
}

/// A returning replica must not be sent to gateways without its weights, or they route requests to
/// outdated weights.
#[test]
fn a_returning_replica_is_sent_with_its_status() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    // A replica without heartbeats takes no orders.
    let silent = world.replicas.get_mut("r01").unwrap();
    silent.is_silent = true;
    silent.behavior = Behavior::Refuses;
    world.publish(2);
    world.run_for(Duration::from_secs(9));
    assert!(!world.member.state().fleet.instances().contains_key("r01"), "it timed out");
    let seen = SeenVersions { revision: world.view().revision, ..SeenVersions::default() };
    world.replicas.get_mut("r01").unwrap().is_silent = false;
    world.heartbeat("r01");
    let revision = world.member.state().fleet.revision();
    assert!(revision > seen.revision, "it is registered");
    let status = world.status("r01");
    assert_eq!(status.models[0].version, 1);
    assert_eq!(status.availability, Availability::Excluded);
    // Ticks in between must not drop the status.
    world.run_for(HEARTBEAT / 2);
    assert_eq!(world.status("r01").models.len(), 1);
}

#[test]
fn updates_are_sent_at_once_and_empty_responses_after_the_wait() {
    let mut world = World::new(1);
    world.run_for(Duration::from_secs(4));
    let view = world.view();
    let seen = SeenVersions {
        revision: view.revision,
        statuses: view.statuses.unwrap().0,
        ..SeenVersions::default()
    };
    let token = world.watch(seen, Duration::from_millis(400));
    world.run_for(Duration::from_millis(300));
    assert!(!world.responses.contains_key(&token), "there is no update yet");
    world.run_for(Duration::from_millis(120));
    assert!(world.responses.remove(&token).is_some(), "the wait is over");
    let token = world.watch(seen, Duration::from_millis(400));
    world.add("new", Behavior::Normal);
    world.heartbeat("new");
    let Some(Response::Fleet(FleetResponse::View(view))) = world.responses.remove(&token) else {
        panic!("no update with the new replica");
    };
    assert_eq!(view.instances.len(), 1);
    assert_eq!(view.staleness, Some(Duration::ZERO));
}

/// The replacing replica's heartbeats continue, and nothing of the replaced one is applied to it.
#[test]
fn a_delayed_heartbeat_of_a_replaced_replica_changes_nothing() {
    let mut world = World::new(0);
    world.run_for(Duration::from_secs(4));
    let heartbeat = |id: &str| {
        let instance = Instance { address: "one:1".to_owned(), ..instance(id) };
        FleetRequest::Heartbeat(InstanceReport { instance, models: Vec::new(), sequence: 0 })
    };
    assert_eq!(world.ask(heartbeat("old")), Response::Fleet(FleetResponse::Done));
    world.run_for(Duration::from_secs(6));
    assert!(world.member.state().fleet.instances().is_empty(), "it timed out");
    assert_eq!(world.ask(heartbeat("new")), Response::Fleet(FleetResponse::Done));
    let revision = world.member.state().fleet.revision();
    for _ in 0..3 {
        assert_eq!(world.ask(heartbeat("old")), Response::Fleet(FleetResponse::Superseded));
        assert_eq!(world.ask(heartbeat("new")), Response::Fleet(FleetResponse::Done));
        world.run_for(Duration::from_secs(2));
    }
    assert_eq!(world.member.state().fleet.revision(), revision);
    assert!(world.member.state().fleet.instances().contains_key("new"));
}

#[test]
fn draining_is_acknowledged_once_committed() {
    let mut world = World::new(1);
    world.run_for(Duration::from_secs(4));
    let draining = Instance { is_draining: true, ..instance("r00") };
    let report = InstanceReport { instance: draining, models: Vec::new(), sequence: 0 };
    let response = world.ask(FleetRequest::Heartbeat(report));
    assert_eq!(response, Response::Fleet(FleetResponse::Done));
    assert!(world.member.state().fleet.instances()["r00"].is_draining);
}

/// Replicas that ignore orders must not keep their loading slots, or the others miss the deadline.
#[test]
fn replicas_that_ignore_orders_do_not_delay_others() {
    let mut world = World::new(12);
    for id in ["r00", "r01", "r02"] {
        world.replicas.get_mut(id).unwrap().behavior = Behavior::IgnoresOrders;
    }
    world.run_for(Duration::from_secs(10));
    world.publish(2);
    world.run_for(DEADLINE);
    let outdated: Vec<&String> = world
        .replicas
        .iter()
        .filter(|(_, replica)| replica.version < 2)
        .map(|(id, _)| id)
        .collect();
    assert_eq!(outdated, ["r00", "r01", "r02"]);
    for id in ["r00", "r01", "r02"] {
        world.replicas.get_mut(id).unwrap().behavior = Behavior::Normal;
    }
    world.run_for(Duration::from_secs(5));
    assert!(world.replicas.values().all(|replica| replica.version == 2), "they get further orders");
}

/// A new leader can't order loads for a lease, so versions found in its log count as published at
/// its start.
#[test]
fn a_restarted_leader_excludes_outdated_weights_only_after_a_full_deadline() {
    let mut world = World::new(3);
    world.run_for(Duration::from_secs(10));
    for replica in world.replicas.values_mut() {
        replica.behavior = Behavior::Refuses;
    }
    world.publish(2);
    world.run_for(Duration::from_secs(5));
    world.change_leader();
    let started_at = world.now;
    while world.now < started_at + DEADLINE - Duration::from_secs(2) {
        world.run_for(STEP);
        let statuses = world.view().statuses.map(|(_, statuses)| statuses).unwrap_or_default();
        assert!(statuses.iter().all(|entry| entry.availability != Availability::Excluded));
    }
    while world.now < started_at + DEADLINE {
        world.run_for(STEP);
    }
    for id in ["r00", "r01", "r02"] {
        assert_eq!(world.status(id).availability, Availability::Excluded, "{id}");
    }
}
