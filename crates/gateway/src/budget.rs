//! Retry budget of the fleet, divided among its nodes so that no coordination is needed.

use std::collections::VecDeque;
use std::time::Duration;
use topazmount_types::Time;

/// Share of its part of the budget that a node spends. The rest covers retries that reach replicas
/// later than they are counted here, and changes of the number of nodes.
const SPENT_SHARE: f64 = 0.8;

/// The fleet's budget: within any `window`, a service receives at most `ratio` times its requests
/// plus `slack` retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed, over all nodes.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// One node's retries at one service. Invariant: in any window this node makes at most its part of
/// the fleet's budget, so that `nodes` nodes together keep the whole.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Counts a request at its first attempt.
    pub fn record_request(&mut self, now: Time, settings: &BudgetSettings) {
        drop_expired(&mut self.requests, now, settings.window);
        self.requests.push_back(now);
    }

    /// Whether one retry is allowed, in a fleet of `nodes` nodes; counts it if so.
    pub fn try_retry(&mut self, now: Time, settings: &BudgetSettings, nodes: usize) -> bool {
        drop_expired(&mut self.requests, now, settings.window);
        drop_expired(&mut self.retries, now, settings.window);
        let share = settings.slack / nodes.max(1) as f64;
        let max_retries = SPENT_SHARE * (settings.ratio * self.requests.len() as f64 + share);
        let is_allowed = (self.retries.len() + 1) as f64 <= max_retries;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}
