//! What one gateway keeps, tells and believes of requests under which replicas crash.

mod common;

use std::time::Duration;
use topazmount_control::{BlockedRequest, FleetView};
use topazmount_gateway::{CrashTracker, GatewaySettings, GatewayState};
use topazmount_types::{RequestDigest, Time};

const START: Time = Time::from_secs(1_000);
const REQUEST: RequestDigest = RequestDigest(7);
const RUN: Duration = Duration::from_millis(140);
const SECOND: Duration = Duration::from_secs(1);

fn blocked(evidence: Duration) -> Vec<BlockedRequest> {
    vec![BlockedRequest { request: REQUEST, crash_span: evidence }]
}

fn after(seconds: u32) -> Time {
    START + SECOND * seconds
}

/// Without a word from control; with one that one counts, since it may know of a request that was beside this one.
#[test]
fn three_crashes_seen_here_block_here_while_control_is_silent() {
    let mut crashes = CrashTracker::default();
    for number in 0..3 {
        assert!(!crashes.is_blocked(REQUEST, after(number)));
        crashes.record_crash(REQUEST, &format!("i-{number}"), RUN, after(number));
    }
    assert!(crashes.is_blocked(REQUEST, after(3)));
    crashes.record_control_contact(after(3));
    assert!(!crashes.is_blocked(REQUEST, after(4)));
    assert!(crashes.is_blocked(REQUEST, after(5)));
}

#[test]
fn a_crash_is_told_with_its_age_until_it_is_old() {
    let mut crashes = CrashTracker::default();
    crashes.record_crash(REQUEST, "i-0", RUN, START);
    let notes = crashes.notes(after(3));
    assert_eq!((notes.crashes[0].age, notes.crashes[0].ran_for), (SECOND * 3, RUN));
    assert!(!crashes.notes(after(30)).is_empty());
    assert!(crashes.notes(after(31)).is_empty());
}

#[test]
fn what_is_told_at_a_time_is_bounded() {
    let mut crashes = CrashTracker::default();
    for number in 0..500 {
        crashes.record_crash(RequestDigest(number), "i-0", RUN, START);
    }
    assert_eq!(crashes.notes(START).crashes.len(), 64);
}

/// Control hears at once that a suspected request ran well, and of no other one.
#[test]
fn a_suspected_request_that_ran_well_is_told() {
    let mut crashes = CrashTracker::default();
    assert!(!crashes.record_completion(REQUEST, START));
    crashes.record_crash(REQUEST, "i-0", RUN, after(1));
    assert!(crashes.record_completion(REQUEST, after(2)));
    let notes = crashes.notes(after(2));
    assert!(notes.crashes.is_empty());
    assert_eq!(notes.completed, [REQUEST]);
    assert!(!crashes.record_completion(REQUEST, after(3)));
}

/// Another gateway's clients send the same, and it ran well here between the crashes.
#[test]
fn a_blocked_request_that_ran_well_since_the_first_crash_is_spoken_for() {
    let mut crashes = CrashTracker::default();
    crashes.record_completion(REQUEST, after(8));
    crashes.set_blocked(&blocked(SECOND * 4), after(10));
    assert_eq!(crashes.notes(after(10)).completed, [REQUEST]);
}

/// New weights may have made it fatal.
#[test]
fn one_that_ran_well_before_the_first_crash_is_not() {
    let mut crashes = CrashTracker::default();
    crashes.record_completion(REQUEST, after(5));
    crashes.set_blocked(&blocked(SECOND * 4), after(10));
    assert!(crashes.notes(after(10)).is_empty());
}

#[test]
fn a_list_says_what_is_new_and_what_is_let_go() {
    let mut crashes = CrashTracker::default();
    assert_eq!(crashes.set_blocked(&blocked(SECOND), START), (vec![REQUEST], vec![]));
    assert_eq!(crashes.set_blocked(&blocked(SECOND), START), (vec![], vec![]));
    assert!(crashes.is_blocked(REQUEST, START));
    assert_eq!(crashes.set_blocked(&[], START), (vec![], vec![REQUEST]));
    assert!(!crashes.is_blocked(REQUEST, START));
}

/// A member that lags is asked after a newer one.
#[test]
fn an_older_list_is_passed_over() {
    let mut knowledge = GatewayState::new("north", GatewaySettings::default(), 1);
    let view =
        |changes, blocked| FleetView { blocked: Some((changes, blocked)), ..FleetView::default() };
    knowledge.apply_blocked(&view(2, blocked(SECOND)), START);
    knowledge.apply_blocked(&view(1, Vec::new()), START);
    assert!(knowledge.crashes().is_blocked(REQUEST, START));
    assert_eq!(knowledge.seen_versions().blocked, 2);
}

/// What a connection that broke off is worth, by what comes to be known of its replica.
mod suspicions {
    use super::*;

    fn suspected() -> CrashTracker {
        let mut crashes = CrashTracker::default();
        crashes.on_connection_broken(REQUEST, "i-0", RUN, START);
        assert!(crashes.notes(START).is_empty());
        crashes
    }

    #[test]
    fn it_counts_from_the_break_once_the_replica_has_ended() {
        let mut crashes = suspected();
        assert_eq!(crashes.on_replica_ended("i-0", after(3)), 1);
        let notes = crashes.notes(after(3));
        assert_eq!((notes.crashes[0].age, notes.crashes[0].ran_for), (SECOND * 3, RUN));
        assert_eq!(crashes.on_replica_ended("i-0", after(3)), 0);
    }

    #[test]
    fn another_replica_says_nothing() {
        assert_eq!(suspected().on_replica_ended("i-1", after(1)), 0);
    }

    #[test]
    fn what_the_replica_outlived_does_not_count() {
        let mut crashes = suspected();
        crashes.clear_suspicion("i-0", START);
        assert!(crashes.is_suspected("i-0"));
        crashes.clear_suspicion("i-0", after(1));
        assert_eq!(crashes.on_replica_ended("i-0", after(2)), 0);
    }

    #[test]
    fn it_is_forgotten_in_time() {
        assert_eq!(suspected().on_replica_ended("i-0", after(9)), 0);
    }

    #[test]
    fn their_number_is_bounded() {
        let mut crashes = CrashTracker::default();
        for number in 0..1_000 {
            crashes.on_connection_broken(RequestDigest(number), "i-0", RUN, START);
        }
        assert_eq!(crashes.on_replica_ended("i-0", START), 256);
    }
}
