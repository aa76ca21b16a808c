//! Prompts as sequences of parts that requests share.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's own identifier.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prompt's parts in order; the last one is not shared with other requests or sessions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order.
    pub parts: Vec<PromptPart>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
}

impl Prompt {
    /// Number of tokens in the leading parts.
    pub fn leading_tokens(&self, parts: usize) -> u32 {
        self.parts.iter().take(parts).map(|part| part.tokens).sum()
    }

    /// Number of tokens in all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        self.leading_tokens(self.parts.len().saturating_sub(1))
    }

    /// Identifiers of all parts but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// For each part, a hash of it and all parts before it, within a namespace (isolated tenant and
    /// model). Prompts have equal hashes only where replicas may share the cached parts.
    pub fn prefix_hashes(&self, namespace: u64) -> Vec<u64> {
        let mut previous = namespace;
        let prefix_hash = |part: &PromptPart| {
            let mut hasher = DefaultHasher::new();
            previous.hash(&mut hasher);
            part.id.hash(&mut hasher);
            previous = hasher.finish();
            previous
        };
        self.parts.iter().map(prefix_hash).collect()
    }
}
