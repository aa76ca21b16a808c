//! Circuit breaker for one back end.

use std::time::Duration;
use topazmount_types::Time;

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Time after which a failure no longer counts towards the threshold.
    pub failure_memory: Duration,
    /// How long it stays open the first time; doubled each time the probe fails.
    pub initial_open: Duration,
    /// Maximum time that it stays open.
    pub max_open: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        BreakerSettings {
            failure_threshold: 2,
            failure_memory: Duration::from_secs(10),
            initial_open: Duration::from_millis(500),
            max_open: Duration::from_secs(8),
        }
    }
}

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// All requests pass.
    Closed,
    /// No request passes.
    Open,
    /// One probe request passes.
    HalfOpen,
}

/// Opens after consecutive failures, then lets a single probe through before it closes.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    last_failure_at: Option<Time>,
    times_opened: u32,
    open_until: Option<Time>,
    is_probing: bool,
}

impl Breaker {
    /// Current state.
    pub fn state(&self, now: Time) -> BreakerState {
        match self.open_until {
            None => BreakerState::Closed,
            Some(until) if now < until || self.is_probing => BreakerState::Open,
            Some(_) => BreakerState::HalfOpen,
        }
    }

    /// Records that a request is sent; in the half-open state it is the probe.
    pub fn on_sent(&mut self, now: Time) {
        if self.state(now) == BreakerState::HalfOpen {
            self.is_probing = true;
        }
    }

    /// Records a success and closes the breaker.
    pub fn on_success(&mut self) {
        *self = Breaker::default();
    }

    /// Records a failure.
    pub fn on_failure(&mut self, now: Time, settings: &BreakerSettings) {
        let is_recent = |at: Time| now < at + settings.failure_memory;
        if !self.last_failure_at.is_some_and(is_recent) {
            self.consecutive_failures = 0;
        }
        self.consecutive_failures += 1;
        self.last_failure_at = Some(now);
        let probe_failed = std::mem::take(&mut self.is_probing);
        let is_open = self.open_until.is_some_and(|until| now < until);
        if probe_failed || (self.consecutive_failures >= settings.failure_threshold && !is_open) {
            let doublings = self.times_opened.min(8);
            let open = settings.initial_open.saturating_mul(1 << doublings).min(settings.max_open);
            self.open_until = Some(now + open);
            self.times_opened += 1;
        }
    }

    /// Records that a request ended without a result, for example because the caller disconnected.
    pub fn on_abandoned(&mut self) {
        self.is_probing = false;
    }
}
