//! Replicas that restart under their identifier.

mod fleet_world;

use fleet_world::{Behavior, DEADLINE, HEARTBEAT, LEASE, MODEL, STEP, World};
use std::time::Duration;
use topazmount_control::{
    ActionReport, Availability, FleetRequest, InstanceStatus, OrderOutcome, RecordChange,
    ReportSource,
};
use topazmount_types::Start;

/// Time for which a replica is down during a restart.
const DOWN: Duration = Duration::from_millis(400);
/// Starts of the replicas' first and second incarnation, in milliseconds.
const FIRST_START: u64 = 1_000_000;
const SECOND_START: u64 = 1_020_000;

/// 12 replicas with version 2, at the end of its roll-out.
fn world_on_second_version() -> World {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), FIRST_START + number));
    world.run_for(Duration::from_secs(10));
    world.publish(2);
    world.run_for(DEADLINE);
    assert!(world.replicas.values().all(|replica| replica.version == 2));
    world
}

/// Weights loaded by an earlier incarnation must not be assumed for the next one, which would get
/// no order.
#[test]
fn replicas_restarted_with_older_weights_load_the_newest_again() {
    let mut world = world_on_second_version();
    let orders_before = world.orders.len();
    let restarted = ["r00", "r01", "r02", "r03"];
    restarted.iter().for_each(|id| world.replicas.get_mut(*id).unwrap().is_silent = true);
    world.run_for(DOWN);
    restarted.iter().for_each(|id| world.restart(id, SECOND_START, 1));
    world.run_for(Duration::from_millis(100));
    for id in restarted {
        let status = world.status(id);
        assert_eq!(status.models[0].version, 1, "version reported by {id}");
        assert_eq!(status.availability, Availability::Excluded, "{id} is outdated");
    }
    world.run_for(DEADLINE);
    let versions: Vec<u32> = restarted.iter().map(|id| world.replicas[*id].version).collect();
    assert_eq!(versions, [2; 4], "{} orders", world.orders.len() - orders_before);
}

/// The next incarnation may carry out an unacknowledged order if its sequence matches. The older
/// weights must be detected and replaced.
#[test]
fn a_delayed_order_carried_out_by_the_next_incarnation_is_corrected() {
    let mut world = world_on_second_version();
    // Its second order, which expects one before, is delayed.
    world.replicas.get_mut("r05").unwrap().behavior = Behavior::LateOnce;
    world.publish(3);
    while world.replicas["r05"].late.is_none() {
        world.run_for(Duration::from_millis(10));
    }
    let (order, _) = world.replicas.get_mut("r05").unwrap().late.take().unwrap();
    assert_eq!((order.version, order.expected_sequence), (3, 1));
    world.restart("r05", SECOND_START, 1);
    world.publish(4);
    world.run_for(DEADLINE);
    let now = world.now;
    let replica = world.replicas.get_mut("r05").unwrap();
    assert_eq!((replica.version, replica.sequence), (4, 1), "one order to this incarnation");
    assert_eq!(replica.carry_out(now, &order), OrderOutcome::Accepted, "the sequence matches");
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.replicas["r05"].version, 3);
    world.run_for(DEADLINE);
    assert_eq!(world.replicas["r05"].version, 4);
    let status = world.status("r05");
    assert_eq!((status.models[0].version, status.start), (4, Start(SECOND_START)));
    assert!(status.correction.1 > 0, "gateways revert the recorded version");
    let reverted = world.weights_events.iter().find(|event| event.change == RecordChange::Reverted);
    let event = reverted.expect("an event reports it");
    assert_eq!((event.before, event.reported, event.start), (Some(4), 3, Start(SECOND_START)));
    assert_eq!(event.source, ReportSource::Query);
}

/// The result arrives while the next incarnation waits for an order.
#[test]
fn the_result_of_an_order_to_an_earlier_incarnation_is_ignored() {
    let mut world = world_on_second_version();
    world.replicas.get_mut("r07").unwrap().behavior = Behavior::Refuses;
    world.restart("r07", SECOND_START, 1);
    world.run_for(HEARTBEAT);
    for end in [OrderOutcome::AlreadyLoaded, OrderOutcome::Fenced, OrderOutcome::Accepted] {
        let report = ActionReport::Order("r07".to_owned(), Start(FIRST_START + 7), end);
        world.send(FleetRequest::ActionEnded(report));
        world.run_for(Duration::from_millis(100));
        assert_eq!(world.status("r07").models[0].version, 1, "{end:?}");
    }
    world.replicas.get_mut("r07").unwrap().behavior = Behavior::Normal;
    world.run_for(DEADLINE);
    assert_eq!(world.replicas["r07"].version, 2);
}

