//! The retries of all nodes together keep the fleet's budget in every window.

use std::time::Duration;
use topazmount_gateway::{BudgetSettings, RetryBudget};
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
