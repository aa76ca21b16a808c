//! Inputs of a routing decision, as passed to policies.

use topazmount_types::{ModelId, Priority, ReplicaId, TenantId, WeightsVersion};

/// The request to route.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Tenant.
    pub tenant: TenantId,
    /// Model.
    pub model: ModelId,
    /// Weights version that must serve it.
    pub weights: WeightsVersion,
    /// Priority.
    pub priority: Priority,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the complete prompt blocks.
    pub blocks: &'a [u64],
    /// Session identifier, or 0.
    pub session: u64,
    /// Number of requests that this node routed before.
    pub sequence: u64,
}

/// A replica that can serve the request, with its known and estimated load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Replica.
    pub replica: ReplicaId,
    /// Index among the candidates, which are sorted by identifier.
    pub position: u32,
    /// Whether it is in the node's zone.
    pub is_local: bool,
    /// Requests that this node has in flight there.
    pub in_flight: u32,
    /// Running requests in its latest load report.
    pub reported_running: u32,
    /// Waiting prompt tokens in its latest load report.
    pub reported_waiting_tokens: u32,
    /// Age of that report in milliseconds; very large without a report.
    pub report_age_ms: f64,
    /// Prompt tokens expected in its cache.
    pub cached_tokens: u32,
    /// Rank in the rendezvous order for the prefix; 0 is the home replica.
    pub home_rank: u32,
    /// Estimated queueing time, in milliseconds.
    pub queue_ms: f64,
    /// Estimated time to compute the uncached part of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Network round-trip time, in milliseconds.
    pub network_ms: f64,
}

impl Candidate {
    /// Estimated time to the first token, in milliseconds.
    pub fn estimate_ms(&self) -> f64 {
        self.queue_ms + self.prefill_ms + self.network_ms
    }
}
