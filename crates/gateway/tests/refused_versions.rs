//! Refusals of the required version by replicas, and the version that prompts require.

mod common;

use common::{choice_request, instance, prompt};
use std::time::Duration;
use topazmount_control::{Availability, FleetView, InstanceStatus, LoadedModel};
use topazmount_gateway::{
    AttemptEnd, Balancer, Choice, ChoiceRequest, DOWNGRADE_PAUSE, GatewaySettings, GatewayState,
    NextStep, ReplicaChange, RequestPlan, VersionRefusal,
};
use topazmount_routing::PolicyTable;
use topazmount_types::{ErrorKind, Start, Time};

const NOW: Time = Time::from_secs(1_000);

fn loaded(version: u32) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "model".to_owned(), version }]
}

fn status(id: &str, version: u32) -> InstanceStatus {
    InstanceStatus {
        id: id.to_owned(),
        availability: Availability::Available,
        models: loaded(version),
        start: Start::UNKNOWN,
        correction: (0, 0),
    }
}

fn choose(balancer: &mut Balancer, model: Option<&str>, now: Time) -> Option<Choice> {
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = ChoiceRequest { model, ..choice_request(&prompt, None) };
    balancer.choose(&request, now, &mut PolicyTable::default())
}

/// A gateway with one replica of a recorded version, and a published version.
fn gateway_with_version(version: u32, published: Option<u32>) -> Balancer {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(instance("i-0", "pool", "north"));
    balancer.set_status(&status("i-0", version));
    balancer.set_published(&published.map(loaded).unwrap_or_default(), NOW);
    balancer
}

/// Checks what follows a refusal of version 2, and the next choice's version and required version,
/// at once or after the pause.
fn check_refusal(
    published: Option<u32>,
    reported: Option<u32>,
    is_retried: bool,
    next: (Option<u32>, Option<u32>),
) {
    let mut balancer = gateway_with_version(2, published);
    let choice = choose(&mut balancer, Some("model"), NOW).unwrap();
    assert_eq!(choice.required_version, Some(2));
    let refusal = balancer.on_version_refused(&choice, "model", reported, NOW);
    let at = match &refusal {
        VersionRefusal::RetrySame | VersionRefusal::Unexplained => NOW,
        VersionRefusal::Downgraded(change) => {
            let ReplicaChange::Downgraded { recorded, reported: reported_in_change, .. } = change
            else {
                panic!("{change:?}")
            };
            assert_eq!((*recorded, *reported_in_change), (2, reported));
            let just_before = NOW + DOWNGRADE_PAUSE - Duration::from_millis(1);
            assert_eq!(choose(&mut balancer, Some("model"), just_before), None);
            assert!(
                choose(&mut balancer, None, NOW).is_some(),
                "requests without a model are served"
            );
            NOW + DOWNGRADE_PAUSE
        }
    };
    assert_eq!(refusal == VersionRefusal::RetrySame, is_retried, "{refusal:?}");
    let choice = choose(&mut balancer, Some("model"), at).unwrap();
    assert_eq!((choice.version, choice.required_version), next);
}

cases! { check_refusal:
    a_newer_version_is_recorded_and_required => Some(2), Some(3), true, (Some(3), Some(3));
    a_newer_version_without_a_published_one => None, Some(3), true, (Some(3), Some(3));
    an_older_version_is_recorded => Some(2), Some(1), false, (Some(1), Some(1));
    an_older_version_without_a_published_one => None, Some(1), false, (Some(1), Some(1));
    an_unreported_version_with_a_newer_published_one => Some(3), None, true, (None, Some(3));
    an_unreported_version_with_the_same_published_one => Some(2), None, false, (None, Some(2));
    an_unreported_version_with_an_older_published_one => Some(1), None, false, (None, Some(1));
    an_unreported_version_without_a_published_one => None, None, true, (None, None);
    the_same_version_is_unexplained => Some(2), Some(2), false, (Some(2), Some(2));
}

