//! Shares of the slots of overload-prone replicas.

mod common;

use common::{choice_request, instance, prompt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use topazmount_control::{FleetView, GatewayListUpdate, GatewayReport, InstanceStatus};
use topazmount_gateway::{Choice, GatewaySettings, GatewayState, Prompt};
use topazmount_types::{Instance, Time};

const NOW: Time = Time::from_millis(1_000_000);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8 + 1], 8_000))
}

fn report(number: usize) -> GatewayReport {
    GatewayReport {
        address: address(number).to_string(),
        zone: "north".to_owned(),
        region: "here".to_owned(),
        is_ready: true,
        is_legacy: false,
    }
}

fn replicas(count: usize, slots: u32) -> Vec<Instance> {
    let replica = |number| Instance { slots, ..instance(&format!("i-{number}"), "pool", "north") };
    (0..count).map(replica).collect()
}

/// Gateways that know each other and the replicas.
fn gateways(count: usize, replicas: &[Instance]) -> Vec<GatewayState> {
    let view = FleetView {
        leader: Some("leader".to_owned()),
        staleness: Some(std::time::Duration::ZERO),
        revision: 1,
        is_full: true,
        instances: replicas.to_vec(),
        statuses: Some(((1, 1), Vec::<InstanceStatus>::new())),
        gateways: Some(GatewayListUpdate::full((1, 1), (0..count).map(report).collect())),
        gateway_count: count as u32,
        ..FleetView::default()
    };
    let gateway = |number| {
        let mut state = GatewayState::new("north", GatewaySettings::default(), number as u64);
        state.set_own_address(address(number));
        state.apply(&view, None, NOW);
        state
    };
    (0..count).map(gateway).collect()
}

/// Sends requests until none may be sent; returns the choices.
fn fill(state: &mut GatewayState, prompt: &Prompt) -> Vec<Choice> {
    let request = choice_request(prompt, None);
    let mut choices = Vec::new();
    while let Some(choice) = state.choose(&request, NOW) {
        state.balancer().on_sent(&choice, &request, NOW);
        choices.push(choice);
        assert!(choices.len() < 1_000, "there is no limit");
    }
    choices
}

fn used(choices: &[Choice]) -> BTreeMap<String, u32> {
    let mut used = BTreeMap::new();
    for choice in choices {
        *used.entry(choice.instance.id.clone()).or_default() += 1;
    }
    used
}

fn shares_add_up(gateways_count: usize, replicas_count: usize, slots: u32) {
    let replicas = replicas(replicas_count, slots);
    let prompt = prompt(&[(1, 100)]);
    let mut all = Vec::new();
    for mut state in gateways(gateways_count, &replicas) {
        state.balancer().record_overload_risk("pool", true, NOW);
        all.extend(fill(&mut state, &prompt));
    }
    let used = used(&all);
    assert!(used.values().all(|used| *used >= slots), "{used:?}");
    // A gateway's first request may go beyond its share.
    assert!(all.len() <= replicas_count * slots as usize + gateways_count, "{used:?}");
}

cases! {
    shares_add_up:
    one_gateway_uses_all_slots => 1, 3, 6;
    fewer_gateways_than_slots_share_them => 7, 3, 64;
    more_gateways_than_slots_of_a_replica_share_them => 24, 12, 4;
    many_gateways_share_many_replicas => 200, 80, 6;
}

#[test]
fn a_gateway_without_a_share_uses_one_slot() {
    let replicas = replicas(2, 2);
    let prompt = prompt(&[(1, 100)]);
    for mut state in gateways(40, &replicas) {
        state.balancer().record_overload_risk("pool", true, NOW);
        assert!(!fill(&mut state, &prompt).is_empty());
    }
}

#[test]
fn replicas_that_are_not_overload_prone_get_any_number_of_requests() {
    let replicas = replicas(1, 2);
    let prompt = prompt(&[(1, 100)]);
    let request = choice_request(&prompt, None);
    for mut state in gateways(8, &replicas) {
        state.balancer().record_overload_risk("pool", true, NOW);
        assert_eq!(state.balancer().record_overload_risk("pool", false, NOW), Some(false));
        for _ in 0..20 {
            let choice = state.choose(&request, NOW).expect("there is no limit");
            state.balancer().on_sent(&choice, &request, NOW);
        }
    }
}

#[test]
fn a_late_response_does_not_hide_that_replicas_are_overload_prone() {
    let mut state = gateways(2, &replicas(1, 2)).remove(0);
    let balancer = state.balancer();
    assert_eq!(balancer.record_overload_risk("pool", true, NOW), Some(true));
    let before = Time::from_millis(999_000);
    assert_eq!(balancer.record_overload_risk("pool", false, before), None);
}

#[test]
fn an_overload_prone_replica_that_rejected_a_request_gets_none_for_a_while() {
    let mut state = gateways(1, &replicas(1, 2)).remove(0);
    let prompt = prompt(&[(1, 100)]);
    let request = choice_request(&prompt, None);
    state.balancer().record_overload_risk("pool", true, NOW);
    let choice = state.choose(&request, NOW).unwrap();
    state.balancer().record_rejection(&choice, NOW);
    assert!(state.choose(&request, NOW).is_none());
    assert!(state.choose(&request, Time::from_millis(1_001_000)).is_some());
}

#[test]
fn requests_wait_for_a_place_only_while_own_requests_take_it() {
    let mut state = gateways(1, &replicas(1, 1)).remove(0);
    let prompt = prompt(&[(1, 100)]);
    let request = choice_request(&prompt, None);
    state.balancer().record_overload_risk("pool", true, NOW);
    assert!(!state.balancer().awaits_place(&request, NOW));
    let choice = state.choose(&request, NOW).unwrap();
    state.balancer().on_sent(&choice, &request, NOW);
    assert!(state.balancer().awaits_place(&request, NOW));
    state.balancer().on_ended(&choice, false);
    assert!(!state.balancer().awaits_place(&request, NOW));
}
