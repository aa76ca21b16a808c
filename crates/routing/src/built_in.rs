//! The built-in policy: least estimated time to the first token.

use crate::candidate::Candidate;

/// Weight of the work that a choice makes, over the time that the caller waits for it. Prefill of
/// what another replica holds delays everybody behind it, so it counts more than once.
const PREFILL_WEIGHT: f64 = 8.0;

/// Position in `candidates` of the best one; `None` when there are none.
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
