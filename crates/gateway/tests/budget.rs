//! The retries of all nodes together keep the fleet's budget in every window.

use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{FleetView, GatewayListUpdate, GatewayReport};
use topazmount_gateway::{BudgetSettings, GatewaySettings, GatewayState, RetryBudget};
use topazmount_types::Time;

const NODES: usize = 7;

/// Maximum number of retries beyond the budget, over every window that ends at a retry.
fn max_over_budget(retries: &[Time], requests: &[Time], settings: &BudgetSettings) -> f64 {
    let count_in_window = |times: &[Time], end: Time| {
        times.iter().filter(|at| **at <= end && end < **at + settings.window).count() as f64
    };
    let excess = |end: &Time| {
        count_in_window(retries, *end)
            - settings.ratio * count_in_window(requests, *end)
            - settings.slack
    };
    retries.iter().map(excess).fold(f64::MIN, f64::max)
}

#[test]
fn greedy_nodes_together_keep_the_budget() {
    let settings = BudgetSettings { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
    let mut budgets = vec![RetryBudget::default(); NODES];
    let (mut retries, mut requests) = (Vec::new(), Vec::new());
    for step in 0..20_000u64 {
        let now = Time::from_millis(step * 3);
        let node = step as usize % NODES;
        // Most traffic stops in the middle, so that requests expire from the window.
        if step < 8_000 || step % 10 == 0 {
            budgets[node].record_request(now, &settings);
            requests.push(now);
        }
        for _ in 0..2 {
            if budgets[node].try_retry(now, &settings, NODES) {
                retries.push(now);
            }
        }
    }
    let excess = max_over_budget(&retries, &requests, &settings);
    assert!(excess <= 0.0, "{excess} retries over the budget");
    assert!(retries.len() > 1_000, "only {} retries were allowed", retries.len());
}

#[test]
fn a_node_without_traffic_gets_its_share_of_the_slack() {
    let settings = BudgetSettings { ratio: 0.2, slack: 70.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    let now = Time::from_secs(100);
    let allowed = (0..100).filter(|_| budget.try_retry(now, &settings, NODES)).count();
    assert_eq!(allowed, 8);
    let later = now + settings.window + Duration::from_millis(1);
    assert!(budget.try_retry(later, &settings, NODES));
}

/// The first view of a leader in a term, which lists `count` gateways.
fn leader_view(term: u64, count: usize) -> FleetView {
    let report = |number| GatewayReport {
        address: format!("10.0.0.{number}:80"),
        zone: "north".to_owned(),
        region: "here".to_owned(),
        is_ready: true,
        is_legacy: false,
    };
    let listed = (0..count).map(report).collect();
    FleetView {
        staleness: Some(Duration::ZERO),
        gateways: Some(GatewayListUpdate::full((term, 1), listed)),
        gateway_count: count as u32,
        ..FleetView::default()
    }
}

#[test]
fn a_new_leader_that_knows_one_gateway_gives_it_the_whole_budget() {
    let now = Time::from_secs(1_000);
    let settings = GatewaySettings::default();
    let mut state = GatewayState::new("north", settings, 1);
    state.set_own_address(SocketAddr::from(([10, 0, 0, 0], 7_000)));
    for (term, count) in [(1, NODES), (2, 1)] {
        let view = leader_view(term, count);
        state.apply(&view, None, now);
        state.confirm_grants(&view, now, now);
    }
    let retries = (0..100).filter(|_| state.try_retry("pool", now)).count();
    let part = settings.budget.slack / NODES as f64;
    assert!(retries as f64 <= part, "{retries} of {part:.1}");
}
