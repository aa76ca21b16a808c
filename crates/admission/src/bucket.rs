//! Token bucket: a rate with a burst.

use std::time::Duration;
use topazmount_types::Time;

/// A bucket that fills at a rate up to a burst. Work may take it below zero, since the size of an
/// answer is known only when it ends; the debt delays what comes next.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_second: f64,
    burst: f64,
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate_per_second: f64, burst: f64, now: Time) -> Self {
        TokenBucket { rate_per_second, burst, level: burst, updated_at: now }
    }

    /// Changes rate and burst; what has been used stays used.
    pub fn set_rate(&mut self, rate_per_second: f64, burst: f64, now: Time) {
        self.refill(now);
        let used = self.burst - self.level;
        self.rate_per_second = rate_per_second;
        self.burst = burst;
        self.level = burst - used;
    }

    /// Takes `amount` if the bucket holds it, or holds a full burst.
    ///
    /// # Errors
    /// How long to wait until it would be taken.
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

    /// Takes `amount` whatever the level; a negative amount gives back.
    pub fn charge(&mut self, amount: f64, now: Time) {
        self.refill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    /// What may be taken now.
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
