//! What is measured of engines: priors that are wrong are unlearned within seconds.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use topazmount_gateway::PrefillEstimator;

/// Rate assumed at first, in tokens a millisecond.
const PRIOR: f64 = 40.0;
/// Time to a first token beside reading, in milliseconds.
const FIXED_MS: f64 = 20.0;

/// Samples of an engine: short and long prompts, of which a part waited behind others, or had lost
/// what was believed to be kept.
fn after(engine_rate: f64, samples: u32, delayed: f64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut estimate = PrefillEstimator::new(PRIOR);
    for _ in 0..samples {
        let tokens: u32 = if rng.random_bool(0.5) {
            rng.random_range(50..500)
        } else {
            rng.random_range(1_500..9_000)
        };
        let mut waited = FIXED_MS + f64::from(tokens) / engine_rate;
        if rng.random_bool(delayed) {
            waited *= rng.random_range(1.2..4.0);
        }
        estimate.record(tokens, waited);
    }
    estimate.tokens_per_ms()
}

#[rstest]
#[case("as assumed", PRIOR)]
#[case("four times as fast", 4.0 * PRIOR)]
#[case("four times as slow", PRIOR / 4.0)]
#[case("a half faster", 1.5 * PRIOR)]
fn the_rate_of_an_engine_is_found(#[case] name: &str, #[case] rate: f64) {
    // A gateway sees some ten prompts a second.
    for delayed in [0.0, 0.3] {
        let found = after(rate, 300, delayed);
        assert!((0.7..1.3).contains(&(found / rate)), "{name}, {delayed}: {found} of {rate}");
    }
}

#[rstest]
#[case("no time", 5_000, 0.0)]
#[case("less than none", 5_000, -3.0)]
#[case("no number", 5_000, f64::NAN)]
#[case("no end", 5_000, f64::INFINITY)]
#[case("no tokens", 0, 20.0)]
fn what_can_not_be_a_time_changes_no_rate(
    #[case] name: &str,
    #[case] tokens: u32,
    #[case] ms: f64,
) {
    let mut estimate = PrefillEstimator::new(PRIOR);
    (0..100).for_each(|_| estimate.record(tokens, ms));
    assert_eq!(estimate.tokens_per_ms(), PRIOR, "{name}");
    assert_eq!(estimate.samples(), 0);
}
