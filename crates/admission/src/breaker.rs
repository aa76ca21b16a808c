//! Circuit breaker of one back end.

use std::time::Duration;
use topazmount_types::Time;

/// When a breaker opens and how it closes again.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failure_threshold: u32,
    /// First time that it stays open; doubled each time that the trial fails.
    pub initial_open: Duration,
    /// Longest time that it stays open.
    pub max_open: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        BreakerSettings {
            failure_threshold: 2,
            initial_open: Duration::from_millis(500),
            max_open: Duration::from_secs(8),
        }
    }
}

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Everything.
    Closed,
    /// Nothing.
    Open,
    /// One trial.
    HalfOpen,
}

/// Circuit breaker.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures_in_row: u32,
    times_opened: u32,
    open_until: Option<Time>,
    trial_running: bool,
}

impl Breaker {
    /// Current state.
    pub fn state(&self, now: Time) -> BreakerState {
        match self.open_until {
            None => BreakerState::Closed,
            Some(until) if now < until || self.trial_running => BreakerState::Open,
            Some(_) => BreakerState::HalfOpen,
        }
    }

    /// Notes that work is sent; in the half-open state this is the one trial.
    pub fn on_sent(&mut self, now: Time) {
        if self.state(now) == BreakerState::HalfOpen {
            self.trial_running = true;
        }
    }

    /// Notes a good answer.
    pub fn on_success(&mut self) {
        *self = Breaker::default();
    }

    /// Notes a failure.
    pub fn on_failure(&mut self, now: Time, settings: &BreakerSettings) {
        self.failures_in_row += 1;
        let trial_failed = std::mem::take(&mut self.trial_running);
        let is_open = self.open_until.is_some_and(|until| now < until);
        if trial_failed || (self.failures_in_row >= settings.failure_threshold && !is_open) {
            let doublings = self.times_opened.min(8);
            let open = settings.initial_open.saturating_mul(1 << doublings).min(settings.max_open);
            self.open_until = Some(now + open);
            self.times_opened += 1;
        }
    }

    /// Notes that a trial ended without telling anything, as when the caller went away.
    pub fn on_abandoned(&mut self) {
        self.trial_running = false;
    }
}
