//! The built-in policy: lowest estimated cost.

use crate::candidate::Candidate;

/// Weight of prefill time relative to waiting time: a prefill also delays the requests queued
/// behind it.
const PREFILL_WEIGHT: f64 = 8.0;

/// Index of the best candidate; `None` when there are none.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let cost = |candidate: &Candidate| {
        candidate.queue_ms + PREFILL_WEIGHT * candidate.prefill_ms + candidate.network_ms
    };
    (0..candidates.len()).min_by(|left, right| {
        let (left, right) = (&candidates[*left], &candidates[*right]);
        let by_rank = left.home_rank.cmp(&right.home_rank);
        cost(left).total_cmp(&cost(right)).then(by_rank)
    })
}
