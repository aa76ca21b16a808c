//! Retry budget and jittered backoff.

use rand::Rng;
use std::time::Duration;

/// Retries allowed beyond the ratio, for the loss of an engine and for nodes with little traffic.
const RESERVE_RETRIES: f64 = 64.0;

/// Limits retries to `ratio` times the first attempts, plus a reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    level: f64,
    /// Number of first attempts.
    pub first_attempts: u64,
    /// Number of retries.
    pub retries: u64,
    /// Number of retries that the budget denied.
    pub denied: u64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first attempt.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio, level: RESERVE_RETRIES, first_attempts: 0, retries: 0, denied: 0 }
    }

    /// Changes the ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.level = (self.level + self.ratio).min(RESERVE_RETRIES);
    }

    /// Takes a retry from the budget; returns whether it is allowed.
    pub fn try_retry(&mut self) -> bool {
        if self.level < 1.0 {
            self.denied += 1;
            return false;
        }
        self.level -= 1.0;
        self.retries += 1;
        true
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    /// Mean wait before the first retry, doubled for each further retry.
    pub base: Duration,
    /// Maximum wait.
    pub max_wait: Duration,
}

impl RetryBackoff {
    /// Random wait before a retry; `retry` counts from 0.
    pub fn wait(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let doubled = self.base.saturating_mul(1 << retry.min(16));
        let max = doubled.saturating_mul(2).min(self.max_wait);
        Duration::from_micros(rng.random_range(0..=max.as_micros() as u64))
    }
}
