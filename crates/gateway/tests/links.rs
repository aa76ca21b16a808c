//! Evidence about a gateway's links to replicas.

mod common;

use common::{choice_request, instance, prompt};
use std::time::Duration;
use topazmount_gateway::{
    Balancer, Choice, ChoiceRequest, LinkState, ReplicaLinks, WithheldFailures,
};
use topazmount_routing::PolicyTable;
use topazmount_types::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

#[test]
fn a_single_failure_between_connections_that_work_accuses_the_replica() {
    let mut links = ReplicaLinks::default();
    links.on_connected(at(1_000), at(1_000));
    assert!(!links.on_failure(at(1_100)), "a connection worked 100 ms before");
    assert_eq!(links.state(), LinkState::Working);
}

#[test]
fn a_failure_without_recent_connections_puts_the_links_in_doubt() {
    let mut links = ReplicaLinks::default();
    links.on_connected(at(1_000), at(1_000));
    assert!(links.on_failure(at(2_000)));
    assert_eq!(links.state(), LinkState::InDoubt);
    assert!(!links.is_partitioned(), "probes have to confirm it");
}

#[test]
fn failed_probes_after_a_doubt_mean_a_partition_until_a_connection_works() {
    let mut links = ReplicaLinks::default();
    links.on_failure(at(1_000));
    assert!(links.on_probes_failed(at(1_000), at(1_300)));
    assert!(!links.on_probes_failed(at(1_500), at(1_800)), "it is partitioned already");
    assert!(links.is_partitioned());
    assert_eq!(links.on_connected(at(2_000), at(2_000)), Some(Duration::from_millis(700)));
    assert_eq!(links.state(), LinkState::Working);
}

#[test]
fn a_connection_that_worked_during_the_probes_outweighs_them() {
    let mut links = ReplicaLinks::default();
    links.on_failure(at(1_000));
    links.on_connected(at(1_200), at(1_200));
    assert!(!links.on_probes_failed(at(1_000), at(1_300)));
    assert_eq!(links.state(), LinkState::Working);
}

#[test]
fn data_on_open_connections_does_not_hide_that_new_ones_are_refused() {
    let mut links = ReplicaLinks::default();
    links.on_data(at(1_000));
    assert!(links.on_failure(at(1_000)));
    links.on_data(at(1_100));
    assert!(links.on_probes_failed(at(1_000), at(1_300)));
    links.on_data(at(1_400));
    assert!(links.is_partitioned());
}

#[test]
fn a_slow_replica_is_no_partition_while_others_send_data() {
    let mut links = ReplicaLinks::default();
    links.on_data(at(1_200));
    assert!(!links.on_silence(at(1_000)));
    assert!(links.on_silence(at(1_300)), "nothing arrived since");
}

#[test]
fn a_gateway_that_starts_while_it_is_cut_off_has_no_evidence_of_working_links() {
    let mut links = ReplicaLinks::default();
    assert!(links.on_failure(at(10)));
}

#[test]
fn isolation_ends_with_its_time_or_with_the_partition() {
    let mut links = ReplicaLinks::default();
    links.on_no_tunnel(at(500));
    assert_eq!(links.isolated_for(at(500)), None, "the links may work");
    links.on_probes_failed(at(500), at(800));
    links.on_no_tunnel(at(1_000));
    assert!(links.isolated_for(at(1_100)).is_some());
    assert_eq!(links.isolated_for(at(1_400)), None);
    links.on_no_tunnel(at(2_000));
    links.on_connected(at(2_100), at(2_100));
    assert_eq!(links.isolated_for(at(2_100)), None);
}

#[test]
fn a_response_on_a_connection_from_before_the_partition_does_not_end_it() {
    let mut links = ReplicaLinks::default();
    links.on_failure(at(1_000));
    links.on_probes_failed(at(1_000), at(1_300));
    assert_eq!(links.on_connected(at(900), at(1_500)), None);
    assert!(links.is_partitioned());
}

/// A choice of a replica of its own.
fn choice(id: &str) -> Choice {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(instance(id, "pool", "north"));
    let prompt = prompt(&[]);
    let request = ChoiceRequest { prompt: None, model: None, ..choice_request(&prompt, None) };
    balancer.choose(&request, at(0), &mut PolicyTable::default()).unwrap()
}

#[test]
fn failures_while_the_links_are_in_doubt_are_forgotten() {
    let mut withheld = WithheldFailures::default();
    withheld.add(&choice("i-1"));
    withheld.add(&choice("i-1"));
    withheld.add(&choice("i-2"));
    let ids: Vec<String> = withheld.take().into_iter().map(|choice| choice.instance.id).collect();
    assert_eq!(ids, ["i-1", "i-2"], "each replica once");
    assert!(withheld.take().is_empty());
}

#[test]
fn withheld_failures_fill_the_memory() {
    let mut withheld = WithheldFailures::default();
    (0..200).for_each(|number| withheld.add(&choice(&format!("i-{number}"))));
    assert_eq!(withheld.take().len(), 64);
}
