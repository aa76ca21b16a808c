//! The leader's list of what replicas asked of all their callers.

mod fleet_world;

use fleet_world::World;
use rstest::rstest;
use std::time::Duration;
use topazmount_admission::RequestLimit;
use topazmount_control::{
    CrashReport, FleetRequest, FleetResponse, FleetView, GatewayReport, NoticeKind, ReplicaNotice,
    Response, SeenVersions, WatchRequest,
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn limit(per_second: f64) -> NoticeKind {
    NoticeKind::Limit(Some(RequestLimit::per_second(per_second)))
}

fn notice(incarnation: &str, kind: NoticeKind, age: u64) -> ReplicaNotice {
    ReplicaNotice { incarnation: incarnation.to_owned(), kind, age: seconds(age) }
}

/// Sends a gateway's watch request with these notices.
fn watch(world: &mut World, seen: SeenVersions, notices: Vec<ReplicaNotice>) -> FleetView {
    let gateway = Some(GatewayReport {
        address: "10.0.0.1:80".to_owned(),
        zone: "north".to_owned(),
        region: "here".to_owned(),
        is_ready: true,
        is_legacy: false,
    });
    let request = WatchRequest {
        gateway,
        seen,
        accepts_packed: false,
        wants_gateways: true,
        wait: Duration::ZERO,
        crashes: CrashReport::default(),
        notices,
    };
    match world.ask(FleetRequest::Watch(request)) {
        Response::Fleet(FleetResponse::View(view)) => *view,
        other => panic!("{other:?}"),
    }
}

fn known(world: &mut World) -> Vec<ReplicaNotice> {
    let view = watch(world, SeenVersions::default(), Vec::new());
    view.notices.map(|(_, notices)| notices).unwrap_or_default()
}

fn world() -> World {
    let mut world = World::new(2);
    world.run_for(seconds(4));
    world
}

/// Guards against a gateway that starts without knowing what replicas reported before.
#[test]
fn a_starting_gateway_gets_what_others_reported() {
    let mut world = world();
    watch(&mut world, SeenVersions::default(), vec![notice("r00", NoticeKind::Leaving, 1)]);
    world.run_for(seconds(2));
    assert_eq!(known(&mut world), [notice("r00", NoticeKind::Leaving, 3)]);
}

#[rstest]
#[case::newer_after_older(&[(4.0, 5), (2.0, 1)], 2.0)]
#[case::older_after_newer(&[(2.0, 1), (4.0, 5)], 2.0)]
#[case::repeated(&[(2.0, 5), (2.0, 1)], 2.0)]
fn the_limit_received_last_holds(#[case] reports: &[(f64, u64)], #[case] expected: f64) {
    let mut world = world();
    for (per_second, age) in reports {
        let report = vec![notice("r00", limit(*per_second), *age)];
        watch(&mut world, SeenVersions::default(), report);
    }
    let kinds: Vec<NoticeKind> = known(&mut world).iter().map(|notice| notice.kind).collect();
    assert_eq!(kinds, [limit(expected)]);
}

#[test]
fn a_gateway_gets_the_list_only_after_changes() {
    let mut world = world();
    let first = watch(&mut world, SeenVersions::default(), vec![notice("r00", limit(1.0), 0)]);
    let (count, _) = first.notices.expect("the first response has the list");
    let seen = SeenVersions { notices: count, ..SeenVersions::default() };
    assert_eq!(watch(&mut world, seen, Vec::new()).notices, None);
    world.run_for(seconds(1));
    let changed = watch(&mut world, seen, vec![notice("r00", NoticeKind::Limit(None), 0)]);
    let (_, notices) = changed.notices.expect("the list has changed");
    assert_eq!(notices, [notice("r00", NoticeKind::Limit(None), 0)]);
}

#[test]
fn notices_of_unregistered_incarnations_are_dropped() {
    let mut world = world();
    let report = vec![notice("gone", limit(1.0), 0), notice("r00", limit(1.0), 0)];
    watch(&mut world, SeenVersions::default(), report);
    world.run_for(seconds(45));
    let names: Vec<String> =
        known(&mut world).into_iter().map(|notice| notice.incarnation).collect();
    assert_eq!(names, ["r00"]);
}
