//! The next step after each kind of end of an attempt.

use rstest::rstest;
use topazmount_gateway::{AttemptEnd, NextStep, RequestPlan};
use topazmount_types::{ErrorKind, RunState};

fn plan(is_retryable: bool, attempts: u32) -> RequestPlan {
    let mut plan = RequestPlan::new(is_retryable, attempts);
    plan.begin("first".to_owned());
    plan
}

#[rstest]
// A non-retryable request is retried only if no byte was sent or the replica did not run it.
#[case(false, 2, AttemptEnd::Unreachable, true)]
#[case(false, 2, AttemptEnd::NotRun, true)]
#[case(false, 2, AttemptEnd::WrongInstance, true)]
#[case(false, 2, AttemptEnd::Broken, false)]
#[case(false, 2, AttemptEnd::Unresponsive, false)]
#[case(false, 2, AttemptEnd::TimedOut, false)]
#[case(false, 2, AttemptEnd::Abandoned, false)]
// A retryable request is retried unless it timed out or was abandoned.
#[case(true, 2, AttemptEnd::Broken, true)]
#[case(true, 2, AttemptEnd::NotContinued, true)]
#[case(true, 2, AttemptEnd::Unresponsive, true)]
#[case(true, 2, AttemptEnd::NotRun, true)]
#[case(true, 2, AttemptEnd::TimedOut, false)]
#[case(true, 2, AttemptEnd::Abandoned, false)]
// The number of attempts is limited; unreachable replicas do not count.
#[case(true, 1, AttemptEnd::Broken, false)]
#[case(true, 1, AttemptEnd::NotContinued, false)]
#[case(true, 1, AttemptEnd::NotRun, false)]
#[case(true, 1, AttemptEnd::Unreachable, true)]
fn attempts_are_retried(
    #[case] is_retryable: bool,
    #[case] attempts: u32,
    #[case] end: AttemptEnd,
    #[case] is_retried: bool,
) {
    let next = plan(is_retryable, attempts).end(end);
    assert_eq!(matches!(next, NextStep::Retry { .. }), is_retried, "{next:?}");
}

#[rstest]
#[case(AttemptEnd::Unreachable, 503)]
#[case(AttemptEnd::NotRun, 503)]
#[case(AttemptEnd::WrongInstance, 503)]
#[case(AttemptEnd::Broken, 502)]
#[case(AttemptEnd::NotContinued, 502)]
#[case(AttemptEnd::Unresponsive, 502)]
#[case(AttemptEnd::Abandoned, 502)]
#[case(AttemptEnd::TimedOut, 504)]
fn responses_promise_not_run_only_if_nothing_ran(#[case] end: AttemptEnd, #[case] status: u16) {
    let mut plan = plan(false, 1);
    let kind = match plan.end(end) {
        NextStep::Respond(kind) | NextStep::Retry { fallback: kind, .. } => kind,
        other => panic!("{other:?}"),
    };
    assert_eq!(kind.status(), status);
    let promises_not_run = kind.run() == RunState::NotRun;
    assert_eq!(promises_not_run, plan.run_state() == RunState::NotRun);
}

#[test]
fn a_refusal_does_not_undo_an_earlier_run() {
    let mut plan = plan(true, 3);
    assert!(matches!(plan.end(AttemptEnd::Broken), NextStep::Retry { needs_budget: true, .. }));
    plan.begin("second".to_owned());
    assert!(matches!(
        plan.end(AttemptEnd::NotRun),
        NextStep::Retry { fallback: ErrorKind::OutcomeUnknown, .. }
    ));
}

/// Guards against a stream that is cut because a replica refused to resume it. The number of replicas
/// that run it stays limited.
#[rstest]
#[case::refused(AttemptEnd::NotRun, true)]
#[case::broken(AttemptEnd::Broken, false)]
#[case::timed_out(AttemptEnd::TimedOut, false)]
fn a_refusal_does_not_end_a_begun_response(#[case] end: AttemptEnd, #[case] is_retried: bool) {
    let mut plan = plan(true, 2);
    plan.begin_response();
    assert!(matches!(plan.end(AttemptEnd::Broken), NextStep::Retry { needs_budget: true, .. }));
    plan.begin("second".to_owned());
    let next = plan.end(end);
    assert_eq!(matches!(next, NextStep::Retry { needs_budget: true, .. }), is_retried, "{next:?}");
    assert_eq!(plan.run_state(), RunState::Unknown);
}

#[test]
fn a_failure_is_forwarded_if_no_retry_is_allowed() {
    assert_eq!(plan(false, 3).end(AttemptEnd::Failed), NextStep::Forward);
    assert_eq!(plan(true, 1).end(AttemptEnd::Failed), NextStep::Forward);
    assert_eq!(plan(true, 2).end(AttemptEnd::Failed), NextStep::RetryOrForward);
}

#[test]
fn only_attempts_after_one_that_reached_a_replica_need_budget() {
    let mut plan = plan(true, 3);
    assert!(matches!(
        plan.end(AttemptEnd::Unreachable),
        NextStep::Retry { needs_budget: false, .. }
    ));
    plan.begin("second".to_owned());
    assert!(matches!(plan.end(AttemptEnd::NotRun), NextStep::Retry { needs_budget: true, .. }));
}

#[rstest]
#[case(AttemptEnd::Unreachable, "Unreachable")]
#[case(AttemptEnd::NotRun, "NotRun")]
#[case(AttemptEnd::PushedBack, "TurnedAway")]
#[case(AttemptEnd::NotContinued, "NotContinued")]
#[case(AttemptEnd::NotSent, "HeldBack")]
#[case(AttemptEnd::WrongInstance, "WrongInstance")]
#[case(AttemptEnd::VersionMismatch, "OtherWeights")]
#[case(AttemptEnd::OutdatedWeights, "OldWeights")]
#[case(AttemptEnd::Broken, "Broken")]
#[case(AttemptEnd::Failed, "Failed")]
#[case(AttemptEnd::Unresponsive, "Silent")]
#[case(AttemptEnd::Abandoned, "Abandoned")]
#[case(AttemptEnd::TimedOut, "TimedOut")]
fn names_in_logs_and_metrics_are_stable(#[case] end: AttemptEnd, #[case] name: &str) {
    assert_eq!(end.name(), name);
}

/// A request that a replica has must not be called "not run" if it is given up.
#[test]
fn an_open_attempt_may_have_run() {
    let mut plan = RequestPlan::new(true, 2);
    assert_eq!(plan.run_state(), RunState::NotRun);
    plan.begin("first".to_owned());
    assert_eq!(plan.run_state(), RunState::Unknown);
    plan.end(AttemptEnd::NotRun);
    assert_eq!(plan.run_state(), RunState::NotRun);
    plan.begin("second".to_owned());
    plan.end(AttemptEnd::Broken);
    assert_eq!(plan.run_state(), RunState::Unknown);
}
