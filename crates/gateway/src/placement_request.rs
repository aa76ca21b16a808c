//! Messages between a gateway and the coordinator of a shard about the placement of a prompt.

use crate::balancer::ChoiceRequest;
use crate::prompt::{Prompt, PromptPart};
use crate::shards::Shard;
use serde::{Deserialize, Serialize};
use topazmount_types::{ReplicaId, SoftwareId};

/// Asks the coordinator of a shard which replica a prompt should be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Shard of the service's replicas.
    pub shard: Shard,
    /// Service that the request goes to.
    pub service: String,
    /// Hash of the tenant's name; 0 if there is none.
    pub tenant: u64,
    /// Parts of the prompt: hash of the identifier, and number of tokens.
    pub parts: Vec<(u64, u32)>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Model of the prompt.
    pub model: Option<String>,
    /// Hash of the isolated tenant and the model, which separate caches.
    pub namespace: u64,
    /// Name of the tenant, if its cached parts must not be shared with others.
    #[serde(rename = "wall")]
    pub isolated_tenant: Option<String>,
    /// Hashes of the names of incarnations that must not be chosen.
    #[serde(rename = "exclude")]
    pub skipped: Vec<u64>,
    /// Software version that the replica must run, if the request resumes a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareId>,
}

/// The replica that a coordinator chose, and its estimates for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementOffer {
    /// Hash of the name of the replica's incarnation.
    pub replica: u64,
    /// Prompt tokens that the replica is expected to compute.
    pub expected_prefill: u32,
    /// Prompt tokens that the replica has cached or is reading.
    pub known_tokens: u32,
    /// Estimated time to the first token, in milliseconds.
    pub estimate_ms: f64,
    /// Index of the policy that decided.
    pub policy: u32,
    /// Rank in the prompt's home order.
    pub home_rank: u32,
    /// Whether no other prompt was known to be waiting there.
    #[serde(rename = "is_clear")]
    pub has_empty_queue: bool,
    /// Share of the replica's slots that were known to be in use.
    #[serde(rename = "taken_share")]
    pub slot_utilization: f64,
    /// Recorded version of the model's weights there.
    pub version: Option<u32>,
    /// Address of a replica or store that probably has more of the prompt.
    pub source: Option<String>,
    /// Address of the store that the prompt's parts should be saved to.
    pub save_to: Option<String>,
}

impl PlacementRequest {
    /// Creates the request to a coordinator; `None` without a prompt. `unavailable` names the
    /// incarnations of the shard that are unavailable to this gateway.
    pub fn new(request: &ChoiceRequest<'_>, shard: Shard, unavailable: &[String]) -> Option<Self> {
        let prompt = request.prompt?;
        let names = request.tried.iter().chain(unavailable);
        let skipped = names.map(|name| ReplicaId::from_name(name).0);
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
            skipped: skipped.collect(),
            software: request.software,
        })
    }

    /// The prompt that the request is about.
    pub(crate) fn prompt(&self) -> Prompt {
        let parts = self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens });
        Prompt {
            parts: parts.collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        }
    }
}
