//! Grants of stripes of limits that this gateway holds.

use super::authority::Held;
use super::limit::Allowance;
use super::{GrantResponse, StripeId};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_admission::TokenBucket;
use topazmount_types::Time;

/// Longest time after which a refused client is told to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Stripes that are remembered; those that have rested longest are forgotten, since their buckets are full again.
const MOST_STRIPES: usize = 4_096;

/// When those that are refused are told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryOrder {
    /// One after another, each when those before it have been served.
    Sequential,
    /// When there is enough for the first: they may take something else meanwhile, and leave their turn unused.
    Simultaneous,
}

#[derive(Clone, Debug)]
struct Granted {
    allowance: Allowance,
    bucket: TokenBucket,
    used_at: Time,
    /// Units that refused clients were told to come back for.
    promised: f64,
}

impl Granted {
    /// A bucket that was empty when others could grant last.
    fn new(allowance: Allowance, held: Held, now: Time) -> Self {
        let level = allowance.rate * now.since(held.others_ended_at).as_secs_f64();
        Granted { allowance, bucket: bucket_at(allowance, level, now), used_at: now, promised: 0.0 }
    }

    /// What was saved up beyond a lower limit is gone; a debt does not grow.
    fn set(&mut self, allowance: Allowance, now: Time) {
        if self.allowance != allowance {
            let level = self.bucket.level(now);
            self.bucket = bucket_at(allowance, level, now);
            self.allowance = allowance;
        }
    }

    fn take(&mut self, amount: f64, refused: RetryOrder, now: Time) -> GrantResponse {
        let passed = now.since(self.used_at).as_secs_f64();
        self.promised = (self.promised - self.allowance.rate * passed).max(0.0);
        self.used_at = now;
        if amount <= self.bucket.level(now) {
            self.bucket.charge(amount, now);
            return GrantResponse::Granted;
        }
        if amount > self.allowance.burst {
            return GrantResponse::LimitExceeded(LONGEST_WAIT);
        }
        let lacking = amount + self.promised - self.bucket.level(now);
        if refused == RetryOrder::Sequential {
            self.promised += amount;
        }
        let wait = Duration::try_from_secs_f64(lacking / self.allowance.rate);
        GrantResponse::LimitExceeded(wait.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT))
    }
}

fn bucket_at(allowance: Allowance, level: f64, now: Time) -> TokenBucket {
    let mut bucket = TokenBucket::new(allowance.rate, allowance.burst, now);
    bucket.charge(allowance.burst - level.min(allowance.burst), now);
    bucket
}

/// The stripes that this gateway has granted of.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantBuckets {
    stripes: HashMap<StripeId, Granted>,
}

impl GrantBuckets {
    pub(super) fn grant(
        &mut self,
        stripe: StripeId,
        allowance: Allowance,
        held: Held,
        amount: u32,
        refused: RetryOrder,
        now: Time,
    ) -> GrantResponse {
        let granted =
            self.stripes.entry(stripe).or_insert_with(|| Granted::new(allowance, held, now));
        // Another gateway may have granted between the last use and the time since which this one is the first.
        if granted.used_at < held.first_at {
            *granted = Granted::new(allowance, held, now);
        }
        granted.set(allowance, now);
        let answer = granted.take(f64::from(amount), refused, now);
        self.forget_excess();
        answer
    }

    pub(super) fn give_back(&mut self, stripe: StripeId, amount: u32, now: Time) {
        if let Some(granted) = self.stripes.get_mut(&stripe) {
            granted.bucket.charge(-f64::from(amount), now);
        }
    }

    fn forget_excess(&mut self) {
        if self.stripes.len() <= MOST_STRIPES {
            return;
        }
        let rested = self.stripes.iter().min_by_key(|(_, granted)| granted.used_at);
        if let Some(stripe) = rested.map(|(stripe, _)| *stripe) {
            self.stripes.remove(&stripe);
        }
    }
}
