//! Prompt parts that crash replicas: which are accused and blocked, and what clears innocent ones.

use std::collections::BTreeSet;
use std::time::Duration;
use topazmount_control::{BlockedRequest, CrashLedger};
use topazmount_gateway::{CrashTracker, Prompt, PromptPart, part_digest};
use topazmount_types::{RequestDigest, Time};

const START: Time = Time::from_secs(1_000);
const RUN: Duration = Duration::from_millis(140);
/// Time between two crashes.
const GAP: Duration = Duration::from_millis(400);

fn cause() -> RequestDigest {
    part_digest(1)
}

fn shared() -> RequestDigest {
    part_digest(2)
}

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// A replica ends while it runs requests with these parts.
fn crash(tracker: &mut CrashTracker, replica: u32, parts: &[RequestDigest], now: Time) {
    let name = format!("i-{replica}");
    tracker.on_connection_broken(RequestDigest(u64::from(replica)), &name, RUN, now);
    tracker.on_parts_broken(parts, &name, RUN, now);
    tracker.on_replica_ended(&name, now);
}

fn accused(tracker: &mut CrashTracker, now: Time) -> BTreeSet<RequestDigest> {
    tracker.report(now).crashes.iter().map(|record| record.request).collect()
}

/// What the control group makes of the reports of all gateways at these crashes.
fn blocked_by(reports: &[(Time, topazmount_control::CrashReport)]) -> Vec<RequestDigest> {
    let mut ledger = CrashLedger::default();
    reports.iter().for_each(|(now, report)| ledger.record(*now, report));
    ledger.blocked().iter().map(|entry| entry.request).collect()
}

#[test]
fn the_last_part_of_a_prompt_is_accused() {
    let part = |id| PromptPart { id, tokens: 10 };
    let prompt = Prompt { parts: vec![part(1), part(2), part(3)], ..Prompt::default() };
    assert_eq!(prompt.shared_parts(), [1, 2]);
    assert!(Prompt::default().shared_parts().is_empty());
}

#[test]
fn requests_that_share_a_crashing_part_are_not_alike_to_the_ledger() {
    let mut tracker = CrashTracker::default();
    let mut reports = Vec::new();
    for replica in 0..3 {
        let now = START + GAP * replica;
        crash(&mut tracker, replica, &[cause()], now);
        reports.push((now, tracker.report(now)));
    }
    assert_eq!(blocked_by(&reports), [cause()]);
}

/// Sound requests with the other part complete between the crashes.
#[test]
fn a_part_that_many_requests_share_is_blocked_beside_the_cause() {
    let mut tracker = CrashTracker::default();
    let mut reports = Vec::new();
    for replica in 0..12 {
        let now = START + GAP * replica;
        crash(&mut tracker, replica, &[cause(), shared()], now);
        reports.push((now, tracker.report(now)));
        tracker.record_part_completions(&[shared()], now + GAP / 2);
        reports.push((now + GAP / 2, tracker.report(now + GAP / 2)));
        assert!(!blocked_by(&reports).contains(&shared()), "after crash {replica}");
    }
    assert_eq!(blocked_by(&reports), [cause()]);
}

#[test]
fn a_part_that_completed_lately_is_accused_by_one_crash() {
    let mut tracker = CrashTracker::default();
    tracker.record_part_completions(&[shared()], START);
    crash(&mut tracker, 1, &[cause(), shared()], at(1_000));
    let reported = accused(&mut tracker, at(1_000));
    assert!(reported.contains(&cause()) && !reported.contains(&shared()));
}

#[test]
fn a_part_that_crashes_replicas_since_new_weights_is_trusted_for_ever() {
    let mut tracker = CrashTracker::default();
    tracker.record_part_completions(&[cause()], START);
    crash(&mut tracker, 1, &[cause()], at(1_000));
    crash(&mut tracker, 2, &[cause()], at(1_400));
    assert!(accused(&mut tracker, at(1_400)).contains(&cause()));
    let report = tracker.report(at(1_400));
    let crashes = report.crashes.iter().filter(|record| record.request == cause()).count();
    assert_eq!(crashes, 2, "the withheld crash counts as well");
}

