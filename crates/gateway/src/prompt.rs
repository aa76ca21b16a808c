//! A prompt as a chain of parts that requests share.

use std::hash::{DefaultHasher, Hash, Hasher};

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's own identifier.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt's parts in order; the last one belongs to the request or its session alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts.
    pub parts: Vec<PromptPart>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
}

impl Prompt {
    /// Tokens of so many leading parts.
    pub fn leading_tokens(&self, parts: usize) -> u32 {
        self.parts.iter().take(parts).map(|part| part.tokens).sum()
    }

    /// Tokens of all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        self.leading_tokens(self.parts.len().saturating_sub(1))
    }

    /// For each part, a hash of it and of everything before it, under a namespace (tenant wall
    /// and model). Two prompts share a hash only where a replica may share the part.
    pub fn prefix_hashes(&self, namespace: u64) -> Vec<u64> {
        let mut previous = namespace;
        let link = |part: &PromptPart| {
            let mut hasher = DefaultHasher::new();
            previous.hash(&mut hasher);
            part.id.hash(&mut hasher);
            previous = hasher.finish();
            previous
        };
        self.parts.iter().map(link).collect()
    }
}
