//! Token bucket with a rate and a burst size.

use std::time::Duration;
use topazmount_types::Time;

/// Token bucket. Its level may become negative, because the size of a response is known only at its
/// end; the debt delays later requests.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_second: f64,
    burst: f64,
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_second: f64, burst: f64, now: Time) -> Self {
        TokenBucket { rate_per_second, burst, level: burst, updated_at: now }
    }

    /// Changes rate and burst; the used amount is kept.
    pub fn set_rate(&mut self, rate_per_second: f64, burst: f64, now: Time) {
        self.refill(now);
        let used = self.burst - self.level;
        self.rate_per_second = rate_per_second;
        self.burst = burst;
        self.level = burst - used;
    }

    /// Takes `amount` if the bucket holds that much, or is full.
    ///
    /// # Errors
    /// Time until the amount becomes available.
    pub fn take(&mut self, amount: f64, now: Time) -> Result<(), Duration> {
        self.refill(now);
        let needed = amount.min(self.burst);
        if self.level >= needed {
            self.level -= amount;
            return Ok(());
        }
        let wait = (needed - self.level) / self.rate_per_second;
        Err(Duration::from_secs_f64(wait.min(3_600.0)))
    }

    /// Takes `amount` regardless of the level; a negative amount is a refund.
    pub fn charge(&mut self, amount: f64, now: Time) {
        self.refill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    /// Available amount; negative after an overdraft.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate_per_second).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
