//! Estimates the cost of a prompt at a replica.

use super::source::{Source, SourceParts};
use crate::catalog::EngineParameters;
use crate::prompt::Prompt;
use topazmount_routing::Candidate;

/// Prefill rate assumed before the first measurement, in tokens per millisecond.
pub(super) const DEFAULT_TOKENS_PER_MS: f64 = 40.0;
/// Delay that each request in flight adds to the next, in milliseconds.
pub(super) const DELAY_PER_REQUEST_MS: f64 = 1.0;
/// Weight of the smoothed delay, most of which is already covered by the known queue.
pub(super) const SMOOTHED_DELAY_WEIGHT: f64 = 0.3;
/// Cost of sending a request to another zone, in milliseconds.
pub(super) const OTHER_ZONE_MS: f64 = 6.0;
/// Cost of starting on older weights than another replica has, in milliseconds.
const OLDER_WEIGHTS_MS: f64 = 200.0;
/// Fixed cost of a transfer of cached parts, in milliseconds.
const TRANSFER_COST_MS: f64 = 15.0;
/// Probability that the home replica has parts cached that no known replica has.
const HOME_HIT_PROBABILITY: f64 = 0.7;
/// Probability that a replica still has the parts that its cache record says.
const RECORDED_HIT_PROBABILITY: f64 = 0.97;
/// Weight of a transfer's duration, as it delays other transfers at both ends.
const TRANSFER_WEIGHT: f64 = 2.0;
/// Factor on a transfer's duration, as for a transfer between zones.
const OTHER_ZONE_TRANSFER_FACTOR: f64 = 2.0;
/// Cost per rank in the home order, in milliseconds, so that prompts that leave their home meet at
/// the next replica in that order.
const RANK_COST_MS: f64 = 4.0;

/// Extra cost of a replica because of its weights, in milliseconds. `newest_share` is the share of
/// available replicas with the newest weights.
///
/// The fewer replicas have the newest weights, the more requests each of them attracts, so the
/// queue there counts that many times. The preference ends where it would cost more than it is
/// worth.
pub(super) fn weights_ms(has_newest: bool, newest_share: f64, queue_ms: f64) -> f64 {
    if has_newest {
        (queue_ms * (1.0 / newest_share - 1.0)).min(OLDER_WEIGHTS_MS)
    } else {
        OLDER_WEIGHTS_MS
    }
}

/// Adds the cost of a prompt at a replica that has cached, or is reading, `depth` of its leading
/// parts. `is_home` is set for the first home of a prompt that is cached nowhere, as other nodes
/// may have sent it there.
pub(super) fn add_prompt(
    candidate: &mut Candidate,
    prompt: &Prompt,
    engine: Option<&EngineParameters>,
    depth: usize,
    is_home: bool,
    source: Option<&Source>,
    tokens_per_ms: f64,
) {
    let home_tokens =
        if is_home { HOME_HIT_PROBABILITY * f64::from(prompt.shared_tokens()) } else { 0.0 };
    let cached_tokens = prompt.leading_tokens(depth).max(home_tokens as u32);
    let (source_tokens, hit_probability) = match source.map(|source| source.parts) {
        None => (0, 0.0),
        // The home does not fetch from another replica that is as uncertain.
        Some(SourceParts::Likely) if is_home => (0, 0.0),
        Some(SourceParts::Likely) => (prompt.shared_tokens(), HOME_HIT_PROBABILITY),
        Some(SourceParts::Recorded(parts) | SourceParts::Reported(parts, _)) => {
            (prompt.leading_tokens(parts), RECORDED_HIT_PROBABILITY)
        }
    };
    let fetched_tokens = source_tokens.saturating_sub(cached_tokens);
    candidate.cached_tokens = cached_tokens + (hit_probability * f64::from(fetched_tokens)) as u32;
    let uncached_tokens = prompt.prompt_tokens.saturating_sub(candidate.cached_tokens);
    candidate.prefill_ms = f64::from(uncached_tokens) / tokens_per_ms;
    candidate.network_ms += RANK_COST_MS * f64::from(candidate.home_rank);
    if let (Some(engine), true) = (engine, fetched_tokens > 0) {
        let transfer_ms = match source.map(|source| source.parts) {
            Some(SourceParts::Reported(_, link_mbps)) => {
                engine.transfer_ms_over(fetched_tokens, link_mbps)
            }
            _ => engine.transfer_ms(fetched_tokens),
        };
        let transfer_ms = transfer_ms * OTHER_ZONE_TRANSFER_FACTOR;
        candidate.network_ms += TRANSFER_COST_MS + TRANSFER_WEIGHT * transfer_ms;
    }
}
