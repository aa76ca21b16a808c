//! Questions to the coordinator of a shard, and its answers.

use crate::balancer::ChoiceRequest;
use crate::prompt::{Prompt, PromptPart};
use crate::shards::Shard;
use serde::{Deserialize, Serialize};
use topazmount_types::ReplicaId;

/// Which replica of a shard should a prompt be sent to?
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Shard of the service's replicas.
    pub shard: Shard,
    /// Service that the request goes to.
    pub service: String,
    /// Hash of the tenant's name; 0 where there is none.
    pub tenant: u64,
    /// Parts of the prompt: hash of the identifier, tokens.
    pub parts: Vec<(u64, u32)>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
    /// Model of the prompt.
    pub model: Option<String>,
    /// Hash of what separates caches beside the version of weights.
    pub namespace: u64,
    /// The tenant whose parts are kept from all others, if it is one.
    #[serde(rename = "wall")]
    pub isolated_tenant: Option<String>,
    /// Hashes of the names of incarnations that were tried already, or want nothing of the asking gateway.
    #[serde(rename = "exclude")]
    pub skipped: Vec<u64>,
}

/// The replica that a coordinator names, and what it expects there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementOffer {
    /// Hash of the name of the replica's incarnation.
    pub replica: u64,
    /// Prompt tokens that it is expected to compute.
    pub expected_prefill: u32,
    /// Prompt tokens that it is known to hold or to be reading already.
    pub known_tokens: u32,
    /// Estimated time to the first token, in milliseconds.
    pub estimate_ms: f64,
    /// Number of the policy that decided.
    pub policy: u32,
    /// Place in the order of the prompt's homes.
    pub home_rank: u32,
    /// Whether nothing else was known to wait there to be read.
    #[serde(rename = "is_clear")]
    pub has_empty_queue: bool,
    /// Part of its places that requests were known to take.
    #[serde(rename = "taken_share")]
    pub slot_utilization: f64,
    /// Version of the model's weights that it is believed to hold.
    pub version: Option<u32>,
    /// Who probably holds more of the prompt.
    pub source: Option<String>,
    /// Store that the prompt's parts should be sent to.
    pub save_to: Option<String>,
}

impl PlacementRequest {
    /// The question for a request; `None` where it has no prompt. `unwilling` names the incarnations of the shard that the
    /// asking gateway must not call.
    pub fn new(request: &ChoiceRequest<'_>, shard: Shard, unwilling: &[String]) -> Option<Self> {
        let prompt = request.prompt?;
        let names = request.tried.iter().chain(unwilling);
        let exclude = names.map(|name| ReplicaId::from_name(name).0);
        Some(PlacementRequest {
            shard,
            service: request.service.to_owned(),
            tenant: request.tenant,
            parts: prompt.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            model: request.model.map(str::to_owned),
            namespace: request.namespace,
            isolated_tenant: request.isolated_tenant.map(str::to_owned),
            skipped: exclude.collect(),
        })
    }

    /// The prompt that it is about.
    pub(crate) fn prompt(&self) -> Prompt {
        let parts = self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens });
        Prompt {
            parts: parts.collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        }
    }
}
