//! How much a requester that is behind is told at once.
//!
//! Whoever asks gives an answer up after a time. 300 gateways that started together were each told of 3,000 replicas in one
//! answer (65 MB before they are deflated, in a group in memory): the leader made its batches in 0.2 to 0.5 s each, held up to
//! 173 MB and lost its lease. In pieces, each answer that arrives counts.

use std::time::Duration;
use topazmount_types::Time;

/// Most replicas, and most statuses of others, in one answer: 36 KB before it is deflated.
pub(super) const MOST_TOLD: usize = 512;
/// Most answers within [`INTERVAL`] to requesters that are behind: what is made is held in memory until it is sent, and the
/// leader has other things to do. So 300 gateways are told of 3,000 replicas in 1.2 s by one member.
const MOST_AT_ONCE: usize = 16;
const INTERVAL: Duration = Duration::from_millis(10);

/// How many pieces may be told now.
#[derive(Default)]
pub(super) struct PieceRate {
    since: Time,
    told: usize,
}

impl PieceRate {
    /// Whether one more may be told, which is counted.
    pub(super) fn take(&mut self, now: Time) -> bool {
        if now >= self.since + INTERVAL {
            *self = PieceRate { since: now, told: 0 };
        }
        self.told += 1;
        self.told <= MOST_AT_ONCE
    }
}

/// Where the earliest `most` of some changes end, by their counts, which differ; `None` where there are no more than these.
pub(super) fn end_of_piece(changes: impl Iterator<Item = u64>, most: usize) -> Option<u64> {
    let mut counts: Vec<u64> = changes.collect();
    if counts.len() <= most {
        return None;
    }
    let (_, end, _) = counts.select_nth_unstable(most - 1);
    Some(*end)
}
