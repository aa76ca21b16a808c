//! Gateways of legacy builds in the leader's list.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{FleetView, GatewayListUpdate, GatewayReport};
use topazmount_gateway::{GatewaySettings, GatewayState, Granter};
use topazmount_types::Time;

const NOW: Time = Time::from_secs(1_000);
const OWN: &str = "10.0.0.1:80";
const OTHER: &str = "10.0.0.2:80";
const PORT: u16 = 7_340;

fn datagram_address(clients: &str) -> SocketAddr {
    let clients: SocketAddr = clients.parse().unwrap();
    SocketAddr::new(clients.ip(), PORT)
}

fn report(address: &str, is_legacy: bool) -> GatewayReport {
    GatewayReport {
        address: address.to_owned(),
        zone: "north".to_owned(),
        region: String::new(),
        is_ready: true,
        is_legacy,
    }
}

fn apply(state: &mut GatewayState, count: u64, other_is_legacy: bool) {
    let list = vec![report(OWN, false), report(OTHER, other_is_legacy)];
    let view = FleetView {
        staleness: Some(Duration::ZERO),
        gateway_count: 2,
        gateways: Some(GatewayListUpdate::full((1, count), list)),
        ..FleetView::default()
    };
    state.apply(&view, None, NOW);
    state.confirm_grants(&view, NOW, NOW);
}

/// Replicas whose requests the other gateway grants, of 100.
fn granted_by_other(state: &GatewayState) -> usize {
    let other = Some(Granter::Remote(datagram_address(OTHER)));
    (0..100).filter(|replica| state.send_granter(*replica, NOW) == other).count()
}

/// Guards against limits that nobody grants: a legacy gateway does not respond to requests.
#[rstest]
#[case::this_build(false)]
#[case::legacy(true)]
fn a_legacy_gateway_grants_nothing(#[case] is_legacy: bool) {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    state.set_own_address(datagram_address(OWN));
    apply(&mut state, 1, is_legacy);
    assert_eq!(granted_by_other(&state) == 0, is_legacy);
    assert_eq!(state.is_legacy(datagram_address(OTHER)), is_legacy);
    let own = (0..100).filter(|replica| state.send_granter(*replica, NOW) == Some(Granter::Local));
    assert_eq!(own.count() == 100, is_legacy, "this gateway grants the rest");
}

/// A gateway that was upgraded takes part again.
#[test]
fn an_upgraded_gateway_grants_again() {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    state.set_own_address(datagram_address(OWN));
    apply(&mut state, 1, true);
    apply(&mut state, 2, false);
    assert!(granted_by_other(&state) > 0);
    assert!(!state.is_legacy(datagram_address(OTHER)));
}
