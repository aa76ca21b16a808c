//! Answers that anyone can compute again, so that a checker knows what each caller should get.

use topazmount_types::Digest;

/// Fewest and most tokens of an answer that is not cut by the caller's bound.
const LENGTHS: std::ops::Range<u64> = 8..200;

fn draw(prompt: Digest, position: u32) -> u64 {
    Digest::of_parts(&[&prompt.0.to_le_bytes(), &position.to_le_bytes()]).prefix()
}

/// Length of the answer to a prompt, in tokens, before the caller's bound.
pub fn answer_length(prompt: Digest) -> u32 {
    let span = LENGTHS.end - LENGTHS.start;
    (LENGTHS.start + draw(prompt, u32::MAX) % span) as u32
}

/// Text of the token at a position.
pub fn token_text(prompt: Digest, position: u32) -> String {
    format!(" w{:04x}", draw(prompt, position) & 0xffff)
}

/// Text of the first `tokens` tokens.
pub fn answer_text(prompt: Digest, tokens: u32) -> String {
    (0..tokens).map(|position| token_text(prompt, position)).collect()
}
