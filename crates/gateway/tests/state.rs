//! What a gateway may do with its catalog and replica list, and for how long.

mod common;

use common::{catalog, instance, parts};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::FleetView;
use topazmount_gateway::{Catalog, GatewaySettings, GatewayState, SplitPart};
use topazmount_types::{ErrorKind, Time};

const START: Time = Time::from_secs(1_000);
const BOUND: Duration = Duration::from_secs(5);

fn state() -> GatewayState {
    let settings =
        GatewaySettings { max_revocation_delay: Some(BOUND), ..GatewaySettings::default() };
    GatewayState::new("north", settings, 1)
}

fn view(staleness: Option<Duration>) -> FleetView {
    FleetView { staleness, ..FleetView::default() }
}

fn admit(state: &mut GatewayState, path: &str, key: &str, now: Time) -> Result<String, ErrorKind> {
    let admission = state.admit("shop.example", path, Some(key), now)?;
    Ok(admission.route.name)
}

#[rstest]
#[case("/a/x", "key-1", Ok("short"))]
#[case("/none/", "key-1", Err(ErrorKind::NotFound))]
#[case("/a/x", "other", Err(ErrorKind::Unauthenticated))]
fn a_confirmed_gateway_follows_the_catalog(
    #[case] path: &str,
    #[case] key: &str,
    #[case] expected: Result<&str, ErrorKind>,
) {
    let mut state = state();
    state.apply(&view(Some(Duration::ZERO)), Some(catalog(1)), START);
    assert_eq!(admit(&mut state, path, key, START), expected.map(str::to_owned));
}

#[test]
fn a_gateway_without_catalog_reports_a_missing_configuration() {
    let mut state = state();
    assert_eq!(admit(&mut state, "/a/x", "key-1", START), Err(ErrorKind::NoConfiguration));
    assert!(!state.is_confirmed(START));
}

/// The retry delay grows with the outage, so that clients retry rarely, and restarts with the next
/// outage.
#[test]
fn the_retry_delay_grows_with_the_outage() {
    let mut state = state();
    let millis = Duration::from_millis;
    let wait = |state: &mut GatewayState, after: u64| {
        state.retry_after(ErrorKind::NoConfiguration, START + millis(after))
    };
    assert_eq!(wait(&mut state, 0), millis(250));
    assert_eq!(wait(&mut state, 600), millis(850));
    assert_eq!(wait(&mut state, 60_000), millis(2_000));
    assert_eq!(state.retry_after(ErrorKind::NoReplica, START), millis(250));
    state.apply(&view(Some(Duration::ZERO)), Some(catalog(1)), START + millis(61_000));
    assert_eq!(wait(&mut state, 70_000), millis(250));
}

/// The bound on revoked keys holds without connection to the control group. It counts from the
/// request, as the response may have been old when it arrived.
#[test]
fn a_disconnected_gateway_stops_serving_keys_within_the_bound() {
    for staleness in [Duration::ZERO, Duration::from_millis(1_800)] {
        let mut state = state();
        state.apply(&view(Some(staleness)), Some(catalog(1)), START);
        let mut served_until = START;
        for step in 0..200 {
            let now = START + Duration::from_millis(step * 50);
            if admit(&mut state, "/a/x", "key-1", now).is_ok() {
                served_until = now;
            }
        }
        assert!(served_until + staleness < START + BOUND, "served until {served_until}");
        assert!(served_until + staleness > START + BOUND / 2, "served until {served_until}");
        let later = START + BOUND;
        for (path, key) in [("/none/", "key-1"), ("/a/x", "other"), ("/a/x", "key-1")] {
            let refusal = admit(&mut state, path, key, later);
            assert_eq!(refusal, Err(ErrorKind::NoConfiguration), "{path} {key}");
        }
    }
}

#[test]
fn a_view_without_staleness_confirms_nothing() {
    let mut state = state();
    state.apply(&view(None), Some(catalog(1)), START);
    assert!(!state.is_confirmed(START));
}

#[test]
fn older_catalogs_and_replica_lists_are_ignored() {
    let mut state = state();
    state.apply(&view(Some(Duration::ZERO)), Some(catalog(7)), START);
    state.apply(&view(Some(Duration::ZERO)), Some(catalog(6)), START);
    assert_eq!(state.catalog().unwrap().version(), 7);
    let newer = FleetView {
        revision: 5,
        is_full: true,
        instances: vec![instance("b", "first", "north")],
        ..FleetView::default()
    };
    state.apply(&newer, None, START);
    let older = FleetView {
        revision: 4,
        is_full: true,
        instances: vec![instance("a", "first", "north")],
        ..FleetView::default()
    };
    state.apply(&older, None, START);
    let ids: Vec<String> =
        state.balancer().instances().map(|instance| instance.id.clone()).collect();
    assert_eq!(ids, ["b"]);
}

/// A follower's part of a long replica list has no statuses, and must not count as if it had.
#[rstest]
#[case::parts_of_the_leader(true, true, (3, 9))]
#[case::a_part_of_a_follower(true, false, (0, 0))]
#[case::an_update_of_a_follower_to_a_complete_list(false, false, (3, 8))]
fn statuses_are_requested_again_after_a_followers_part(
    #[case] has_more: bool,
    #[case] is_from_leader: bool,
    #[case] expected: (u64, u64),
) {
    let mut state = state();
    let part = |revision, id: &str, statuses| FleetView {
        revision,
        instances: vec![instance(id, "first", "north")],
        statuses,
        has_more,
        ..FleetView::default()
    };
    state.apply(&part(5, "a", Some(((3, 8), Vec::new()))), None, START);
    let second = part(6, "b", is_from_leader.then(|| ((3, 9), Vec::new())));
    state.apply(&second, None, START);
    assert_eq!(state.seen_versions().statuses, expected);
    assert_eq!(state.seen_versions().revision, 6);
}

#[test]
fn a_split_is_exact_over_any_run_of_requests() {
    let mut state = state();
    let mut parts = parts(1);
    parts.routes[0].split[0].weight = 90;
    parts.routes[0].split.push(SplitPart { service: "second".to_owned(), weight: 10 });
    let catalog = Catalog::new(parts).unwrap();
    state.apply(&view(Some(Duration::ZERO)), Some(catalog), START);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for number in 1..=500usize {
        let admission = state.admit("shop.example", "/a/x", Some("key-1"), START).unwrap();
        *counts.entry(admission.service).or_default() += 1;
        let second = *counts.get("second").unwrap_or(&0) as f64;
        assert!((second - number as f64 * 0.1).abs() <= 2.0, "{second} of {number}");
    }
}
