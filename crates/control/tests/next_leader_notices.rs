//! What replicas asked of all their callers, after the leader was lost.

mod common;

use common::{Host, World, heartbeat};
use rstest::rstest;
use std::time::Duration;
use topazmount_control::{
    CrashReport, FleetRequest, FleetResponse, FleetView, GatewayReport, NoticeKind, ReplicaNotice,
    Request, Response, SeenVersions, WatchRequest,
};

/// Time within which a group without a leader has one.
const ELECTION: Duration = Duration::from_secs(6);

fn watch(world: &mut World, host: Host, notices: Vec<ReplicaNotice>) -> Option<FleetView> {
    let gateway = GatewayReport {
        address: "10.0.0.1:80".to_owned(),
        zone: "north".to_owned(),
        region: "here".to_owned(),
        is_ready: true,
        is_legacy: false,
    };
    let request = WatchRequest {
        gateway: Some(gateway),
        seen: SeenVersions::default(),
        accepts_packed: false,
        wants_gateways: true,
        wait: Duration::ZERO,
        crashes: CrashReport::default(),
        notices,
    };
    let token = world.request(host, Request::Fleet(FleetRequest::Watch(request)))?;
    world.run(Duration::from_millis(100));
    match world.take_response(token) {
        Some(Response::Fleet(FleetResponse::View(view))) => Some(*view),
        _ => None,
    }
}

/// Guards against a new leader that knows nothing of what gateways told its followers while there was
/// no leader.
#[test]
fn members_and_a_new_leader_have_what_gateways_reported_to_followers() {
    for seed in 0..8 {
        let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3], seed);
        world.run(ELECTION);
        let leader = world.leader().unwrap();
        world.kill(leader);
        let notice = ReplicaNotice {
            incarnation: "replica".to_owned(),
            kind: NoticeKind::Leaving,
            age: Duration::ZERO,
        };
        for follower in [1, 2, 3].into_iter().filter(|host| *host != leader) {
            let view = watch(&mut world, follower, vec![notice.clone()]);
            let (_, notices) = view.and_then(|view| view.notices).expect("a list of its own");
            assert_eq!(notices.len(), 1, "a follower passes on what it was told");
        }
        world.run(ELECTION);
        let next = world.leader().expect("the others elect a leader");
        let view = watch(&mut world, next, Vec::new()).expect("the leader responds");
        let (_, notices) = view.notices.expect("the leader sends its list");
        let kinds: Vec<NoticeKind> = notices.iter().map(|notice| notice.kind).collect();
        assert_eq!(kinds, [NoticeKind::Leaving], "seed {seed}");
    }
}

fn leaving(incarnation: &str) -> ReplicaNotice {
    ReplicaNotice {
        incarnation: incarnation.to_owned(),
        kind: NoticeKind::Leaving,
        age: Duration::ZERO,
    }
}

/// Runs for a time in which the only replica sends a heartbeat each second.
fn run_with_heartbeats(world: &mut World, counts: std::ops::Range<u64>) {
    for count in counts {
        if let Some(leader) = world.leader() {
            let request = FleetRequest::Heartbeat(heartbeat(count));
            world.request(leader, Request::Fleet(request)).expect("the leader is up");
        }
        world.run(Duration::from_secs(1));
    }
}

/// Whether each member's list of replicas says that the only replica is draining.
fn drains(world: &mut World) -> Vec<bool> {
    let is_draining = |host| {
        let view = watch(world, host, Vec::new()).expect("the member responds");
        view.instances.first().expect("the replica is registered").is_draining
    };
    [1, 2, 3].map(is_draining).to_vec()
}

/// Guards against requests of a gateway that starts beside a leader that has just started, or beside a
/// follower: neither has a list of notices.
#[rstest]
#[case::leader_killed(false)]
#[case::all_members_killed(true)]
fn a_departure_that_the_leader_heard_of_survives_members(#[case] are_all_killed: bool) {
    for seed in 0..8 {
        let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3], seed);
        world.run(ELECTION);
        run_with_heartbeats(&mut world, 1..2);
        assert_eq!(drains(&mut world), [false; 3], "seed {seed}");
        let leader = world.leader().unwrap();
        watch(&mut world, leader, vec![leaving("r#1")]);
        world.run(Duration::from_secs(1));
        for host in [1, 2, 3].into_iter().filter(|host| are_all_killed || *host == leader) {
            world.kill(host);
            world.start(host);
        }
        run_with_heartbeats(&mut world, 2..8);
        assert_eq!(drains(&mut world), [true; 3], "seed {seed}");
    }
}

/// The next incarnation of a replica that left serves again, and one without a start time is never
/// recorded.
#[rstest]
#[case::earlier_incarnation("r#0")]
#[case::later_incarnation("r#2")]
#[case::other_replica("s#1")]
#[case::no_start_time("r")]
#[case::no_number("r#x")]
fn a_departure_of_another_incarnation_changes_nothing(#[case] incarnation: &str) {
    let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3], 0);
    world.run(ELECTION);
    run_with_heartbeats(&mut world, 1..2);
    let leader = world.leader().unwrap();
    watch(&mut world, leader, vec![leaving(incarnation)]);
    world.run(Duration::from_secs(1));
    assert_eq!(drains(&mut world), [false; 3]);
}
