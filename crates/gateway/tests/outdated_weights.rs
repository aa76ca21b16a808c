//! Outdated weights must not be used where no leader excludes the replica.

mod common;

use common::{choice_request, instance, prompt};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::Balancer;
use topazmount_routing::PolicyTable;
use topazmount_types::{Start, Time};

const NOW: Time = Time::from_secs(1_000);

fn loaded(version: u32) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "model".to_owned(), version }]
}

/// A gateway with one replica, reported by the leader as open with version 1.
fn gateway_with_version_1() -> (Balancer, InstanceStatus) {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(instance("i-0", "pool", "north"));
    let status = InstanceStatus {
        id: "i-0".to_owned(),
        availability: Availability::Available,
        models: loaded(1),
        start: Start::UNKNOWN,
        correction: (0, 0),
    };
    balancer.set_status(&status);
    (balancer, status)
}

/// Only followers send updates for longer than the time limit, with a newer version and no
/// statuses.
#[test]
fn outdated_weights_get_no_prompts_while_only_followers_report() {
    let (mut balancer, _) = gateway_with_version_1();
    balancer.set_published(&loaded(2), NOW);
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    let later = NOW + Duration::from_secs(20);
    let choice = balancer.choose(&request, later, &mut PolicyTable::default());
    let expected = choice.map(|choice| choice.required_version);
    assert_ne!(
        expected,
        Some(Some(1)),
        "20 s after the publication of version 2, a prompt requires version 1"
    );
}

/// A follower sends the oldest allowed version, but no status of the replica.
#[test]
fn versions_below_the_minimum_are_excluded_whatever_the_status_says() {
    let (mut balancer, status) = gateway_with_version_1();
    balancer.set_min_versions(&loaded(2));
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    assert!(balancer.choose(&request, NOW, &mut PolicyTable::default()).is_none());
    balancer.set_status(&InstanceStatus { models: loaded(2), ..status });
    assert!(balancer.choose(&request, NOW, &mut PolicyTable::default()).is_some());
}

/// A new leader restarts the time limit, so its statuses take precedence over the gateway's own
/// limit.
#[test]
fn while_a_leader_reports_its_statuses_decide_which_weights_are_outdated() {
    let (mut balancer, _) = gateway_with_version_1();
    balancer.set_published(&loaded(2), NOW);
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    let expected_at = |after_ms: u64, balancer: &mut Balancer| {
        let now = NOW + Duration::from_millis(after_ms);
        balancer.choose(&request, now, &mut PolicyTable::default()).unwrap().required_version
    };
    balancer.record_leader_contact(NOW + Duration::from_secs(20));
    assert_eq!(expected_at(20_400, &mut balancer), Some(1));
    assert_eq!(
        expected_at(26_499, &mut balancer),
        Some(1),
        "less than 6.5 s after the leader's last update"
    );
    assert_eq!(expected_at(26_500, &mut balancer), Some(2));
    balancer.record_leader_contact(NOW + Duration::from_secs(27));
    assert_eq!(expected_at(27_400, &mut balancer), Some(1));
}
