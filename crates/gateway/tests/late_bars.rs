//! Old weights where nobody tells a gateway that they are barred.

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

/// A gateway that knows one replica, which its leader has told of as open on version 1.
fn on_first_version() -> (Balancer, InstanceStatus) {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(instance("i-0", "pool", "north"));
    let status = InstanceStatus {
        id: "i-0".to_owned(),
        availability: Availability::Available,
        models: loaded(1),
        start: Start::UNSAID,
        correction: (0, 0),
    };
    balancer.set_status(&status);
    (balancer, status)
}

/// Members that follow tell of a newer version; none that leads tells of the replica for longer than the bound.
#[test]
fn a_gateway_that_hears_followers_alone_sends_nothing_to_weights_beyond_their_bound() {
    let (mut balancer, _) = on_first_version();
    balancer.set_published(&loaded(2), NOW);
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    let later = NOW + Duration::from_secs(20);
    let choice = balancer.choose(&request, later, &mut PolicyTable::default());
    let expected = choice.map(|choice| choice.required_version);
    assert_ne!(
        expected,
        Some(Some(1)),
        "20 s after version 2 was heard of, a prompt begins on version 1"
    );
}

/// A follower says which versions are over, and nothing of the replica itself.
#[test]
fn a_gateway_passes_over_weights_that_are_over_whatever_the_status_says() {
    let (mut balancer, status) = on_first_version();
    balancer.set_min_versions(&loaded(2));
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    assert!(balancer.choose(&request, NOW, &mut PolicyTable::default()).is_none());
    balancer.set_status(&InstanceStatus { models: loaded(2), ..status });
    assert!(balancer.choose(&request, NOW, &mut PolicyTable::default()).is_some());
}

/// A leader that has just begun counts anew, and leaves replicas open until it has ordered them: its word goes first.
#[test]
fn while_a_leader_tells_news_its_statuses_say_which_weights_are_over() {
    let (mut balancer, _) = on_first_version();
    balancer.set_published(&loaded(2), NOW);
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    let expected_at = |after: u64, balancer: &mut Balancer| {
        let now = NOW + Duration::from_millis(after);
        balancer.choose(&request, now, &mut PolicyTable::default()).unwrap().required_version
    };
    balancer.record_leader_contact(NOW + Duration::from_secs(20));
    assert_eq!(expected_at(20_400, &mut balancer), Some(1));
    assert_eq!(expected_at(26_499, &mut balancer), Some(1), "6.5 s after a leader's last word");
    assert_eq!(expected_at(26_500, &mut balancer), Some(2));
    balancer.record_leader_contact(NOW + Duration::from_secs(27));
    assert_eq!(expected_at(27_400, &mut balancer), Some(1));
}
