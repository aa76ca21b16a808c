//! What a request would cost at a replica.

use super::source::{Certainty, Source};
use crate::catalog::EngineParameters;
use crate::prompt::Prompt;
use topazmount_routing::Candidate;

/// Prefill rate assumed until one is measured, in tokens a millisecond.
pub(super) const PREFILL_PRIOR: f64 = 40.0;
/// Time by which one request in flight delays the next, in milliseconds.
pub(super) const DELAY_PER_REQUEST_MS: f64 = 1.0;
/// Part of the smoothed delay that counts: what waits is known from those who sent it.
pub(super) const DELAY_SHARE: f64 = 0.3;
/// Cost of another zone, in milliseconds: the way there and back and the price of its bytes.
pub(super) const OTHER_ZONE_MS: f64 = 6.0;
/// What it costs a prompt to begin on older weights than another replica holds, in milliseconds: its
/// answer is worth less, and runs there are held up when the replica loads.
pub(super) const OLD_WEIGHTS_MS: f64 = 200.0;
/// What a move of memory costs beside its own time, in milliseconds.
const MOVE_COST_MS: f64 = 15.0;
/// Chance that a home holds what nobody is known to hold.
const HOME_CHANCE: f64 = 0.7;
/// Chance that a replica still holds what it was seen to read.
const HOLDER_CHANCE: f64 = 0.97;
/// Times that a move's duration counts: it holds up other moves at both ends.
const MOVE_WEIGHT: f64 = 2.0;
/// Factor on a move's duration between zones.
const OTHER_ZONE_MOVE: f64 = 2.0;
/// Cost of each place in the order of homes, in milliseconds: what leaves its home should meet
/// again at the next one.
const RANK_COST_MS: f64 = 4.0;

/// Adds what a prompt costs at a replica that holds, or is reading, `depth` of its leading parts.
/// `is_home` is set at the first home of a prompt that nobody is known to hold: other nodes may
/// have sent it there. `tokens_per_ms` is the rate at which the engine reads.
pub(super) fn add_prompt(
    candidate: &mut Candidate,
    prompt: &Prompt,
    engine: Option<&EngineParameters>,
    depth: usize,
    is_home: bool,
    source: Option<&Source>,
    tokens_per_ms: f64,
) {
    let guessed = if is_home { HOME_CHANCE * f64::from(prompt.shared_tokens()) } else { 0.0 };
    let at_hand = prompt.leading_tokens(depth).max(guessed as u32);
    let (reachable, chance) = match source.map(|source| source.certainty) {
        None => (0, 0.0),
        // A home moves nothing in from another one that is as uncertain.
        Some(Certainty::Guessed) if is_home => (0, 0.0),
        Some(Certainty::Guessed) => (prompt.shared_tokens(), HOME_CHANCE),
        Some(Certainty::Seen(parts) | Certainty::Told(parts, _)) => {
            (prompt.leading_tokens(parts), HOLDER_CHANCE)
        }
    };
    let moved = reachable.saturating_sub(at_hand);
    candidate.cached_tokens = at_hand + (chance * f64::from(moved)) as u32;
    let read = prompt.prompt_tokens.saturating_sub(candidate.cached_tokens);
    candidate.prefill_ms = f64::from(read) / tokens_per_ms;
    candidate.network_ms += RANK_COST_MS * f64::from(candidate.home_rank);
    if let (Some(engine), true) = (engine, moved > 0) {
        let move_ms = match source.map(|source| source.certainty) {
            Some(Certainty::Told(_, link_mbps)) => engine.transfer_ms_over(moved, link_mbps),
            _ => engine.transfer_ms(moved),
        };
        let move_ms = move_ms * OTHER_ZONE_MOVE;
        candidate.network_ms += MOVE_COST_MS + MOVE_WEIGHT * move_ms;
    }
}
