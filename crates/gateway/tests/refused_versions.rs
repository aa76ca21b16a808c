//! What a gateway makes of a refusal of the version that a request named, and which version prompts name.

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
        start: Start::UNSAID,
        correction: (0, 0),
    }
}

fn choose(balancer: &mut Balancer, model: Option<&str>, now: Time) -> Option<Choice> {
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = ChoiceRequest { model, ..choice_request(&prompt, None) };
    balancer.choose(&request, now, &mut PolicyTable::default())
}

/// One replica that is believed to hold a version.
fn one(version: u32, named: Option<u32>) -> Balancer {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(instance("i-0", "pool", "north"));
    balancer.set_status(&status("i-0", version));
    balancer.set_published(&named.map(loaded).unwrap_or_default(), NOW);
    balancer
}

/// What follows from a refusal of version 2, and which version is named there next, at once or after the pause.
fn refused(
    named: Option<u32>,
    said: Option<u32>,
    asks_again: bool,
    next: (Option<u32>, Option<u32>),
) {
    let mut balancer = one(2, named);
    let choice = choose(&mut balancer, Some("model"), NOW).unwrap();
    assert_eq!(choice.required_version, Some(2));
    let refused = balancer.on_version_refused(&choice, "model", said, NOW);
    let at = match &refused {
        VersionRefusal::RetrySame | VersionRefusal::Unexplained => NOW,
        VersionRefusal::Downgraded(change) => {
            let ReplicaChange::Downgraded { recorded: before, reported: told, .. } = change else {
                panic!("{change:?}")
            };
            assert_eq!((*before, *told), (2, said));
            let just_before = NOW + DOWNGRADE_PAUSE - Duration::from_millis(1);
            assert_eq!(choose(&mut balancer, Some("model"), just_before), None);
            assert!(choose(&mut balancer, None, NOW).is_some(), "it serves what names no model");
            NOW + DOWNGRADE_PAUSE
        }
    };
    assert_eq!(refused == VersionRefusal::RetrySame, asks_again, "{refused:?}");
    let choice = choose(&mut balancer, Some("model"), at).unwrap();
    assert_eq!((choice.version, choice.required_version), next);
}

cases! { refused:
    a_newer_version_is_noted_and_named => Some(2), Some(3), true, (Some(3), Some(3));
    also_where_none_was_ever_named => None, Some(3), true, (Some(3), Some(3));
    an_older_version_is_taken_over => Some(2), Some(1), false, (Some(1), Some(1));
    also_an_older_one_where_none_was_ever_named => None, Some(1), false, (Some(1), Some(1));
    without_a_word_the_newest_named_is_asked_for => Some(3), None, true, (None, Some(3));
    without_a_word_the_named_one_is_not_held => Some(2), None, false, (None, Some(2));
    nor_one_that_is_newer_than_the_named => Some(1), None, false, (None, Some(1));
    where_none_was_ever_named_none_is_named_next => None, None, true, (None, None);
    the_same_version_is_no_reason => Some(2), Some(2), false, (Some(2), Some(2));
}

/// The leader has heard the replica by then.
#[test]
fn the_next_status_ends_the_pause() {
    let mut balancer = one(2, Some(2));
    let choice = choose(&mut balancer, Some("model"), NOW).unwrap();
    balancer.on_version_refused(&choice, "model", Some(1), NOW);
    assert_eq!(choose(&mut balancer, Some("model"), NOW), None);
    balancer.set_status(&status("i-0", 2));
    assert_eq!(choose(&mut balancer, Some("model"), NOW).unwrap().version, Some(2));
}

#[test]
fn a_replica_that_went_back_is_no_choice_while_another_holds_the_version() {
    let mut balancer = one(2, Some(2));
    balancer.upsert(instance("i-1", "pool", "north"));
    balancer.set_status(&status("i-1", 2));
    let choice = choose(&mut balancer, Some("model"), NOW).unwrap();
    balancer.on_version_refused(&choice, "model", None, NOW);
    let other = choose(&mut balancer, Some("model"), NOW).unwrap();
    assert_ne!(other.instance.id, choice.instance.id);
    assert_eq!(other.required_version, Some(2));
}

/// Followers tell of a replica before its status comes; it may hold any weights.
#[test]
fn a_prompt_names_the_newest_version_where_that_of_its_replica_is_not_known() {
    let mut knowledge = GatewayState::new("north", GatewaySettings::default(), 1);
    let instances = vec![instance("i-0", "pool", "north")];
    let view = FleetView { revision: 1, instances, ..FleetView::default() };
    knowledge.apply(&FleetView { weights: loaded(3), ..view.clone() }, None, NOW);
    // A member that lags tells an older one, or none.
    knowledge.apply(&FleetView { weights: loaded(2), ..view.clone() }, None, NOW);
    knowledge.apply(&view, None, NOW);
    let choice = choose(knowledge.balancer(), Some("model"), NOW).unwrap();
    assert_eq!((choice.version, choice.required_version), (None, Some(3)));
    let other = choose(knowledge.balancer(), Some("other"), NOW).unwrap();
    assert_eq!(other.required_version, None, "no version of it was ever named");
}

/// Weights that change all the time hold no request at one replica.
#[test]
fn a_replica_is_asked_again_once() {
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
    assert_eq!(plan.pinned_to().map(String::as_str), Some("i-1"), "another one is");
}

/// The incarnation that was to be asked again may be gone; then it counts as one that was sent the request.
#[test]
fn a_request_held_to_an_ended_incarnation_goes_to_another_within_its_attempts() {
    for (attempts, goes_on) in [(2, true), (1, false)] {
        let mut plan = RequestPlan::new(false, attempts);
        plan.begin("i-0#1".to_owned());
        plan.end(AttemptEnd::VersionMismatch);
        assert_eq!(plan.unpin(), goes_on);
        assert_eq!((plan.pinned_to(), plan.tried()), (None, &["i-0#1".to_owned()][..]));
        assert!(!plan.unpin(), "it is held to none");
    }
}

/// A replica that holds older weights said that it did not run the request.
#[test]
fn old_weights_count_as_not_run_within_the_attempts() {
    let mut plan = RequestPlan::new(false, 2);
    plan.begin("i-0".to_owned());
    let next = plan.end(AttemptEnd::OutdatedWeights);
    assert_eq!(next, NextStep::Retry { fallback: ErrorKind::NoReplica, needs_budget: true });
    plan.begin("i-1".to_owned());
    assert_eq!(plan.end(AttemptEnd::OutdatedWeights), NextStep::Respond(ErrorKind::NoReplica));
    assert!(!plan.may_have_run());
}
