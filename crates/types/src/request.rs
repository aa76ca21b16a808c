//! What callers ask for, after the HTTP shell has parsed and checked it.

use crate::{Digest, ModelId, TenantId, WeightsVersion};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Order in which waiting work is served; lower values first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Somebody waits at a screen or a slipway for a short answer.
    Interactive,
    /// The default.
    Normal,
    /// Long work that tolerates a late answer but must still progress.
    Batch,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Interactive, Priority::Normal, Priority::Batch];

    /// The word used in requests, metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Interactive => "interactive",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        }
    }
}

/// Which of the two completion paths was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Endpoint {
    /// Messages of a conversation.
    #[default]
    Chat,
    /// A plain prompt.
    Text,
}

impl Endpoint {
    /// Path at nodes and engines alike.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }
}

/// A completion request that may be tried again elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Path that was asked, at the engine too.
    pub endpoint: Endpoint,
    /// Who pays.
    pub tenant: TenantId,
    /// The model asked for.
    pub model: ModelId,
    /// Weights version that the node's configuration names for the model.
    pub weights: WeightsVersion,
    /// Urgency.
    pub priority: Priority,
    /// Whether the caller reads tokens as they come.
    pub stream: bool,
    /// Length of the prompt in tokens (estimated by the shell from its bytes).
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's whole blocks, each chained on all before it.
    pub blocks: Arc<[u64]>,
    /// Identifies a conversation, for policies that keep sessions together; 0 when none is named.
    pub session: u64,
    /// The caller's own JSON body, forwarded with few changes.
    pub body: Arc<str>,
    /// Time from arrival by which the caller must have a terminal answer.
    pub deadline: Duration,
}

/// A call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionCall {
    /// Who calls.
    pub tenant: TenantId,
    /// Hash of the caller's idempotency key.
    pub key: Digest,
    /// The key itself, passed on to the application.
    pub key_text: Arc<str>,
    /// Service name as declared.
    pub service: Arc<str>,
    /// Operation name as declared.
    pub operation: Arc<str>,
    /// The caller's body.
    pub body: Arc<str>,
    /// Time from arrival by which the caller must have a terminal answer.
    pub deadline: Duration,
}

impl ActionCall {
    /// Digest by which a resend is told from another call with the same key.
    pub fn digest(&self) -> Digest {
        Digest::of_parts(&[
            self.service.as_bytes(),
            self.operation.as_bytes(),
            self.body.as_bytes(),
        ])
    }
}

/// Token counts of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
}
