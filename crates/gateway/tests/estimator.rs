//! The estimated prefill rate converges from a wrong initial rate within seconds.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use topazmount_gateway::PrefillEstimator;

/// Initial rate, in tokens per millisecond.
const PRIOR: f64 = 40.0;
/// Fixed part of the time to first token, in milliseconds.
const FIXED_MS: f64 = 20.0;

/// Estimated rate after samples of short and long prompts, of which a share is slower, as after
/// queueing or cache misses.
fn estimate_after(engine_rate: f64, samples: u32, delayed_share: f64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut estimate = PrefillEstimator::new(PRIOR);
    for _ in 0..samples {
        let tokens: u32 = if rng.random_bool(0.5) {
            rng.random_range(50..500)
        } else {
            rng.random_range(1_500..9_000)
        };
        let mut waited_ms = FIXED_MS + f64::from(tokens) / engine_rate;
        if rng.random_bool(delayed_share) {
            waited_ms *= rng.random_range(1.2..4.0);
        }
        estimate.record(tokens, waited_ms);
    }
    estimate.tokens_per_ms()
}

#[rstest]
#[case("as assumed", PRIOR)]
#[case("four times as fast", 4.0 * PRIOR)]
#[case("four times as slow", PRIOR / 4.0)]
#[case("a half faster", 1.5 * PRIOR)]
fn the_estimate_converges_to_the_engine_rate(#[case] name: &str, #[case] rate: f64) {
    for delayed_share in [0.0, 0.3] {
        let estimated = estimate_after(rate, 300, delayed_share);
        assert!(
            (0.7..1.3).contains(&(estimated / rate)),
            "{name}, {delayed_share}: {estimated} of {rate}"
        );
    }
}

#[rstest]
#[case("zero time", 5_000, 0.0)]
#[case("negative time", 5_000, -3.0)]
#[case("NaN", 5_000, f64::NAN)]
#[case("infinite time", 5_000, f64::INFINITY)]
#[case("zero tokens", 0, 20.0)]
fn invalid_times_are_ignored(#[case] name: &str, #[case] tokens: u32, #[case] ms: f64) {
    let mut estimate = PrefillEstimator::new(PRIOR);
    (0..100).for_each(|_| estimate.record(tokens, ms));
    assert_eq!(estimate.tokens_per_ms(), PRIOR, "{name}");
    assert_eq!(estimate.samples(), 0);
}
