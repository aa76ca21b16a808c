//! Updates that nodes send each other about their load at replicas.

use serde::{Deserialize, Serialize};

/// Minimum prompt length, in tokens, for which load updates are broadcast.
pub const MIN_UPDATE_TOKENS: u32 = 1_000;

/// One node's load at a replica. Each update is complete, so a lost one is superseded by the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Sender: a hash of the node's address.
    pub node: u64,
    /// Replica: a hash of its incarnation's name.
    pub replica: u64,
    /// Prompt tokens of the sender's requests there that have no first token yet.
    pub pending_prefill: u64,
    /// The sender's requests in flight there.
    pub in_flight: u32,
    /// Version of the weights that `parts` were computed with.
    pub version: u32,
    /// Prefix hashes of the shared parts of the prompt.
    pub parts: Vec<u64>,
    /// Event that caused the update.
    pub event: PromptEvent,
}

/// Event of a prompt at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptEvent {
    /// The prompt was sent.
    Sent,
    /// The first token arrived, so the prompt was read.
    #[serde(rename = "Read")]
    Prefilled,
    /// The request ended.
    Ended,
    /// The replica failed.
    Failed,
}
