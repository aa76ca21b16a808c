//! A member that was out of touch while a version was named, and leads next.

mod common;

use common::{Host, World};
use std::time::Duration;
use topazmount_control::{
    Availability, CrashReport, FleetRequest, FleetResponse, Request, Response, SeenVersions,
    WatchRequest,
};

const MOMENT: Duration = Duration::from_millis(100);

fn ask(world: &mut World, request: FleetRequest) -> Option<FleetResponse> {
    let leader = world.leader();
    let asked = leader.and_then(|leader| world.ask(leader, Request::Fleet(request)));
    world.run(MOMENT);
    match world.answer(asked?) {
        Some(Response::Fleet(response)) => Some(response),
        _ => None,
    }
}

fn heartbeat(world: &mut World, count: u64) {
    ask(world, FleetRequest::Heartbeat(common::heartbeat(count)));
}

/// When the member is back, after the naming.
const HEALED: Duration = Duration::from_secs(5);

#[test]
fn a_leader_that_was_out_of_touch_when_a_version_was_named_bars_a_bound_after_it_is_back() {
    let hosts: [Host; 3] = [1, 2, 3];
    let mut world = World::found(&hosts);
    world.until("a leader", Duration::from_secs(8), |world| world.leader().is_some());
    heartbeat(&mut world, 1);
    world.run(Duration::from_secs(2));
    let first = world.leader().unwrap();
    let late = hosts.into_iter().find(|host| *host != first).unwrap();
    for host in hosts.into_iter().filter(|host| *host != late) {
        world.cut(late, host);
    }
    let name = FleetRequest::PublishWeights { model: "model".to_owned(), version: 2 };
    assert_eq!(ask(&mut world, name), Some(FleetResponse::Done));
    let mut after = Duration::ZERO;
    let mut count = 1;
    let mut has_healed = false;
    let mut is_over = false;
    while after < Duration::from_secs(30) {
        count += 1;
        heartbeat(&mut world, count);
        let watch = WatchRequest {
            gateway: None,
            seen: SeenVersions::default(),
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: CrashReport::default(),
        };
        if let Some(FleetResponse::View(view)) = ask(&mut world, FleetRequest::Watch(watch))
            && let Some((_, statuses)) = view.statuses
            && statuses.first().map(|one| one.availability) == Some(Availability::Excluded)
        {
            println!(
                "barred {after:?} after it was named; led by the late one: {}",
                world.leader() == Some(late)
            );
            // The bound counts while the group is calm: from the heal on.
            assert!(after <= HEALED + Duration::from_secs(8), "{after:?}");
            return;
        }
        after += MOMENT * 2;
        if after >= HEALED && !has_healed {
            world.heal();
            has_healed = true;
        }
        if after >= Duration::from_millis(6_000) && !is_over {
            world.kill(first);
            is_over = true;
        }
    }
    panic!("never barred");
}