/// A completion here is newer than the crashes that the control group knows.
#[test]
fn a_part_blocked_by_mistake_is_rejected_until_the_control_group_learns_better() {
    let mut tracker = CrashTracker::default();
    tracker.record_control_contact(at(3_000));
    tracker.record_part_completions(&[shared()], at(2_500));
    let entry = |request| BlockedRequest {
        request,
        crash_span: Duration::from_secs(1),
        is_explained: false,
        further_crashes: 0,
    };
    let (added, _) = tracker.set_blocked(&[entry(cause()), entry(shared())], at(3_000));
    assert_eq!(added, [cause()]);
    assert!(tracker.is_blocked(cause(), at(3_000)));
    assert!(!tracker.is_blocked(shared(), at(3_000)));
    assert_eq!(tracker.report(at(3_000)).completed, [shared()]);
    tracker.set_blocked(&[entry(cause()), entry(shared())], at(3_100));
    assert_eq!(tracker.report(at(3_100)).completed, [shared()], "it is reported once");
}

/// Each prompt brings new parts; one that completes all the time must not be forgotten for them.
#[test]
fn many_parts_push_out_one_that_completes_all_the_time() {
    let mut tracker = CrashTracker::default();
    for number in 0..5_000 {
        tracker.record_part_completions(&[part_digest(10_000 + number), shared()], at(number));
    }
    crash(&mut tracker, 1, &[shared()], at(6_000));
    assert!(!accused(&mut tracker, at(6_000)).contains(&shared()));
    crash(&mut tracker, 2, &[part_digest(10_001)], at(6_100));
    assert!(accused(&mut tracker, at(6_100)).contains(&part_digest(10_001)), "memory is bounded");
}

/// Parts must not push out the requests that broke off.
#[test]
fn suspected_parts_push_out_suspected_requests() {
    let mut tracker = CrashTracker::default();
    for number in 0..200u64 {
        tracker.on_connection_broken(RequestDigest(number), "i-1", RUN, START);
        let parts: Vec<RequestDigest> =
            (0..10).map(|part| part_digest(number * 10 + part)).collect();
        tracker.on_parts_broken(&parts, "i-1", RUN, START);
    }
    assert_eq!(tracker.on_replica_ended("i-1", START), 200);
}

/// Two parts of different requests crash replicas in turn.
#[test]
fn one_of_two_crashing_parts_hides_the_other() {
    let mut tracker = CrashTracker::default();
    let mut reports = Vec::new();
    let parts = [cause(), part_digest(3)];
    for replica in 0..6 {
        let now = START + GAP * replica;
        crash(&mut tracker, replica, &[parts[replica as usize % 2], shared()], now);
        tracker.record_part_completions(&[shared()], now + GAP / 2);
        reports.push((now + GAP / 2, tracker.report(now + GAP / 2)));
    }
    let blocked: BTreeSet<RequestDigest> = blocked_by(&reports).into_iter().collect();
    assert_eq!(blocked, BTreeSet::from(parts));
}

/// The block of a part ends by itself, and one more crash renews it.
#[test]
fn a_crashing_part_fells_as_many_replicas_again_after_its_block() {
    let mut tracker = CrashTracker::default();
    let mut ledger = CrashLedger::default();
    for replica in 0..3 {
        let now = START + GAP * replica;
        crash(&mut tracker, replica, &[cause()], now);
        ledger.record(now, &tracker.report(now));
    }
    assert!(ledger.is_blocked(cause()));
    let later = START + Duration::from_secs(6 * 60);
    ledger.expire(later);
    assert!(!ledger.is_blocked(cause()));
    crash(&mut tracker, 9, &[cause()], later);
    ledger.record(later, &tracker.report(later));
    assert!(ledger.is_blocked(cause()));
}
