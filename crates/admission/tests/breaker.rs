//! When a circuit breaker opens and closes.

use std::time::Duration;
use topazmount_admission::{Breaker, BreakerSettings, BreakerState};
use topazmount_types::Time;

const NOW: Time = Time::from_secs(1_000);

/// State after failures at these times in seconds.
fn state_after(failures: &[u64], at: u64) -> BreakerState {
    let mut breaker = Breaker::default();
    for second in failures {
        breaker.on_failure(NOW + Duration::from_secs(*second), &BreakerSettings::default());
    }
    breaker.state(NOW + Duration::from_secs(at))
}

/// Defines a test for each series of failures.
macro_rules! breaker_states {
    ($($(#[$doc:meta])* $name:ident: $failures:expr, at $at:expr => $state:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(state_after(&$failures, $at), BreakerState::$state);
        }
    )*};
}

breaker_states! {
    one_failure_does_not_open_it: [0], at 0 => Closed;
    two_failures_in_a_row_open_it: [0, 9], at 9 => Open;
    it_lets_a_probe_through_later: [0, 1], at 2 => HalfOpen;
    /// Guards against a replica that is avoided for single failures that are minutes apart.
    failures_far_apart_do_not_open_it: [0, 10, 600], at 600 => Closed;
    a_recent_failure_after_an_old_one_counts: [0, 600, 601], at 601 => Open;
}

#[test]
fn a_success_resets_the_count() {
    let (mut breaker, cfg) = (Breaker::default(), BreakerSettings::default());
    breaker.on_failure(NOW, &cfg);
    breaker.on_success();
    breaker.on_failure(NOW, &cfg);
    assert_eq!(breaker.state(NOW), BreakerState::Closed);
}

#[test]
fn a_failed_probe_opens_it_again_for_longer() {
    let (mut breaker, cfg) = (Breaker::default(), BreakerSettings::default());
    breaker.on_failure(NOW, &cfg);
    breaker.on_failure(NOW, &cfg);
    let probed_at = NOW + cfg.initial_open;
    breaker.on_sent(probed_at);
    breaker.on_failure(probed_at, &cfg);
    assert_eq!(breaker.state(probed_at + cfg.initial_open), BreakerState::Open);
    assert_eq!(breaker.state(probed_at + cfg.initial_open * 2), BreakerState::HalfOpen);
}
