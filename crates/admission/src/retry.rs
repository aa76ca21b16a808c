//! Retries as a fraction of first tries, and jittered backoff.

use rand::Rng;
use std::time::Duration;

/// Retries that may be made beyond the fraction, so that the loss of one engine, or a quiet node,
/// does not run out at once.
const RESERVE: f64 = 64.0;

/// Budget that first tries fill and retries empty. Invariant: over any time, retries are at most
/// `ratio` times the first tries plus the reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    level: f64,
    /// First tries so far.
    pub first_attempts: u64,
    /// Retries so far.
    pub retries: u64,
    /// Retries that the budget did not allow.
    pub denied: u64,
}

impl RetryBudget {
    /// A budget of `ratio` retries per first try.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio, level: RESERVE, first_attempts: 0, retries: 0, denied: 0 }
    }

    /// Changes the ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a first try.
    pub fn on_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.level = (self.level + self.ratio).min(RESERVE);
    }

    /// Asks for a retry; returns whether it may be made.
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
    /// Mean wait before the first retry, doubled for each further one.
    pub base: Duration,
    /// Longest wait.
    pub max_wait: Duration,
}

impl RetryBackoff {
    /// Wait before retry number `retry`, counted from 0.
    pub fn wait(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let doubled = self.base.saturating_mul(1 << retry.min(16));
        let most = doubled.saturating_mul(2).min(self.max_wait);
        Duration::from_micros(rng.random_range(0..=most.as_micros() as u64))
    }
}
