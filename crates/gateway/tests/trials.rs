//! Trials of blocked requests: when they are granted, and what completions elsewhere change.

use std::time::Duration;
use topazmount_control::BlockedRequest;
use topazmount_gateway::{
    CrashTracker, CrashVerdict, TrialOutcome, TrialRefusal, TrialRequest, TrialResponse,
};
use topazmount_types::{RequestDigest, Time};

const START: Time = Time::from_secs(1_000);
const DIGEST: RequestDigest = RequestDigest(7);
const GATEWAYS: usize = 6;

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn request() -> TrialRequest {
    let blocked_for = Duration::ZERO;
    TrialRequest { digest: DIGEST, failed: 0, is_repeatable: true, blocked_for }
}

fn entry(is_explained: bool, further_crashes: u32) -> BlockedRequest {
    let crash_span = Duration::from_secs(1);
    BlockedRequest { request: DIGEST, crash_span, is_explained, further_crashes }
}

/// A tracker in contact with the control group that has blocked the digest.
fn blocked(entry: BlockedRequest) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    tracker.record_control_contact(START);
    tracker.set_blocked(&[entry], START);
    tracker
}

fn grant(tracker: &mut CrashTracker, millis: u64) -> TrialResponse {
    tracker.grant_trial(request(), GATEWAYS, at(millis))
}

/// Wait in milliseconds of a refused trial, and whether a pause is the reason.
fn refusal(response: TrialResponse) -> (u128, bool) {
    match response {
        TrialResponse::Granted => panic!("the trial is granted"),
        TrialResponse::Refused(TrialRefusal { wait, is_pause }) => (wait.as_millis(), is_pause),
    }
}

#[test]
fn a_blocked_request_waits_for_the_end_of_its_block() {
    let mut tracker = blocked(entry(false, 0));
    assert_eq!(grant(&mut tracker, 0), TrialResponse::Granted);
}

#[test]
fn several_gateways_try_a_blocked_request_at_once() {
    let mut tracker = blocked(entry(false, 0));
    grant(&mut tracker, 0);
    assert_eq!(refusal(grant(&mut tracker, 10)), (250, false));
    assert_eq!(grant(&mut tracker, 6_000), TrialResponse::Granted, "the first gateway is gone");
}

#[test]
fn a_crashing_request_is_tried_again_and_again() {
    let mut tracker = blocked(entry(false, 0));
    let mut now = 0;
    let mut granted = Vec::new();
    for _ in 0..6 {
        while grant(&mut tracker, now) != TrialResponse::Granted {
            now += 500;
        }
        granted.push(now);
        tracker.on_trial_ended(DIGEST, TrialOutcome::Failed, at(now));
    }
    assert_eq!(granted, [0, 5_000, 25_000, 85_000, 385_000, 985_000]);
}

/// The list of the control group tells a new coordinator of failed trials.
#[test]
fn a_coordinator_that_has_started_tries_a_crashing_request_at_once() {
    let mut tracker = blocked(entry(false, 2));
    assert_eq!(refusal(grant(&mut tracker, 0)), (20_000, true));
}

#[test]
fn a_request_that_cannot_be_repeated_is_tried_first() {
    let mut tracker = blocked(entry(false, 0));
    let unrepeatable = TrialRequest { is_repeatable: false, ..request() };
    let response = tracker.grant_trial(unrepeatable, GATEWAYS, at(0));
    assert_eq!(refusal(response), (1_000, true));
    let response = tracker.grant_trial(unrepeatable, GATEWAYS, at(1_000));
    assert_eq!(response, TrialResponse::Granted);
}

/// Gateways restart; the one that asks has known of the block for long.
#[test]
fn the_pause_after_a_block_begins_anew_at_another_coordinator() {
    let asking = blocked(entry(false, 0));
    let request = asking.trial_request(DIGEST, false, at(1_000));
    assert_eq!(request.blocked_for, Duration::from_secs(1));
    let mut coordinator = CrashTracker::default();
    assert_eq!(coordinator.grant_trial(request, GATEWAYS, at(1_000)), TrialResponse::Granted);
}

#[test]
fn an_abandoned_trial_counts_as_failed() {
    let mut tracker = blocked(entry(false, 0));
    grant(&mut tracker, 0);
    tracker.on_trial_ended(DIGEST, TrialOutcome::Inconclusive, at(100));
    assert_eq!(refusal(grant(&mut tracker, 100)), (1_000, true));
    assert_eq!(grant(&mut tracker, 1_100), TrialResponse::Granted);
}

/// A thousand gateways may hold requests with the same part.
#[test]
fn gateways_of_a_large_fleet_flood_a_coordinator() {
    let mut tracker = blocked(entry(false, 0));
    tracker.grant_trial(request(), 1_000, at(0));
    assert_eq!(refusal(tracker.grant_trial(request(), 1_000, at(1))), (1_000, false));
}

/// A run that was under way when the block came completes at a gateway that saw no crash.
#[test]
fn a_completion_at_a_gateway_that_saw_no_crash_is_not_reported() {
    let mut tracker = blocked(entry(false, 0));
    assert!(tracker.record_part_completions(&[DIGEST], at(50)), "control is informed at once");
    assert_eq!(tracker.verdict(DIGEST, at(50)), CrashVerdict::Clear);
    assert_eq!(tracker.report(at(50)).completed, [DIGEST]);
}

#[test]
fn suspicions_are_taken_for_proof() {
    let verdict = |entry| blocked(entry).verdict(DIGEST, at(0));
    assert_eq!(verdict(entry(true, 0)), CrashVerdict::Suspected);
    assert_eq!(verdict(entry(false, 0)), CrashVerdict::Probable);
    assert_eq!(verdict(entry(false, 1)), CrashVerdict::Confirmed);
    // Without contact to control it may have completed elsewhere.
    assert_eq!(blocked(entry(false, 1)).verdict(DIGEST, at(5_000)), CrashVerdict::Suspected);
}

/// Neither the request's client nor other clients are told that a request is wrong for ever.
#[test]
fn refusals_outlast_a_change_of_the_block() {
    let mut tracker = blocked(entry(false, 1));
    let refusal = TrialRefusal { wait: Duration::from_secs(20), is_pause: true };
    tracker.on_trial_refused(DIGEST, refusal, at(0));
    assert!(tracker.trial_refusal(DIGEST, at(100)).is_some());
    tracker.set_blocked(&[entry(true, 0)], at(200));
    assert!(tracker.trial_refusal(DIGEST, at(200)).is_none());
}

/// Memory for trials is bounded.
#[test]
fn trials_of_many_parts_fill_the_memory() {
    let mut tracker = blocked(entry(false, 0));
    grant(&mut tracker, 0);
    for number in 0..2_000 {
        let request = TrialRequest { digest: RequestDigest(1_000 + number), ..request() };
        tracker.grant_trial(request, GATEWAYS, at(1 + number));
    }
    assert_eq!(grant(&mut tracker, 2_500), TrialResponse::Granted, "the oldest was dropped");
}

/// Replicas that have ended lately prove little.
#[test]
fn a_trial_runs_where_replicas_end_again_and_again() {
    let mut tracker = CrashTracker::default();
    tracker.record_replica_end("10.0.1.1:80", "i-1", at(0));
    tracker.record_replica_end("10.0.1.1:80", "i-1", at(20_000));
    assert!(tracker.has_ended_at("10.0.1.1:80", at(29_000)));
    assert!(!tracker.has_ended_at("10.0.1.2:80", at(29_000)));
    assert!(!tracker.has_ended_at("10.0.1.1:80", at(30_000)), "an end counts once");
}
