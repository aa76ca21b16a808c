//! The sum of what all nodes repeat keeps the fleet's budget in every window.

use std::time::Duration;
use topazmount_gateway::{BudgetSettings, RetryBudget};
use topazmount_types::Time;

const NODES: usize = 7;

/// Repeats and requests at moments of any node, checked over every window that ends at a repeat.
fn most_over_budget(repeats: &[Time], requests: &[Time], settings: &BudgetSettings) -> f64 {
    let within = |times: &[Time], end: Time| {
        times.iter().filter(|at| **at <= end && end < **at + settings.window).count() as f64
    };
    let over = |end: &Time| {
        within(repeats, *end) - settings.ratio * within(requests, *end) - settings.slack
    };
    repeats.iter().map(over).fold(f64::MIN, f64::max)
}

#[test]
fn nodes_that_repeat_all_they_can_keep_the_budget_together() {
    let settings = BudgetSettings { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
    let mut budgets = vec![RetryBudget::default(); NODES];
    let (mut repeats, mut requests) = (Vec::new(), Vec::new());
    for step in 0..20_000u64 {
        let now = Time::from_millis(step * 3);
        let node = step as usize % NODES;
        // Traffic stops in the middle: the window must forget it.
        if step < 8_000 || step % 10 == 0 {
            budgets[node].record_request(now, &settings);
            requests.push(now);
        }
        for _ in 0..2 {
            if budgets[node].try_retry(now, &settings, NODES) {
                repeats.push(now);
            }
        }
    }
    let over = most_over_budget(&repeats, &requests, &settings);
    assert!(over <= 0.0, "{over} repeats over the budget");
    assert!(repeats.len() > 1_000, "only {} repeats were allowed", repeats.len());
}

#[test]
fn a_node_without_traffic_has_its_share_of_the_slack() {
    let settings = BudgetSettings { ratio: 0.2, slack: 70.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    let now = Time::from_secs(100);
    let allowed = (0..100).filter(|_| budget.try_retry(now, &settings, NODES)).count();
    assert_eq!(allowed, 8);
    let later = now + settings.window + Duration::from_millis(1);
    assert!(budget.try_retry(later, &settings, NODES));
}
