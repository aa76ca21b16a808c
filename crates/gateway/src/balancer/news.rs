//! What nodes tell each other of their work at replicas.

use serde::{Deserialize, Serialize};

/// Fewest prompt tokens to compute of which other nodes are told.
pub const MIN_UPDATE_TOKENS: u32 = 1_000;

/// One node's word on its work at a replica. It is whole by itself: one that is lost is made good
/// by the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Who tells: a hash of the node's address.
    pub node: u64,
    /// Replica: a hash of its incarnation's name.
    pub replica: u64,
    /// Prompt tokens that wait there of this node's requests.
    pub pending_prefill: u64,
    /// This node's requests there.
    pub in_flight: u32,
    /// Version of the weights that `parts` belong to.
    pub version: u32,
    /// Shared parts of the prompt that this is about, as a chain of hashes.
    pub parts: Vec<u64>,
    /// What became of the prompt there.
    pub event: PromptEvent,
}

/// What became of a prompt at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptEvent {
    /// It was sent there.
    Sent,
    /// It has been read: its first token came.
    #[serde(rename = "Read")]
    Prefilled,
    /// It occupies the replica no more.
    Ended,
    /// The replica failed it.
    Failed,
}
