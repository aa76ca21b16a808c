//! Transparent forwarding of HTTP requests to registered replicas, as pure state machines.
//!
//! A [`Catalog`] holds the routes, services and tenants. The [`Balancer`] records what is known of
//! each replica and chooses one for a request. A [`RetryBudget`] bounds retries, and a
//! [`RequestPlan`] decides after each attempt whether to retry or which response to send.
//! [`GatewayState`] combines them. Nothing here opens a socket or reads a clock.

mod balancer;
mod budget;
mod catalog;
mod connections;
mod crashes;
mod estimator;
mod failure_monitor;
mod links;
mod load_shedding;
mod placement_request;
mod plan;
mod prompt;
mod quota;
mod shards;
mod software_history;
mod split;
mod state;
mod stores;
mod stream_origins;
mod tunnels;

pub use balancer::{
    Balancer, Choice, ChoiceRequest, DOWNGRADE_PAUSE, LoadUpdate, MIN_UPDATE_TOKENS, PromptEvent,
    ReplicaChange, ReplicaChanges, VersionRefusal,
};
pub use budget::{BudgetSettings, RetryBudget};
pub use catalog::{
    Catalog, CatalogError, CatalogParts, EngineParameters, HttpLimits, Route, RouteKind, Service,
    SplitPart, StoreParameters, Tenant,
};
pub use connections::{ConnectionReuse, ConnectionSettings, IdleConnection, ResponseEnd};
pub use crashes::{
    CrashTracker, CrashVerdict, TrialOutcome, TrialRefusal, TrialRequest, TrialResponse,
    part_digest,
};
pub use estimator::PrefillEstimator;
pub use failure_monitor::{Evidence, REPEAT_INTERVAL, ReplicaReport, ReplicaVerdict};
pub use links::{ISOLATED_TIME, LinkState, ReplicaLinks, WithheldFailures};
pub use load_shedding::TtftEstimate;
pub use placement_request::{PlacementOffer, PlacementRequest};
pub use plan::{AttemptEnd, NextStep, RequestPlan};
pub use prompt::{Prompt, PromptPart};
pub use quota::{GrantResponse, Granter, LimitUnit, QuotaSettings, STRIPES, StripeId, TenantLimit};
pub use shards::{GatewayList, MAX_BROADCAST_PEERS, Shard};
pub use state::{
    Admission, FailureOutput, GatewaySettings, GatewayState, LimitUpdate, MAX_VERDICTS,
    MIN_RETRY_DELAY,
};
pub use stores::{
    MAX_STORE_READERS, StoreChange, StoreEvents, StoreKey, StoredPrompt, Stores, cache_salt,
};
pub use stream_origins::{
    MEMBER_ORIGIN_HOLDERS, ORIGIN_HOLDERS, ORIGIN_QUERIES, ORIGIN_RENEWAL, ORIGIN_RETENTION,
    StreamKey, StreamOrigins, member_holders,
};
pub use tunnels::{CarrierState, Carriers, TunnelRefusal};
