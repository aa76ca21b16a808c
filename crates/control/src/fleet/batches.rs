//! Limits the size and rate of responses to requesters that are behind.
//!
//! Requesters give up a response after a timeout. In batches, each response that arrives makes
//! progress, and the leader's work and memory stay bounded.

use std::time::Duration;
use topazmount_types::Time;

/// Maximum number of replicas, and of statuses of others, in one response.
pub(super) const MAX_PER_RESPONSE: usize = 512;
/// Maximum number of responses per [`INTERVAL`] to requesters that are behind; bounds the leader's
/// work and memory.
const MAX_RESPONSES_PER_INTERVAL: usize = 16;
const INTERVAL: Duration = Duration::from_millis(10);

/// Counts the batches of the current interval.
#[derive(Default)]
pub(super) struct BatchLimiter {
    since: Time,
    sent: usize,
}

impl BatchLimiter {
    /// Whether one more batch may be sent; if so, counts it.
    pub(super) fn try_acquire(&mut self, now: Time) -> bool {
        if now >= self.since + INTERVAL {
            *self = BatchLimiter { since: now, sent: 0 };
        }
        self.sent += 1;
        self.sent <= MAX_RESPONSES_PER_INTERVAL
    }
}

/// The count at which the earliest `max` changes end; `None` if there are at most `max`.
pub(super) fn end_of_batch(changes: impl Iterator<Item = u64>, max: usize) -> Option<u64> {
    let mut counts: Vec<u64> = changes.collect();
    if counts.len() <= max {
        return None;
    }
    let (_, end, _) = counts.select_nth_unstable(max - 1);
    Some(*end)
}
