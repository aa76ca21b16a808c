//! Inputs of a routing decision, as policies see them.

use topazmount_types::{ModelId, Priority, ReplicaId, TenantId, WeightsVersion};

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Tenant.
    pub tenant: TenantId,
    /// Model.
    pub model: ModelId,
    /// Weights version that must serve it.
    pub weights: WeightsVersion,
    /// Urgency.
    pub priority: Priority,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's whole blocks.
    pub blocks: &'a [u64],
    /// Conversation, or 0.
    pub session: u64,
    /// Requests that this node decided before.
    pub sequence: u64,
}

/// One replica that could serve the request, with what the node knows of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Replica.
    pub replica: ReplicaId,
    /// Position among all candidates, in the order of identifiers.
    pub position: u32,
    /// Whether it is in the node's zone.
    pub is_local: bool,
    /// Requests of this node in flight there.
    pub in_flight: u32,
    /// Requests running there by its newest report.
    pub reported_running: u32,
    /// Prompt tokens waiting there by its newest report.
    pub reported_waiting_tokens: u32,
    /// Age of that report in milliseconds; very large when there is none.
    pub report_age_ms: f64,
    /// Prompt tokens believed to be in its cache.
    pub cached_tokens: u32,
    /// Place in the prefix's rendezvous order; 0 is the first home.
    pub home_rank: u32,
    /// Estimated wait for a turn, in milliseconds.
    pub queue_ms: f64,
    /// Estimated time to compute the uncached part of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Round trip to it, in milliseconds.
    pub network_ms: f64,
}

impl Candidate {
    /// Estimated time to the first token, in milliseconds.
    pub fn estimate_ms(&self) -> f64 {
        self.queue_ms + self.prefill_ms + self.network_ms
    }
}
