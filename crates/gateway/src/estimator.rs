//! Estimates the prefill rate of engines from response times.

/// Maximum relative step of an estimate per sample.
const GAIN: f64 = 0.08;
/// Tracked quantile of the observed rates; unknown queues and evicted parts only make a prompt look
/// slower.
const RATE_QUANTILE: f64 = 0.8;
/// Tracked quantile of the observed fixed times, for the same reason.
const FIXED_QUANTILE: f64 = 0.2;
/// Prompts with at least `LONG_TOKENS` update the rate, those with at most `SHORT_TOKENS` the fixed
/// time.
const LONG_TOKENS: u32 = 1_500;
const SHORT_TOKENS: u32 = 600;
/// Bounds of the rate, in tokens per millisecond.
const MIN_RATE: f64 = 0.1;
const MAX_RATE: f64 = 10_000.0;

/// Estimates the prefill rate of a service's engines from the times to first token.
///
/// Invariant: the rate stays within its bounds, whatever is observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimator {
    tokens_per_ms: f64,
    /// Part of the time to first token that does not depend on the prompt's length.
    fixed_ms: f64,
    samples: u64,
}

impl PrefillEstimator {
    /// Creates an estimator with an initial rate.
    pub fn new(prior_tokens_per_ms: f64) -> Self {
        let tokens_per_ms = prior_tokens_per_ms.clamp(MIN_RATE, MAX_RATE);
        PrefillEstimator { tokens_per_ms, fixed_ms: 0.0, samples: 0 }
    }

    /// Estimated rate in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Number of samples of the rate.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Records that a prompt, of which `tokens` had to be read, had its first token after
    /// `waited_ms` at a replica without other waiting prompts.
    pub fn record(&mut self, tokens: u32, waited_ms: f64) {
        if !waited_ms.is_finite() || waited_ms <= 0.0 {
            return;
        }
        if tokens <= SHORT_TOKENS {
            let fixed = (waited_ms - f64::from(tokens) / self.tokens_per_ms).max(0.1);
            let before = self.fixed_ms;
            self.fixed_ms = match before {
                // A zero estimate can't be scaled, so it starts at the first sample.
                0.0 => fixed,
                _ => before * step_factor(fixed > before, FIXED_QUANTILE),
            };
        } else if tokens >= LONG_TOKENS {
            self.samples += 1;
            // The fixed time may be overestimated, so it accounts for at most three quarters.
            let reading_ms = (waited_ms - self.fixed_ms).max(waited_ms / 4.0);
            let rate = f64::from(tokens) / reading_ms;
            let next = self.tokens_per_ms * step_factor(rate > self.tokens_per_ms, RATE_QUANTILE);
            self.tokens_per_ms = next.clamp(MIN_RATE, MAX_RATE);
        }
    }
}

/// Factor for one step of a tracked quantile. Steps up and down balance where `quantile` of the
/// samples lie below the estimate.
fn step_factor(is_above: bool, quantile: f64) -> f64 {
    if is_above { 1.0 + GAIN * quantile } else { 1.0 - GAIN * (1.0 - quantile) }
}
