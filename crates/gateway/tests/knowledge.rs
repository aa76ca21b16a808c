//! What a gateway may do with what it knows, and for how long.

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

fn knowledge() -> GatewayState {
    let settings =
        GatewaySettings { max_revocation_delay: Some(BOUND), ..GatewaySettings::default() };
    GatewayState::new("north", settings, 1)
}

fn view(staleness: Option<Duration>) -> FleetView {
    FleetView { staleness, ..FleetView::default() }
}

fn admit(
    knowledge: &mut GatewayState,
    path: &str,
    key: &str,
    now: Time,
) -> Result<String, ErrorKind> {
    let admission = knowledge.admit("shop.example", path, Some(key), now)?;
    Ok(admission.route.name)
}

#[rstest]
#[case("/a/x", "key-1", Ok("short"))]
#[case("/none/", "key-1", Err(ErrorKind::NotFound))]
#[case("/a/x", "other", Err(ErrorKind::Unauthenticated))]
fn a_confirmed_gateway_answers_as_the_catalog_says(
    #[case] path: &str,
    #[case] key: &str,
    #[case] expected: Result<&str, ErrorKind>,
) {
    let mut knowledge = knowledge();
    knowledge.apply(&view(Some(Duration::ZERO)), Some(catalog(1)), START);
    assert_eq!(admit(&mut knowledge, path, key, START), expected.map(str::to_owned));
}

#[test]
fn a_gateway_that_knows_nothing_refuses_with_a_promise() {
    let mut knowledge = knowledge();
    assert_eq!(admit(&mut knowledge, "/a/x", "key-1", START), Err(ErrorKind::NoConfiguration));
    assert!(!knowledge.is_confirmed(START));
}

/// A refusal names a time that grows with the outage, so that few tries fall into it, and starts
/// anew with the next one.
#[test]
fn a_refused_client_is_told_to_wait_as_long_as_the_outage_has_lasted() {
    let mut knowledge = knowledge();
    let millis = Duration::from_millis;
    let wait = |knowledge: &mut GatewayState, after: u64| {
        knowledge.retry_after(ErrorKind::NoConfiguration, START + millis(after))
    };
    assert_eq!(wait(&mut knowledge, 0), millis(250));
    assert_eq!(wait(&mut knowledge, 600), millis(850));
    assert_eq!(wait(&mut knowledge, 60_000), millis(2_000));
    assert_eq!(knowledge.retry_after(ErrorKind::NoReplica, START), millis(250));
    knowledge.apply(&view(Some(Duration::ZERO)), Some(catalog(1)), START + millis(61_000));
    assert_eq!(wait(&mut knowledge, 70_000), millis(250));
}

/// The bound on revoked keys holds for a gateway out of touch, however long: it counts from the
/// question, since the answer may have been old when it came.
#[test]
fn a_gateway_out_of_touch_stops_serving_keys_within_the_bound() {
    for staleness in [Duration::ZERO, Duration::from_millis(1_800)] {
        let mut knowledge = knowledge();
        knowledge.apply(&view(Some(staleness)), Some(catalog(1)), START);
        let mut served_until = START;
        for step in 0..200 {
            let now = START + Duration::from_millis(step * 50);
            if admit(&mut knowledge, "/a/x", "key-1", now).is_ok() {
                served_until = now;
            }
        }
        assert!(served_until + staleness < START + BOUND, "served until {served_until}");
        assert!(served_until + staleness > START + BOUND / 2, "served until {served_until}");
        let later = START + BOUND;
        for (path, key) in [("/none/", "key-1"), ("/a/x", "other"), ("/a/x", "key-1")] {
            let refusal = admit(&mut knowledge, path, key, later);
            assert_eq!(refusal, Err(ErrorKind::NoConfiguration), "{path} {key}");
        }
    }
}

#[test]
fn a_member_that_can_not_vouch_confirms_nothing() {
    let mut knowledge = knowledge();
    knowledge.apply(&view(None), Some(catalog(1)), START);
    assert!(!knowledge.is_confirmed(START));
}

#[test]
fn a_gateway_never_goes_back() {
    let mut knowledge = knowledge();
    knowledge.apply(&view(Some(Duration::ZERO)), Some(catalog(7)), START);
    knowledge.apply(&view(Some(Duration::ZERO)), Some(catalog(6)), START);
    assert_eq!(knowledge.catalog().unwrap().version(), 7);
    let newer = FleetView {
        revision: 5,
        is_full: true,
        instances: vec![instance("b", "first", "north")],
        ..FleetView::default()
    };
    knowledge.apply(&newer, None, START);
    let older = FleetView {
        revision: 4,
        is_full: true,
        instances: vec![instance("a", "first", "north")],
        ..FleetView::default()
    };
    knowledge.apply(&older, None, START);
    let ids: Vec<String> =
        knowledge.balancer().instances().map(|instance| instance.id.clone()).collect();
    assert_eq!(ids, ["b"]);
}

/// While a gateway is told of replicas in pieces, a follower's piece has no statuses: it must not count as if these had come.
#[rstest]
#[case::pieces_of_the_leader(true, true, (3, 9))]
#[case::a_piece_of_a_follower(true, false, (0, 0))]
#[case::news_of_a_follower_to_one_that_knows_all(false, false, (3, 8))]
fn statuses_are_asked_for_anew_after_a_followers_piece(
    #[case] has_more: bool,
    #[case] is_of_leader: bool,
    #[case] expected: (u64, u64),
) {
    let mut knowledge = knowledge();
    let piece = |revision, id: &str, statuses| FleetView {
        revision,
        instances: vec![instance(id, "first", "north")],
        statuses,
        has_more,
        ..FleetView::default()
    };
    knowledge.apply(&piece(5, "a", Some(((3, 8), Vec::new()))), None, START);
    let second = piece(6, "b", is_of_leader.then(|| ((3, 9), Vec::new())));
    knowledge.apply(&second, None, START);
    assert_eq!(knowledge.seen_versions().statuses, expected);
    assert_eq!(knowledge.seen_versions().revision, 6);
}

#[test]
fn a_split_is_exact_over_any_run_of_requests() {
    let mut knowledge = knowledge();
    let mut parts = parts(1);
    parts.routes[0].split[0].weight = 90;
    parts.routes[0].split.push(SplitPart { service: "second".to_owned(), weight: 10 });
    let catalog = Catalog::new(parts).unwrap();
    knowledge.apply(&view(Some(Duration::ZERO)), Some(catalog), START);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for number in 1..=500usize {
        let admission = knowledge.admit("shop.example", "/a/x", Some("key-1"), START).unwrap();
        *counts.entry(admission.service).or_default() += 1;
        let second = *counts.get("second").unwrap_or(&0) as f64;
        assert!((second - number as f64 * 0.1).abs() <= 2.0, "{second} of {number}");
    }
}
