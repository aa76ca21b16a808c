//! A gateway that starts learns from the leader what replicas asked of all their callers.

mod common;

use common::{catalog, choice_request, instance, prompt};
use rstest::rstest;
use std::time::Duration;
use topazmount_admission::{Pushback, RequestLimit};
use topazmount_control::{FleetView, NoticeKind, ReplicaNotice};
use topazmount_gateway::{ChoiceRequest, GatewaySettings, GatewayState, Prompt};
use topazmount_types::{ErrorKind, Time};

const START: Time = Time(10_000_000);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limit(per_second: f64) -> Option<RequestLimit> {
    Some(RequestLimit::per_second(per_second))
}

fn notice(kind: NoticeKind, age: Duration) -> ReplicaNotice {
    ReplicaNotice { incarnation: instance("a", "pool", "north").incarnation_name(), kind, age }
}

/// A view with the replica `a`; with notices it comes from a leader that holds its lease.
fn view(notices: Option<Vec<ReplicaNotice>>) -> FleetView {
    let is_leader = notices.is_some();
    FleetView {
        staleness: Some(if is_leader { Duration::ZERO } else { millis(900) }),
        leader: Some("10.0.0.1:80".to_owned()),
        revision: 1,
        is_full: true,
        instances: vec![instance("a", "pool", "north")],
        gateway_count: u32::from(is_leader),
        notices: notices.map(|notices| ((1, 1), notices)),
        ..FleetView::default()
    }
}

fn apply(state: &mut GatewayState, view: &FleetView, now: Time) {
    state.apply(view, Some(catalog(1)), now);
    state.apply_notices(view, now);
}

fn gateway(view: &FleetView) -> GatewayState {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    apply(&mut state, view, START);
    state
}

fn request(prompt: &Prompt) -> ChoiceRequest<'_> {
    choice_request(prompt, None)
}

fn admit(state: &mut GatewayState, now: Time) -> Option<ErrorKind> {
    state.admit("shop.example", "/a/x", Some("key-1"), now).err()
}

/// Guards against a first request without a grant to a replica with a limit.
#[test]
fn a_starting_gateway_knows_the_limits_of_replicas() {
    let reported = notice(NoticeKind::Limit(limit(2.0)), millis(700));
    let mut state = gateway(&view(Some(vec![reported])));
    let prompt = prompt(&[(1, 100)]);
    let choice = state.choose(&request(&prompt), START).expect("the replica is available");
    assert_eq!(choice.limit, limit(2.0));
}

/// Guards against a first request to a replica that has reported that it is leaving.
#[test]
fn a_starting_gateway_sends_nothing_to_a_leaving_replica() {
    let mut state = gateway(&view(Some(vec![notice(NoticeKind::Leaving, millis(700))])));
    let prompt = prompt(&[(1, 100)]);
    assert!(state.choose(&request(&prompt), START).is_none());
}

/// Guards against serving on the view of a follower, which has no notices.
#[test]
fn a_starting_gateway_waits_for_the_leader_for_half_a_second() {
    let mut state = gateway(&view(None));
    assert_eq!(admit(&mut state, START), Some(ErrorKind::NoConfiguration));
    assert_eq!(admit(&mut state, START + millis(499)), Some(ErrorKind::NoConfiguration));
    assert!(!state.is_confirmed(START + millis(499)), "it is not ready");
    assert_eq!(admit(&mut state, START + millis(500)), None, "it serves without a leader");
}

#[test]
fn a_starting_gateway_serves_as_soon_as_the_leader_responded() {
    let mut state = gateway(&view(None));
    apply(&mut state, &view(Some(Vec::new())), START + millis(5));
    assert_eq!(admit(&mut state, START + millis(5)), None);
}

#[rstest]
#[case::unknown_to_the_leader(Vec::new(), 1)]
#[case::known_to_the_leader(vec![notice(NoticeKind::Leaving, millis(700))], 0)]
fn only_what_the_leader_lacks_is_reported(
    #[case] known: Vec<ReplicaNotice>,
    #[case] reported: usize,
) {
    let mut state = gateway(&view(Some(Vec::new())));
    let prompt = prompt(&[(1, 100)]);
    let choice = state.choose(&request(&prompt), START).expect("the replica is available");
    let pushback = Pushback { is_leaving: true, ..Pushback::default() };
    state.balancer().record_pushback(&choice, pushback, START);
    state.apply_notices(&view(Some(known)), START + millis(400));
    assert_eq!(state.notices_to_report(START + millis(400)).len(), reported);
}

/// Guards against requests of a gateway that starts while there is no leader.
#[test]
fn a_starting_gateway_applies_what_a_follower_knows() {
    let told = view(Some(vec![notice(NoticeKind::Leaving, millis(700))]));
    let mut state = gateway(&FleetView { gateway_count: 0, ..told });
    let prompt = prompt(&[(1, 100)]);
    assert!(state.choose(&request(&prompt), START).is_none());
    assert_eq!(state.seen_versions().notices, (0, 0), "the leader's list is not known");
}

/// Guards against a new leader that is not told what its predecessor knew. A follower's view shows that
/// the leader may have changed.
#[test]
fn all_notices_are_reported_while_no_leader_responds() {
    let told = vec![notice(NoticeKind::Leaving, millis(700))];
    let mut state = gateway(&view(Some(told.clone())));
    assert_eq!(state.notices_to_report(START), []);
    apply(&mut state, &view(None), START + millis(400));
    assert_eq!(state.notices_to_report(START + millis(400)).len(), 1);
    assert_eq!(state.seen_versions().notices, (0, 0), "the list is requested again");
    state.apply_notices(&view(Some(told)), START + millis(800));
    assert_eq!(state.notices_to_report(START + millis(800)), []);
}

#[rstest]
#[case::limit(NoticeKind::Limit(limit(2.0)))]
#[case::leaving(NoticeKind::Leaving)]
fn a_notice_is_news_once(#[case] kind: NoticeKind) {
    let mut state = gateway(&view(Some(Vec::new())));
    let told = view(Some(vec![notice(kind, millis(700))]));
    assert_eq!(state.apply_notices(&told, START).len(), 1);
    assert_eq!(state.apply_notices(&told, START), []);
}

/// A limit that was removed is not brought back by the older one in the leader's list.
#[test]
fn a_newer_limit_of_a_gateway_replaces_the_leaders() {
    let older = notice(NoticeKind::Limit(limit(2.0)), millis(700));
    let mut state = gateway(&view(Some(vec![older.clone()])));
    let prompt = prompt(&[(1, 100)]);
    let choice = state.choose(&request(&prompt), START).expect("the replica is available");
    state.balancer().record_limit(&choice, None, START, START + millis(100));
    let later = START + millis(400);
    let stale = ReplicaNotice { age: millis(1_100), ..older };
    state.apply_notices(&view(Some(vec![stale])), later);
    assert_eq!(state.notices_to_report(later), [notice(NoticeKind::Limit(None), millis(300))]);
    let choice = state.choose(&request(&prompt), later).expect("the replica is available");
    assert_eq!(choice.limit, None);
}
