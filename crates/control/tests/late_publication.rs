//! A member that was cut off during a publication becomes the leader.

mod common;

use common::{Host, World};
use std::time::Duration;
use topazmount_control::{
    Availability, CrashReport, FleetRequest, FleetResponse, Request, Response, SeenVersions,
    WatchRequest,
};

const RESPONSE_TIME: Duration = Duration::from_millis(100);

fn request(world: &mut World, request: FleetRequest) -> Option<FleetResponse> {
    let leader = world.leader();
    let token = leader.and_then(|leader| world.request(leader, Request::Fleet(request)));
    world.run(RESPONSE_TIME);
    match world.take_response(token?) {
        Some(Response::Fleet(response)) => Some(response),
        _ => None,
    }
}

fn heartbeat(world: &mut World, count: u64) {
    request(world, FleetRequest::Heartbeat(common::heartbeat(count)));
}

/// Time from the publication to the end of the cut.
const RECONNECTED_AFTER: Duration = Duration::from_secs(5);

#[test]
fn a_leader_that_missed_a_publication_excludes_a_deadline_after_reconnecting() {
    let hosts: [Host; 3] = [1, 2, 3];
    let mut world = World::new(&hosts);
    world.run_until("a leader", Duration::from_secs(8), |world| world.leader().is_some());
    heartbeat(&mut world, 1);
    world.run(Duration::from_secs(2));
    let first = world.leader().unwrap();
    let isolated = hosts.into_iter().find(|host| *host != first).unwrap();
    for host in hosts.into_iter().filter(|host| *host != isolated) {
        world.cut(isolated, host);
    }
    let publish = FleetRequest::PublishWeights { model: "model".to_owned(), version: 2 };
    assert_eq!(request(&mut world, publish), Some(FleetResponse::Done));
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
            accepts_packed: false,
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: CrashReport::default(),
            notices: Vec::new(),
        };
        if let Some(FleetResponse::View(view)) = request(&mut world, FleetRequest::Watch(watch))
            && let Some((_, statuses)) = view.statuses
            && statuses.first().map(|status| status.availability) == Some(Availability::Excluded)
        {
            println!(
                "excluded {after:?} after the publication; led by the isolated member: {}",
                world.leader() == Some(isolated)
            );
            // The deadline counts from the end of the cut.
            assert!(after <= RECONNECTED_AFTER + Duration::from_secs(8), "{after:?}");
            return;
        }
        after += RESPONSE_TIME * 2;
        if after >= RECONNECTED_AFTER && !has_healed {
            world.heal();
            has_healed = true;
        }
        if after >= Duration::from_millis(6_000) && !is_over {
            world.kill(first);
            is_over = true;
        }
    }
    panic!("the replica was never excluded");
}
