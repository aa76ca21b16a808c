//! The input and the result of choosing a replica.

use crate::catalog::EngineParameters;
use crate::prompt::Prompt;
use topazmount_admission::RequestLimit;
use topazmount_routing::RouteRequest;
use topazmount_types::{Instance, ModelId, Priority, SoftwareId, TenantId, WeightsVersion};

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Hash of the tenant's name; 0 if there is none.
    pub tenant: u64,
    /// Prompt, if the request has one.
    pub prompt: Option<&'a Prompt>,
    /// Model of the prompt.
    pub model: Option<&'a str>,
    /// Hash of the isolated tenant and the model, which separate caches in addition to the version.
    pub namespace: u64,
    /// Name of the tenant, if its cached parts must not be shared with others.
    pub isolated_tenant: Option<&'a str>,
    /// Names of the incarnations that were already tried.
    pub tried: &'a [String],
    /// Name of the only incarnation that may be chosen, if the request is pinned to one.
    pub pinned_to: Option<&'a String>,
    /// Parameters of the service's engines, if it has any.
    pub engine: Option<&'a EngineParameters>,
    /// Software version that the replica must run, if the request resumes a stream.
    pub software: Option<SoftwareId>,
}

impl ChoiceRequest<'_> {
    /// Prefix hashes of all parts of the prompt.
    pub(super) fn prefix_hashes(&self) -> Vec<u64> {
        self.prompt.map(|prompt| prompt.prefix_hashes(self.namespace)).unwrap_or_default()
    }

    pub(super) fn route_request<'a>(
        &self,
        prefix_hashes: &'a [u64],
        sequence: u64,
    ) -> RouteRequest<'a> {
        RouteRequest {
            tenant: TenantId(self.tenant),
            model: ModelId(self.namespace),
            weights: WeightsVersion::default(),
            priority: Priority::Normal,
            prompt_tokens: self.prompt.map_or(0, |prompt| prompt.prompt_tokens),
            max_tokens: self.prompt.map_or(0, |prompt| prompt.output_tokens),
            blocks: prefix_hashes,
            session: 0,
            sequence,
        }
    }

    /// Prefix hashes of the parts that requests share.
    pub(super) fn shared_hashes(&self) -> Vec<u64> {
        shared_prefix(&self.prefix_hashes()).to_vec()
    }
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Replica.
    pub instance: Instance,
    /// Prompt tokens that the replica is expected to compute.
    pub expected_prefill: u32,
    /// Prompt tokens that the replica has cached or is reading.
    pub known_tokens: u32,
    /// Estimated time to the first token, in milliseconds.
    pub estimate_ms: f64,
    /// Index of the policy that decided.
    pub policy: usize,
    /// Rank in the prompt's home order; 0 is the first.
    pub home_rank: u32,
    /// Whether no other prompt was known to be waiting there.
    pub has_empty_queue: bool,
    /// Share of the replica's slots that were known to be in use.
    pub slot_utilization: f64,
    /// Recorded version of the model's weights there.
    pub version: Option<u32>,
    /// Version that the request must require: the recorded one, else the newest published one.
    pub required_version: Option<u32>,
    /// Address of a replica with the same weights, or of a store, that probably has more of the
    /// prompt cached.
    pub source: Option<String>,
    /// Address of the store that the replica should save the prompt's parts to.
    pub save_to: Option<String>,
    /// Request limit that the replica had reported when it was chosen.
    pub limit: Option<RequestLimit>,
    /// Whether the request has a prompt.
    pub(super) has_prompt: bool,
    pub(super) slot: u32,
}

/// The hashes of the parts that requests share: all but the last part, which is the request's own.
pub(super) fn shared_prefix(prefix_hashes: &[u64]) -> &[u64] {
    prefix_hashes.split_last().map_or(&[], |(_, shared)| shared)
}
