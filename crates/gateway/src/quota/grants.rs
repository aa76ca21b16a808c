//! Token buckets of the stripes that this gateway grants.

use super::authority::GrantAuthority;
use super::limit::Allowance;
use super::{GrantResponse, StripeId};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_admission::TokenBucket;
use topazmount_types::Time;

/// Maximum retry delay of a refused client.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of stripes; the least recently used one is dropped, as its bucket is probably
/// full again.
const MAX_STRIPES: usize = 4_096;

/// Order in which refused clients are told to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryOrder {
    /// One after another, each when the earlier ones have been served.
    Sequential,
    /// All when there is enough for the first, as each of them may be served elsewhere meanwhile.
    Simultaneous,
}

#[derive(Clone, Debug)]
struct Bucket {
    allowance: Allowance,
    bucket: TokenBucket,
    last_used_at: Time,
    /// Units that refused clients were told to retry for.
    promised_units: f64,
}

impl Bucket {
    /// Creates a bucket that was empty when another gateway could last grant.
    fn new(allowance: Allowance, authority: GrantAuthority, now: Time) -> Self {
        let level = allowance.rate * now.since(authority.exclusive_since).as_secs_f64();
        Bucket {
            allowance,
            bucket: bucket_at(allowance, level, now),
            last_used_at: now,
            promised_units: 0.0,
        }
    }

    /// Changes the allowance; the level is cut to a lower burst, and a debt stays as it is.
    fn set_allowance(&mut self, allowance: Allowance, now: Time) {
        if self.allowance != allowance {
            let level = self.bucket.level(now);
            self.bucket = bucket_at(allowance, level, now);
            self.allowance = allowance;
        }
    }

    fn take(&mut self, amount: f64, retry_order: RetryOrder, now: Time) -> GrantResponse {
        let passed = now.since(self.last_used_at).as_secs_f64();
        self.promised_units = (self.promised_units - self.allowance.rate * passed).max(0.0);
        self.last_used_at = now;
        if amount <= self.bucket.level(now) {
            self.bucket.charge(amount, now);
            return GrantResponse::Granted;
        }
        if amount > self.allowance.burst {
            return GrantResponse::LimitExceeded(MAX_RETRY_DELAY);
        }
        let missing = amount + self.promised_units - self.bucket.level(now);
        if retry_order == RetryOrder::Sequential {
            self.promised_units += amount;
        }
        let wait = Duration::try_from_secs_f64(missing / self.allowance.rate);
        GrantResponse::LimitExceeded(wait.unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY))
    }
}

fn bucket_at(allowance: Allowance, level: f64, now: Time) -> TokenBucket {
    let mut bucket = TokenBucket::new(allowance.rate, allowance.burst, now);
    bucket.charge(allowance.burst - level.min(allowance.burst), now);
    bucket
}

/// The buckets of all stripes that this gateway has granted.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantBuckets {
    buckets: HashMap<StripeId, Bucket>,
}

impl GrantBuckets {
    pub(super) fn grant(
        &mut self,
        stripe: StripeId,
        allowance: Allowance,
        authority: GrantAuthority,
        amount: u32,
        retry_order: RetryOrder,
        now: Time,
    ) -> GrantResponse {
        let bucket =
            self.buckets.entry(stripe).or_insert_with(|| Bucket::new(allowance, authority, now));
        // Another gateway may have granted since the bucket was last used.
        if bucket.last_used_at < authority.granter_since {
            *bucket = Bucket::new(allowance, authority, now);
        }
        bucket.set_allowance(allowance, now);
        let answer = bucket.take(f64::from(amount), retry_order, now);
        self.drop_excess();
        answer
    }

    pub(super) fn return_units(&mut self, stripe: StripeId, amount: u32, now: Time) {
        if let Some(bucket) = self.buckets.get_mut(&stripe) {
            bucket.bucket.charge(-f64::from(amount), now);
        }
    }

    fn drop_excess(&mut self) {
        if self.buckets.len() <= MAX_STRIPES {
            return;
        }
        let least_recent = self.buckets.iter().min_by_key(|(_, bucket)| bucket.last_used_at);
        if let Some(stripe) = least_recent.map(|(stripe, _)| *stripe) {
            self.buckets.remove(&stripe);
        }
    }
}
