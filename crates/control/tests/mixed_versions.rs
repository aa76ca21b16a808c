//! Members of two versions side by side, as during an upgrade: some send fields with their names, some, the older ones,
//! without.
//!
//! What happens: an operator upgrades one member after the other; until the last is done both kinds answer one another. A message with a
//! field more than its reader knows was refused as a whole, so that no field could ever be added without stopping all. Both kinds are read
//! now, and with names a field that is not known is passed over (`a_field_more_or_less_is_passed_over` in `crates/wire`).

mod common;

use common::{Host, World, first_build, heartbeat};
use std::time::Duration;
use topazmount_control::{
    Command, CrashReport, FeatureLevel, FleetCommand, FleetRequest, FleetResponse, FleetView,
    LoadedModel, Request, Response, SeenVersions, TimedCommand, WatchRequest,
};
use topazmount_types::{Instance, Start, Time};

const HOSTS: [Host; 3] = [1, 2, 3];
const SETTLING: Duration = Duration::from_secs(8);
const MOMENT: Duration = Duration::from_millis(200);

fn ask(world: &mut World, request: FleetRequest) -> Option<FleetResponse> {
    let leader = world.leader()?;
    let asked = world.ask(leader, Request::Fleet(request))?;
    world.run(MOMENT);
    match world.answer(asked) {
        Some(Response::Fleet(response)) => Some(response),
        _ => None,
    }
}

fn name(world: &mut World, version: u32) {
    world.until("a leader", SETTLING, |world| world.leader().is_some());
    let request = FleetRequest::PublishWeights { model: "model".to_owned(), version };
    for _ in 0..40 {
        if ask(world, request.clone()) == Some(FleetResponse::Done) {
            return;
        }
    }
    panic!("version {version} is not taken: {}", world.told());
}

fn view(world: &mut World) -> Box<FleetView> {
    let watch = WatchRequest {
        gateway: None,
        seen: SeenVersions::default(),
        wants_gateways: true,
        wait: Duration::ZERO,
        crashes: CrashReport::default(),
    };
    match ask(world, FleetRequest::Watch(watch)) {
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

/// Each member in turn is stopped, upgraded and started; a version is named while both kinds are there, whoever leads.
fn upgraded_one_by_one(order: [Host; 3], is_upgrade: bool) {
    let mut world = World::found(&HOSTS);
    if is_upgrade {
        world.nameless.extend(HOSTS);
    }
    name(&mut world, 2);
    assert!(ask(&mut world, FleetRequest::Heartbeat(heartbeat(1))).is_some());
    for (step, host) in order.into_iter().enumerate() {
        world.kill(host);
        match is_upgrade {
            true => world.nameless.remove(&host),
            false => world.nameless.insert(host),
        };
        name(&mut world, 3 + 2 * step as u32);
        world.start(host);
        name(&mut world, 4 + 2 * step as u32);
        world.run(SETTLING);
        assert_eq!(world.voters(), 3, "{}", world.told());
        assert!(HOSTS.into_iter().all(|host| world.is_voter(host)), "{}", world.told());
    }
    assert_eq!(weights(&mut world), [LoadedModel { model: "model".to_owned(), version: 8 }]);
}

/// A replica says that it leaves, another one falls silent, and the bound on the weights of before passes.
fn replicas_come_and_go(world: &mut World) {
    name(world, 2);
    for id in ["leaves", "falls-silent"] {
        let mut report = heartbeat(1);
        report.instance.id = id.to_owned();
        report.instance.address = format!("{id}:1");
        assert!(ask(world, FleetRequest::Heartbeat(report)).is_some());
    }
    let leave = FleetRequest::Depart("leaves".to_owned(), Start(1));
    assert!(ask(world, leave).is_some());
    world.run(SETTLING * 2);
}

cases! {
    /// Members of the first builds end where they meet a command that they can't read.
    a_member_of_the_first_builds_is_sent_commands_that_it_can_not_read => {
        for first_builds in [vec![1], vec![3], vec![2, 3]] {
            let mut world = World::found(&HOSTS);
            world.first_builds.extend(first_builds.clone());
            replicas_come_and_go(&mut world);
            assert!(world.unreadable.is_empty(), "{first_builds:?}: {:?}", world.unreadable);
            assert!(instances(&mut world).is_empty(), "{}", world.told());
        }
    }

    /// A member that goes back to one of the first builds opens what the newer one left.
    the_state_of_a_founding_member_can_not_be_read_by_the_first_builds => {
        let mut world = World::found(&HOSTS);
        world.kill(1);
        assert_eq!(first_build::unreadable_state(world.disk(1)), None);
    }

    /// Once all members are of newer builds, it stays so while one of them is down.
    newer_kinds_of_commands_wait_for_the_last_member_only => {
        let mut world = World::found(&HOSTS);
        world.first_builds.insert(3);
        replicas_come_and_go(&mut world);
        assert!(oldest(&mut world).is_empty(), "the bound is not over in the log");
        world.first_builds.clear();
        name(&mut world, 3);
        world.run(SETTLING * 2);
        assert_eq!(oldest(&mut world)[0].version, 3);
        world.kill(3);
        name(&mut world, 4);
        world.run(SETTLING * 2);
        assert_eq!(oldest(&mut world)[0].version, 4);
    }

    an_upgrade_in_any_order_keeps_what_was_accepted => {
        for order in [[1, 2, 3], [3, 1, 2], [2, 3, 1]] {
            upgraded_one_by_one(order, true);
        }
    }

    a_downgrade_too => {
        for order in [[1, 2, 3], [3, 2, 1]] {
            upgraded_one_by_one(order, false);
        }
    }

    /// A member whose disk was lost is sent a snapshot, by a member of either kind.
    a_lost_disk_is_made_up_for_among_both_kinds => {
        for nameless in [vec![1], vec![2, 3], vec![1, 3]] {
            let mut world = World::found(&HOSTS);
            world.nameless.extend(nameless.clone());
            name(&mut world, 2);
            world.wipe(3);
            world.start(3);
            world.run(SETTLING);
            assert!(world.is_voter(3), "nameless {nameless:?}: {}", world.told());
            name(&mut world, 3);
            assert_eq!(weights(&mut world)[0].version, 3);
        }
    }

    /// Entries of a log without names of fields, as older versions wrote them, are read.
    commands_without_names_of_fields_are_read => {
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