/// Heartbeats out of order, also of the earlier incarnation, neither raise nor lower recorded
/// versions.
#[test]
fn delayed_heartbeats_do_not_change_the_weights_record() {
    let mut world = world_on_second_version();
    let earlier = world.next_heartbeat("r03");
    world.restart("r03", SECOND_START, 1);
    let first = world.next_heartbeat("r03");
    world.run_for(DEADLINE);
    assert_eq!(world.replicas["r03"].version, 2);
    let (orders, weights_events) = (world.orders.len(), world.weights_events.len());
    for late in [earlier, first] {
        world.send(FleetRequest::Heartbeat(late));
        let status = world.status("r03");
        assert_eq!((status.models[0].version, status.start), (2, Start(SECOND_START)));
    }
    world.run_for(DEADLINE);
    assert_eq!(world.orders.len(), orders, "no order follows");
    assert_eq!(world.weights_events.len(), weights_events, "no changes of the record");
}

/// Without a start, heartbeats raise versions, and a query response may lower them.
#[test]
fn a_reverted_replica_without_a_start_is_queried_and_ordered_again() {
    let mut world = World::new(6);
    world.run_for(Duration::from_secs(10));
    world.publish(2);
    world.run_for(DEADLINE);
    world.restart("r02", 0, 1);
    world.run_for(DEADLINE);
    assert_eq!(world.replicas["r02"].version, 2);
}

/// A new leader must not make a replica available that its predecessor excluded.
#[test]
fn a_new_leader_sends_no_status_of_replicas_without_a_heartbeat() {
    let mut world = world_on_second_version();
    world.replicas.get_mut("r01").unwrap().is_silent = true;
    world.change_leader();
    world.run_for(Duration::from_secs(3));
    let (_, statuses) = world.view().statuses.unwrap();
    assert_eq!(statuses.len(), 11);
    assert!(statuses.iter().all(|status| status.id != "r01"));
}

/// A new leader must not allow requests on weights whose deadline passed under its predecessor.
#[test]
fn outdated_weights_stay_excluded_after_a_leader_change() {
    let mut world = world_on_second_version();
    world.run_for(DEADLINE);
    world.change_leader();
    world.add_started("late", SECOND_START);
    // It leads again, and may give no orders for a lease.
    world.run_for(HEARTBEAT * 2);
    let status = world.status("late");
    assert_eq!(status.models[0].version, 1);
    assert_eq!(status.availability, Availability::Excluded);
    world.run_for(DEADLINE);
    assert_eq!(world.replicas["late"].version, 2);
    assert_eq!(world.status("late").availability, Availability::Available);
}

/// Half of the replicas ignore orders until the deadline passes; then all members restart. Gateways
/// must be told at once that version 1 is retired.
#[test]
fn outdated_replicas_are_never_reported_available_after_a_restart_of_all_members() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), FIRST_START));
    world.run_for(Duration::from_secs(10));
    let outdated: Vec<String> = (0..6).map(|number| format!("r{number:02}")).collect();
    outdated
        .iter()
        .for_each(|id| world.replicas.get_mut(id).unwrap().behavior = Behavior::IgnoresOrders);
    world.publish(2);
    world.run_for(DEADLINE);
    assert_eq!(world.replicas.values().filter(|replica| replica.version == 1).count(), 6);
    world.change_leader();
    while world.leader_since.is_none() {
        world.run_for(STEP);
    }
    let end = world.now + LEASE + HEARTBEAT * 2;
    while world.now < end {
        let view = world.view();
        let oldest = view.oldest_weights.iter().find(|replica| replica.model == MODEL);
        assert_eq!(oldest.map(|replica| replica.version), Some(2));
        let (_, statuses) = view.statuses.unwrap();
        let is_outdated_and_available = |status: &&InstanceStatus| {
            status.availability != Availability::Excluded
                && status.models.iter().any(|loaded| loaded.version < 2)
        };
        assert_eq!(statuses.iter().filter(is_outdated_and_available).count(), 0);
        world.run_for(STEP);
    }
    outdated.iter().for_each(|id| world.replicas.get_mut(id).unwrap().behavior = Behavior::Normal);
    world.run_for(DEADLINE * 2);
    assert!(world.replicas.values().all(|replica| replica.version == 2));
}
