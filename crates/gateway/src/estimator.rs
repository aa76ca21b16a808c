//! What is measured of engines while they work.

/// Part of the way towards a new sample by which an estimate moves at most.
const GAIN: f64 = 0.08;
/// Quantile of the observed rates that is tracked: queues that are not known of, and parts that were
/// believed to be kept, only ever make a prompt look slower.
const RATE_QUANTILE: f64 = 0.8;
/// Quantile of the observed fixed times that is tracked, for the same reason.
const FIXED_QUANTILE: f64 = 0.2;
/// Fewest tokens of a prompt whose time tells of the rate, and most of one that tells of the fixed time.
const LONG_TOKENS: u32 = 1_500;
const SHORT_TOKENS: u32 = 600;
/// Bounds of an estimate, in tokens a millisecond.
const SLOWEST: f64 = 0.1;
const FASTEST: f64 = 10_000.0;

/// Rate at which the engines of a service read prompts, from the times to first tokens.
///
/// Invariant: the rate is within its bounds, whatever was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimator {
    tokens_per_ms: f64,
    /// Time to a first token that does not depend on the prompt's length, in milliseconds.
    fixed_ms: f64,
    samples: u64,
}

impl PrefillEstimator {
    /// An estimate that holds until samples say otherwise.
    pub fn new(prior_tokens_per_ms: f64) -> Self {
        let tokens_per_ms = prior_tokens_per_ms.clamp(SLOWEST, FASTEST);
        PrefillEstimator { tokens_per_ms, fixed_ms: 0.0, samples: 0 }
    }

    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Samples taken so far.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Notes that a prompt of which `tokens` had to be read had its first token after `waited_ms`, at
    /// a replica where nothing else was known to wait.
    pub fn record(&mut self, tokens: u32, waited_ms: f64) {
        if !waited_ms.is_finite() || waited_ms <= 0.0 {
            return;
        }
        if tokens <= SHORT_TOKENS {
            let fixed = (waited_ms - f64::from(tokens) / self.tokens_per_ms).max(0.1);
            let before = self.fixed_ms;
            self.fixed_ms = match before {
                // From nothing no factor leads anywhere.
                0.0 => fixed,
                _ => before * step(fixed > before, FIXED_QUANTILE),
            };
        } else if tokens >= LONG_TOKENS {
            self.samples += 1;
            // The fixed time may be overestimated: it never explains more than three quarters.
            let reading_ms = (waited_ms - self.fixed_ms).max(waited_ms / 4.0);
            let rate = f64::from(tokens) / reading_ms;
            let next = self.tokens_per_ms * step(rate > self.tokens_per_ms, RATE_QUANTILE);
            self.tokens_per_ms = next.clamp(SLOWEST, FASTEST);
        }
    }
}

/// Factor by which a tracked quantile moves: up by its part of the gain and down by the rest, so that
/// it rests where that part of the samples lies below it.
fn step(is_above: bool, quantile: f64) -> f64 {
    if is_above { 1.0 + GAIN * quantile } else { 1.0 - GAIN * (1.0 - quantile) }
}
