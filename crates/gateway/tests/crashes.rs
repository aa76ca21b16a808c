//! What one gateway records and reports of requests that crash replicas.

mod common;

use rstest::rstest;
use std::time::Duration;
use topazmount_control::{BlockedRequest, FleetView, replica_timeout};
use topazmount_gateway::{CrashTracker, GatewaySettings, GatewayState};
use topazmount_types::{RequestDigest, Time};

const START: Time = Time::from_secs(1_000);
const REQUEST: RequestDigest = RequestDigest(7);
const RUN: Duration = Duration::from_millis(140);
const SECOND: Duration = Duration::from_secs(1);

fn blocked(crash_span: Duration) -> Vec<BlockedRequest> {
    vec![BlockedRequest { request: REQUEST, crash_span, is_explained: false, further_crashes: 0 }]
}

fn after_seconds(seconds: u32) -> Time {
    START + SECOND * seconds
}

/// Own crashes only count while the control group is unreachable, as it may know of another request
/// that ran at the same replica.
#[test]
fn three_own_crashes_block_while_control_is_unreachable() {
    let mut crashes = CrashTracker::default();
    for number in 0..3 {
        assert!(!crashes.is_blocked(REQUEST, after_seconds(number)));
        crashes.record_crash(REQUEST, &format!("i-{number}"), RUN, after_seconds(number));
    }
    assert!(crashes.is_blocked(REQUEST, after_seconds(3)));
    crashes.record_control_contact(after_seconds(3));
    assert!(!crashes.is_blocked(REQUEST, after_seconds(4)));
    assert!(crashes.is_blocked(REQUEST, after_seconds(5)));
}

#[test]
fn a_crash_is_reported_with_its_age_until_it_expires() {
    let mut crashes = CrashTracker::default();
    crashes.record_crash(REQUEST, "i-0", RUN, START);
    let report = crashes.report(after_seconds(3));
    assert_eq!((report.crashes[0].age, report.crashes[0].ran_for), (SECOND * 3, RUN));
    assert!(!crashes.report(after_seconds(30)).is_empty());
    assert!(crashes.report(after_seconds(31)).is_empty());
}

#[test]
fn the_size_of_a_report_is_limited() {
    let mut crashes = CrashTracker::default();
    for number in 0..500 {
        crashes.record_crash(RequestDigest(number), "i-0", RUN, START);
    }
    assert_eq!(crashes.report(START).crashes.len(), 64);
}

/// The completion of a suspected request is reported, that of another one is not.
#[test]
fn the_completion_of_a_suspected_request_is_reported() {
    let mut crashes = CrashTracker::default();
    assert!(!crashes.record_completion(REQUEST, START));
    crashes.record_crash(REQUEST, "i-0", RUN, after_seconds(1));
    assert!(crashes.record_completion(REQUEST, after_seconds(2)));
    let report = crashes.report(after_seconds(2));
    assert!(report.crashes.is_empty());
    assert_eq!(report.completed, [REQUEST]);
    assert!(!crashes.record_completion(REQUEST, after_seconds(3)));
}

/// The same request may have crashed replicas through other gateways, and completed here in
/// between.
#[test]
fn a_completion_since_the_first_crash_is_reported_for_a_blocked_request() {
    let mut crashes = CrashTracker::default();
    crashes.record_completion(REQUEST, after_seconds(8));
    crashes.set_blocked(&blocked(SECOND * 4), after_seconds(10));
    assert_eq!(crashes.report(after_seconds(10)).completed, [REQUEST]);
}

/// It may crash since new weights were loaded.
#[test]
fn a_completion_before_the_first_crash_is_not_reported() {
    let mut crashes = CrashTracker::default();
    crashes.record_completion(REQUEST, after_seconds(5));
    crashes.set_blocked(&blocked(SECOND * 4), after_seconds(10));
    assert!(crashes.report(after_seconds(10)).is_empty());
}

#[test]
fn added_and_removed_requests_are_returned() {
    let mut crashes = CrashTracker::default();
    assert_eq!(crashes.set_blocked(&blocked(SECOND), START), (vec![REQUEST], vec![]));
    assert_eq!(crashes.set_blocked(&blocked(SECOND), START), (vec![], vec![]));
    assert!(crashes.is_blocked(REQUEST, START));
    assert_eq!(crashes.set_blocked(&[], START), (vec![], vec![REQUEST]));
    assert!(!crashes.is_blocked(REQUEST, START));
}

/// The second view comes from a member that lags.
#[test]
fn an_older_list_is_ignored() {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    let view =
        |changes, blocked| FleetView { blocked: Some((changes, blocked)), ..FleetView::default() };
    state.apply_blocked(&view(2, blocked(SECOND)), START);
    state.apply_blocked(&view(1, Vec::new()), START);
    assert!(state.crashes().is_blocked(REQUEST, START));
    assert_eq!(state.seen_versions().blocked, 2);
}

/// How a broken connection counts once more is known of the replica.
mod suspicions {
    use super::*;

    fn suspected() -> CrashTracker {
        let mut crashes = CrashTracker::default();
        crashes.on_connection_broken(REQUEST, "i-0", RUN, START);
        assert!(crashes.report(START).is_empty());
        crashes
    }

    #[test]
    fn it_counts_from_the_break_once_the_replica_ended() {
        let mut crashes = suspected();
        assert_eq!(crashes.on_replica_ended("i-0", after_seconds(3)), 1);
        let report = crashes.report(after_seconds(3));
        assert_eq!((report.crashes[0].age, report.crashes[0].ran_for), (SECOND * 3, RUN));
        assert_eq!(crashes.on_replica_ended("i-0", after_seconds(3)), 0);
    }

    #[test]
    fn the_end_of_another_replica_does_not_count() {
        assert_eq!(suspected().on_replica_ended("i-1", after_seconds(1)), 0);
    }

    #[test]
    fn a_break_that_the_replica_survived_does_not_count() {
        let mut crashes = suspected();
        crashes.clear_suspicion("i-0", START);
        assert!(crashes.is_suspected("i-0"));
        crashes.clear_suspicion("i-0", after_seconds(1));
        assert_eq!(crashes.on_replica_ended("i-0", after_seconds(2)), 0);
    }

    #[test]
    fn a_suspicion_expires() {
        assert_eq!(suspected().on_replica_ended("i-0", after_seconds(9)), 0);
    }

    #[test]
    fn the_number_of_suspicions_is_limited() {
        let mut crashes = CrashTracker::default();
        for number in 0..1_000 {
            crashes.on_connection_broken(RequestDigest(number), "i-0", RUN, START);
        }
        assert_eq!(crashes.on_replica_ended("i-0", START), 256);
    }
}

/// Guards against a suspicion that ends before the control group gives up a replica that fell silent
/// right after the request broke off.
#[rstest]
#[case::usual(1_200)]
#[case::long(3_000)]
#[case::very_long(10_000)]
fn a_suspicion_outlasts_the_removal_of_a_silent_replica(#[case] interval_ms: u64) {
    let heartbeat_interval = Duration::from_millis(interval_ms);
    let settings = GatewaySettings { heartbeat_interval, ..GatewaySettings::default() };
    let mut gateway = GatewayState::new("north", settings, 1);
    gateway.crashes().on_connection_broken(REQUEST, "i-0", RUN, START);
    let removed_at = START + replica_timeout(heartbeat_interval) + SECOND * 2;
    assert_eq!(gateway.crashes().on_replica_ended("i-0", removed_at), 1);
}
