//! Members of two versions in one group, as during an upgrade. Both must read messages with and
//! without field names.

mod common;

use common::{Host, World, heartbeat, legacy_build};
use std::time::Duration;
use topazmount_control::{
    Command, CrashReport, FeatureLevel, FleetCommand, FleetRequest, FleetResponse, FleetView,
    LoadedModel, Request, Response, SeenVersions, TimedCommand, WatchRequest,
};
use topazmount_types::{Instance, Start, Time};

const HOSTS: [Host; 3] = [1, 2, 3];
const ELECTION_TIME: Duration = Duration::from_secs(8);
const RESPONSE_TIME: Duration = Duration::from_millis(200);

fn send(world: &mut World, request: FleetRequest) -> Option<FleetResponse> {
    let leader = world.leader()?;
    let token = world.request(leader, Request::Fleet(request))?;
    world.run(RESPONSE_TIME);
    match world.take_response(token) {
        Some(Response::Fleet(response)) => Some(response),
        _ => None,
    }
}

fn publish(world: &mut World, version: u32) {
    world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
    let request = FleetRequest::PublishWeights { model: "model".to_owned(), version };
    for _ in 0..40 {
        if send(world, request.clone()) == Some(FleetResponse::Done) {
            return;
        }
    }
    panic!("version {version} is not accepted: {}", world.trace());
}

fn view(world: &mut World) -> Box<FleetView> {
    let watch = WatchRequest {
        gateway: None,
        seen: SeenVersions::default(),
        accepts_packed: false,
        wants_gateways: true,
        wait: Duration::ZERO,
        crashes: CrashReport::default(),
        notices: Vec::new(),
    };
    match send(world, FleetRequest::Watch(watch)) {
        Some(FleetResponse::View(view)) => view,
        other => panic!("{other:?}"),
    }
}

fn weights(world: &mut World) -> Vec<LoadedModel> {
    view(world).weights
}

fn oldest(world: &mut World) -> Vec<LoadedModel> {
    view(world).oldest_weights
}

fn instances(world: &mut World) -> Vec<Instance> {
    view(world).instances
}

/// Stops, upgrades and restarts each member in turn, and publishes versions in between.
fn replace_members_one_by_one(order: [Host; 3], is_upgrade: bool) {
    let mut world = World::new(&HOSTS);
    if is_upgrade {
        world.unnamed_fields.extend(HOSTS);
    }
    publish(&mut world, 2);
    assert!(send(&mut world, FleetRequest::Heartbeat(heartbeat(1))).is_some());
    for (step, host) in order.into_iter().enumerate() {
        world.kill(host);
        match is_upgrade {
            true => world.unnamed_fields.remove(&host),
            false => world.unnamed_fields.insert(host),
        };
        publish(&mut world, 3 + 2 * step as u32);
        world.start(host);
        publish(&mut world, 4 + 2 * step as u32);
        world.run(ELECTION_TIME);
        assert_eq!(world.voters(), 3, "{}", world.trace());
        assert!(HOSTS.into_iter().all(|host| world.is_voter(host)), "{}", world.trace());
    }
    assert_eq!(weights(&mut world), [LoadedModel { model: "model".to_owned(), version: 8 }]);
}

/// One replica leaves, one times out, and the deadline of the previous weights passes.
fn remove_replicas_and_pass_deadline(world: &mut World) {
    publish(world, 2);
    for id in ["leaves", "times-out"] {
        let mut report = heartbeat(1);
        report.instance.id = id.to_owned();
        report.instance.address = format!("{id}:1");
        assert!(send(world, FleetRequest::Heartbeat(report)).is_some());
    }
    let leave = FleetRequest::Depart("leaves".to_owned(), Start(1));
    assert!(send(world, leave).is_some());
    world.run(ELECTION_TIME * 2);
}

cases! {
    /// Legacy members stop at a command that they can't read.
    legacy_members_get_only_commands_they_can_read => {
        for legacy_builds in [vec![1], vec![3], vec![2, 3]] {
            let mut world = World::new(&HOSTS);
            world.legacy_builds.extend(legacy_builds.clone());
            remove_replicas_and_pass_deadline(&mut world);
            assert!(world.unreadable_commands.is_empty(), "{legacy_builds:?}: {:?}", world.unreadable_commands);
            assert!(instances(&mut world).is_empty(), "{}", world.trace());
        }
    }

    /// A member may be downgraded to a legacy build after its group was founded.
    legacy_builds_can_read_the_state_of_a_founding_member => {
        let mut world = World::new(&HOSTS);
        world.kill(1);
        assert_eq!(legacy_build::unreadable_state(world.disk(1)), None);
    }

    /// Once all members can apply newer commands, this holds while one of them is down.
    newer_commands_wait_only_for_the_last_member => {
        let mut world = World::new(&HOSTS);
        world.legacy_builds.insert(3);
        remove_replicas_and_pass_deadline(&mut world);
        assert!(oldest(&mut world).is_empty(), "no weights are retired in the log");
        world.legacy_builds.clear();
        publish(&mut world, 3);
        world.run(ELECTION_TIME * 2);
        assert_eq!(oldest(&mut world)[0].version, 3);
        world.kill(3);
        publish(&mut world, 4);
        world.run(ELECTION_TIME * 2);
        assert_eq!(oldest(&mut world)[0].version, 4);
    }

    an_upgrade_in_any_order_keeps_accepted_changes => {
        for order in [[1, 2, 3], [3, 1, 2], [2, 3, 1]] {
            replace_members_one_by_one(order, true);
        }
    }

    a_downgrade_keeps_accepted_changes => {
        for order in [[1, 2, 3], [3, 2, 1]] {
            replace_members_one_by_one(order, false);
        }
    }

    /// A member with a lost disk gets a snapshot from a member of either version.
    a_lost_disk_is_restored_by_members_of_either_version => {
        for unnamed_fields in [vec![1], vec![2, 3], vec![1, 3]] {
            let mut world = World::new(&HOSTS);
            world.unnamed_fields.extend(unnamed_fields.clone());
            publish(&mut world, 2);
            world.wipe(3);
            world.start(3);
            world.run(ELECTION_TIME);
            assert!(world.is_voter(3), "members without field names {unnamed_fields:?}: {}", world.trace());
            publish(&mut world, 3);
            assert_eq!(weights(&mut world)[0].version, 3);
        }
    }

    /// Log entries of legacy builds have no field names.
    commands_without_field_names_are_read => {
        let command = TimedCommand {
            at: Time::from_secs(5),
            command: Command::Fleet(FleetCommand::PublishWeights { model: "m".to_owned(), version: 4 }),
            level: FeatureLevel::INITIAL,
        };
        for bytes in [rmp_serde::to_vec(&command), rmp_serde::to_vec_named(&command)] {
            assert_eq!(rmp_serde::from_slice::<TimedCommand>(&bytes.unwrap()).unwrap(), command);
        }
    }
}