/// By then the leader has received the replica's report.
#[test]
fn the_next_status_ends_the_pause() {
    let mut balancer = gateway_with_version(2, Some(2));
    let choice = choose(&mut balancer, Some("model"), NOW).unwrap();
    balancer.on_version_refused(&choice, "model", Some(1), NOW);
    assert_eq!(choose(&mut balancer, Some("model"), NOW), None);
    balancer.set_status(&status("i-0", 2));
    assert_eq!(choose(&mut balancer, Some("model"), NOW).unwrap().version, Some(2));
}

#[test]
fn a_downgraded_replica_is_not_chosen_while_another_has_the_version() {
    let mut balancer = gateway_with_version(2, Some(2));
    balancer.upsert(instance("i-1", "pool", "north"));
    balancer.set_status(&status("i-1", 2));
    let choice = choose(&mut balancer, Some("model"), NOW).unwrap();
    balancer.on_version_refused(&choice, "model", None, NOW);
    let other = choose(&mut balancer, Some("model"), NOW).unwrap();
    assert_ne!(other.instance.id, choice.instance.id);
    assert_eq!(other.required_version, Some(2));
}

/// Followers report a replica before its status is known.
#[test]
fn a_prompt_requires_the_published_version_if_that_of_the_replica_is_unknown() {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    let instances = vec![instance("i-0", "pool", "north")];
    let view = FleetView { revision: 1, instances, ..FleetView::default() };
    state.apply(&FleetView { weights: loaded(3), ..view.clone() }, None, NOW);
    // A member that lags reports an older version, or none.
    state.apply(&FleetView { weights: loaded(2), ..view.clone() }, None, NOW);
    state.apply(&view, None, NOW);
    let choice = choose(state.balancer(), Some("model"), NOW).unwrap();
    assert_eq!((choice.version, choice.required_version), (None, Some(3)));
    let other = choose(state.balancer(), Some("other"), NOW).unwrap();
    assert_eq!(other.required_version, None, "no version of it was published");
}

/// Repeated version mismatches must not keep a request at one replica.
#[test]
fn a_replica_is_retried_once() {
    let mut plan = RequestPlan::new(false, 2);
    plan.begin("i-0".to_owned());
    plan.end(AttemptEnd::VersionMismatch);
    assert_eq!(plan.pinned_to().map(String::as_str), Some("i-0"));
    plan.begin("i-0".to_owned());
    let next = plan.end(AttemptEnd::VersionMismatch);
    assert_eq!(next, NextStep::Retry { fallback: ErrorKind::NoReplica, needs_budget: true });
    assert_eq!((plan.pinned_to(), plan.tried()), (None, &["i-0".to_owned()][..]));
    plan.begin("i-1".to_owned());
    plan.end(AttemptEnd::VersionMismatch);
    assert_eq!(
        plan.pinned_to().map(String::as_str),
        Some("i-1"),
        "another replica is retried once, too"
    );
}

/// If the pinned incarnation has ended, it counts as an attempt.
#[test]
fn a_request_pinned_to_an_ended_incarnation_uses_another_attempt() {
    for (attempts, is_retried) in [(2, true), (1, false)] {
        let mut plan = RequestPlan::new(false, attempts);
        plan.begin("i-0#1".to_owned());
        plan.end(AttemptEnd::VersionMismatch);
        assert_eq!(plan.unpin(), is_retried);
        assert_eq!((plan.pinned_to(), plan.tried()), (None, &["i-0#1".to_owned()][..]));
        assert!(!plan.unpin(), "it is not pinned any more");
    }
}

/// A replica with older weights reports that it did not run the request.
#[test]
fn outdated_weights_count_as_not_run_and_use_an_attempt() {
    let mut plan = RequestPlan::new(false, 2);
    plan.begin("i-0".to_owned());
    let next = plan.end(AttemptEnd::OutdatedWeights);
    assert_eq!(next, NextStep::Retry { fallback: ErrorKind::NoReplica, needs_budget: true });
    plan.begin("i-1".to_owned());
    assert_eq!(plan.end(AttemptEnd::OutdatedWeights), NextStep::Respond(ErrorKind::NoReplica));
    assert!(!plan.may_have_run());
}
