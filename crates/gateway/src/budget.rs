//! The share of a fleet-wide retry budget that one node may spend without asking anybody.

use std::collections::VecDeque;
use std::time::Duration;
use topazmount_types::Time;

/// Part of its share that a node spends, since arrivals are counted at the replicas, a little
/// later than here, and since nodes come and go.
const SPENT_SHARE: f64 = 0.8;

/// The fleet's budget: within any `window`, the repeats that a service receives are at most
/// `ratio` times its requests plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed beyond that, over all nodes.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// One node's repeats at one service. Invariant: in any window this node makes at most its share
/// of the fleet's budget, so that the sum over `nodes` nodes keeps the whole.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryBudget {
    /// Counts a request at its first attempt.
    pub fn record_request(&mut self, now: Time, settings: &BudgetSettings) {
        forget(&mut self.requests, now, settings.window);
        self.requests.push_back(now);
    }

    /// Asks for one repeat, of a fleet of `nodes` nodes; counts it when it is allowed.
    pub fn try_retry(&mut self, now: Time, settings: &BudgetSettings, nodes: usize) -> bool {
        forget(&mut self.requests, now, settings.window);
        forget(&mut self.repeats, now, settings.window);
        let share = settings.slack / nodes.max(1) as f64;
        let most = SPENT_SHARE * (settings.ratio * self.requests.len() as f64 + share);
        let is_allowed = (self.repeats.len() + 1) as f64 <= most;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }
}

fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}
