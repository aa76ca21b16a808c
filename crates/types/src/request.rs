//! Parsed and validated requests of callers.

use crate::{Digest, ModelId, TenantId, WeightsVersion};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Priority of requests in the queue; lower values are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Interactive work that waits for a short response.
    Interactive,
    /// The default.
    Normal,
    /// Long-running work that tolerates delay.
    Batch,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Interactive, Priority::Normal, Priority::Batch];

    /// Name in requests, metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Interactive => "interactive",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        }
    }
}

/// Completion endpoint of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Endpoint {
    /// Chat messages.
    #[default]
    Chat,
    /// A plain prompt.
    Text,
}

impl Endpoint {
    /// HTTP path, the same at nodes and engines.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }
}

/// A completion request, which can be retried at another replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Endpoint, also used at the engine.
    pub endpoint: Endpoint,
    /// Tenant.
    pub tenant: TenantId,
    /// Requested model.
    pub model: ModelId,
    /// Weights version configured for the model.
    pub weights: WeightsVersion,
    /// Priority.
    pub priority: Priority,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Prompt length in tokens, estimated from its bytes.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the complete prompt blocks, each chained to the previous ones.
    pub blocks: Arc<[u64]>,
    /// Session identifier, for policies that route a session to one replica; 0 if unspecified.
    pub session: u64,
    /// JSON body of the caller, forwarded with few changes.
    pub body: Arc<str>,
    /// Time from arrival until the caller must have received the complete response.
    pub deadline: Duration,
}

/// A call that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionCall {
    /// Tenant.
    pub tenant: TenantId,
    /// Hash of the caller's idempotency key.
    pub key: Digest,
    /// The key itself, forwarded to the application.
    pub key_text: Arc<str>,
    /// Service name as declared.
    pub service: Arc<str>,
    /// Operation name as declared.
    pub operation: Arc<str>,
    /// Body of the caller.
    pub body: Arc<str>,
    /// Time from arrival until the caller must have received the complete response.
    pub deadline: Duration,
}

impl ActionCall {
    /// Digest that distinguishes a retry from a different call with the same key.
    pub fn digest(&self) -> Digest {
        Digest::of_parts(&[
            self.service.as_bytes(),
            self.operation.as_bytes(),
            self.body.as_bytes(),
        ])
    }
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
}
