//! What a choice of a replica is made for, and what it is.

use crate::catalog::EngineParameters;
use crate::prompt::Prompt;
use topazmount_admission::RequestLimit;
use topazmount_routing::RouteRequest;
use topazmount_types::{Instance, ModelId, Priority, TenantId, WeightsVersion};

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Hash of the tenant's name; 0 where there is none.
    pub tenant: u64,
    /// Prompt, if the request has one.
    pub prompt: Option<&'a Prompt>,
    /// Model of the prompt.
    pub model: Option<&'a str>,
    /// Hash of what separates caches beside the version of weights: the tenant's wall and the
    /// model.
    pub namespace: u64,
    /// The tenant whose parts are kept from all others, if it is one.
    pub isolated_tenant: Option<&'a str>,
    /// Names of the incarnations that were tried already.
    pub tried: &'a [String],
    /// Name of the only incarnation that may be chosen, if there is one.
    pub pinned_to: Option<&'a String>,
    /// Parameters of the service's engines, if it has any.
    pub engine: Option<&'a EngineParameters>,
}

impl ChoiceRequest<'_> {
    /// Chain of all parts of the prompt.
    pub(super) fn chain(&self) -> Vec<u64> {
        self.prompt.map(|prompt| prompt.prefix_hashes(self.namespace)).unwrap_or_default()
    }

    pub(super) fn as_policies_see_it<'a>(
        &self,
        chain: &'a [u64],
        sequence: u64,
    ) -> RouteRequest<'a> {
        RouteRequest {
            tenant: TenantId(self.tenant),
            model: ModelId(self.namespace),
            weights: WeightsVersion::default(),
            priority: Priority::Normal,
            prompt_tokens: self.prompt.map_or(0, |prompt| prompt.prompt_tokens),
            max_tokens: self.prompt.map_or(0, |prompt| prompt.output_tokens),
            blocks: chain,
            session: 0,
            sequence,
        }
    }

    /// Chain of the parts that requests share.
    pub(super) fn shared(&self) -> Vec<u64> {
        shared_of(&self.chain()).to_vec()
    }
}

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Replica.
    pub instance: Instance,
    /// Prompt tokens that it is expected to compute.
    pub expected_prefill: u32,
    /// Prompt tokens that it is known to hold or to be reading already.
    pub known_tokens: u32,
    /// Estimated time to the first token, in milliseconds.
    pub estimate_ms: f64,
    /// Number of the policy that decided.
    pub policy: usize,
    /// Place in the order of the prompt's homes; 0 is the first.
    pub home_rank: u32,
    /// Whether nothing else was known to wait there to be read.
    pub has_empty_queue: bool,
    /// Part of its places that requests were known to take.
    pub slot_utilization: f64,
    /// Version of the model's weights that it is believed to hold.
    pub version: Option<u32>,
    /// Version that a prompt must name there: the one that it is believed to hold, else the newest named for the model.
    pub required_version: Option<u32>,
    /// Address of a replica with the same weights, or of a store, that probably holds more of the
    /// prompt.
    pub source: Option<String>,
    /// Address of the store that the replica should send the prompt's parts to.
    pub save_to: Option<String>,
    /// Limit that the replica had named when it was chosen.
    pub limit: Option<RequestLimit>,
    /// Whether the request has a prompt.
    pub(super) has_prompt: bool,
    pub(super) slot: u32,
}

/// The part of a prompt's chain that requests share; the last part is the request's own.
pub(super) fn shared_of(chain: &[u64]) -> &[u64] {
    chain.split_last().map_or(&[], |(_, shared)| shared)
}
