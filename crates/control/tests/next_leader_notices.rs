//! What replicas asked of all their callers, after the leader was lost.

mod common;

use common::{Host, World};
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
