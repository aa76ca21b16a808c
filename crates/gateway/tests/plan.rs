//! What follows an attempt, for every way in which one can end.

use rstest::rstest;
use topazmount_gateway::{AttemptEnd, NextStep, RequestPlan};
use topazmount_types::{ErrorKind, RunState};

fn plan(is_repeatable: bool, attempts: u32) -> RequestPlan {
    let mut plan = RequestPlan::new(is_repeatable, attempts);
    plan.begin("first".to_owned());
    plan
}

#[rstest]
// A request that runs at most once goes on only where no byte was sent or the replica said so.
#[case(false, 2, AttemptEnd::Unreachable, true)]
#[case(false, 2, AttemptEnd::NotRun, true)]
#[case(false, 2, AttemptEnd::WrongInstance, true)]
#[case(false, 2, AttemptEnd::Broken, false)]
#[case(false, 2, AttemptEnd::Unresponsive, false)]
#[case(false, 2, AttemptEnd::TimedOut, false)]
#[case(false, 2, AttemptEnd::Abandoned, false)]
// One that may be repeated goes on after anything but the end of its time.
#[case(true, 2, AttemptEnd::Broken, true)]
#[case(true, 2, AttemptEnd::Unresponsive, true)]
#[case(true, 2, AttemptEnd::NotRun, true)]
#[case(true, 2, AttemptEnd::TimedOut, false)]
#[case(true, 2, AttemptEnd::Abandoned, false)]
// The number of replicas that may be sent it is kept; one that was not reached does not count.
#[case(true, 1, AttemptEnd::Broken, false)]
#[case(true, 1, AttemptEnd::NotRun, false)]
#[case(true, 1, AttemptEnd::Unreachable, true)]
fn attempts_go_on(
    #[case] is_repeatable: bool,
    #[case] attempts: u32,
    #[case] end: AttemptEnd,
    #[case] goes_on: bool,
) {
    let next = plan(is_repeatable, attempts).end(end);
    assert_eq!(matches!(next, NextStep::Retry { .. }), goes_on, "{next:?}");
}

#[rstest]
#[case(AttemptEnd::Unreachable, 503)]
#[case(AttemptEnd::NotRun, 503)]
#[case(AttemptEnd::WrongInstance, 503)]
#[case(AttemptEnd::Broken, 502)]
#[case(AttemptEnd::Unresponsive, 502)]
#[case(AttemptEnd::Abandoned, 502)]
#[case(AttemptEnd::TimedOut, 504)]
fn refusals_promise_only_what_is_so(#[case] end: AttemptEnd, #[case] status: u16) {
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
fn a_replica_that_said_not_run_does_not_undo_an_earlier_run() {
    let mut plan = plan(true, 3);
    assert!(matches!(plan.end(AttemptEnd::Broken), NextStep::Retry { needs_budget: true, .. }));
    plan.begin("second".to_owned());
    assert!(matches!(
        plan.end(AttemptEnd::NotRun),
        NextStep::Retry { fallback: ErrorKind::OutcomeUnknown, .. }
    ));
}

#[test]
fn a_failure_is_passed_on_where_nothing_else_may_be_tried() {
    assert_eq!(plan(false, 3).end(AttemptEnd::Failed), NextStep::Forward);
    assert_eq!(plan(true, 1).end(AttemptEnd::Failed), NextStep::Forward);
    assert_eq!(plan(true, 2).end(AttemptEnd::Failed), NextStep::RetryOrForward);
}

#[test]
fn only_attempts_after_an_arrival_are_repeats() {
    let mut plan = plan(true, 3);
    assert!(matches!(
        plan.end(AttemptEnd::Unreachable),
        NextStep::Retry { needs_budget: false, .. }
    ));
    plan.begin("second".to_owned());
    assert!(matches!(plan.end(AttemptEnd::NotRun), NextStep::Retry { needs_budget: true, .. }));
}
