//! Prompts as paths of labelled blocks, with their hashes and their text.

use topazmount_routing::BlockHasher;
use topazmount_types::{Digest, ModelId, TenantId, WeightsVersion};

/// Labels of a prompt's whole blocks, and of what follows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPath {
    /// One label for each whole block; equal labels stand for equal text.
    pub labels: Vec<u64>,
    /// Label of the rest, which nobody else has.
    pub tail: u64,
    /// Tokens of the rest.
    pub tail_tokens: u32,
}

/// A prompt as engines and nodes see it.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Hashes of whole blocks.
    pub blocks: Vec<u64>,
    /// Length in tokens.
    pub tokens: u32,
    /// Digest from which the engine model draws the answer.
    pub digest: Digest,
}

impl PromptPath {
    /// Hashes a path without spelling its text out; labels take the place of block texts.
    pub fn prompt(
        &self,
        tenant: TenantId,
        model: ModelId,
        weights: WeightsVersion,
        block_tokens: u32,
    ) -> Prompt {
        let mut hasher = BlockHasher::new(tenant, model, weights);
        let blocks = self.labels.iter().map(|label| hasher.next(&label.to_le_bytes())).collect();
        let mut bytes = Vec::with_capacity(8 * (self.labels.len() + 1));
        self.labels.iter().for_each(|label| bytes.extend_from_slice(&label.to_le_bytes()));
        bytes.extend_from_slice(&self.tail.to_le_bytes());
        Prompt {
            blocks,
            tokens: self.labels.len() as u32 * block_tokens + self.tail_tokens,
            digest: Digest::of(&bytes),
        }
    }

    /// The path as text of about that many tokens, for real processes.
    pub fn text(&self, block_tokens: u32, bytes_per_token: usize) -> String {
        let block_bytes = block_tokens as usize * bytes_per_token;
        let mut text = String::new();
        for label in &self.labels {
            push_words(&mut text, *label, block_bytes);
        }
        push_words(&mut text, self.tail, self.tail_tokens as usize * bytes_per_token);
        text
    }
}

/// Appends `bytes` bytes that follow from a label.
fn push_words(text: &mut String, label: u64, bytes: usize) {
    let end = text.len() + bytes;
    let mut count = 0u64;
    while text.len() < end {
        text.push_str(&format!("{label:x}.{count} "));
        count += 1;
    }
    text.truncate(end);
}
