//! Limits the size and rate of responses to requesters that are behind.
//!
//! Requesters give up a response after a timeout. In batches, each response that arrives makes
//! progress, and the leader's work and memory stay bounded. A leader that sent 3,000 replicas in one
//! response to each of 300 gateways that started together worked 0.2 to 0.5 s at a time, held
//! 173 MB and lost its lease.

use std::time::Duration;
use topazmount_types::Time;

/// Maximum number of replicas, and of statuses of others, in one response: 36 KB before compression.
pub(super) const MAX_PER_RESPONSE: usize = 512;
/// Cost of the responses per [`INTERVAL`] to requesters that are behind, in units of [`BatchCost`];
/// bounds a member's work and memory.
const MAX_COST_PER_INTERVAL: usize = 32;
const INTERVAL: Duration = Duration::from_millis(10);

/// Cost of one response to a requester that is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BatchCost {
    /// Its lists are encoded already.
    Shared = 1,
    /// Its lists must be collected and encoded.
    Built = 2,
}

/// Counts the batches of the current interval.
#[derive(Default)]
pub(super) struct BatchLimiter {
    since: Time,
    sent: usize,
}

impl BatchLimiter {
    /// Whether one more batch may be sent; if so, counts it.
    pub(super) fn try_acquire(&mut self, now: Time, cost: BatchCost) -> bool {
        if now >= self.since + INTERVAL {
            *self = BatchLimiter { since: now, sent: 0 };
        }
        let sent = self.sent + cost as usize;
        let may_send = sent <= MAX_COST_PER_INTERVAL;
        if may_send {
            self.sent = sent;
        }
        may_send
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
