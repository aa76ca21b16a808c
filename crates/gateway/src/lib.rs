//! Transparent forwarding of HTTP requests to registered replicas, as pure state machines.
//!
//! A [`Catalog`] says which route a request takes, who may send it and what may be repeated. The
//! [`Balancer`] knows the replicas and chooses one. A [`RetryBudget`] bounds repeats, and a
//! [`RequestPlan`] decides after each attempt whether to try again or what to answer. Nothing here
//! opens a socket or reads a clock.

mod balancer;
mod budget;
mod catalog;
mod connections;
mod crashes;
mod estimator;
mod knowledge;
mod lateness;
mod plan;
mod prompt;
mod question;
mod quota;
mod shards;
mod split;
mod stores;

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
pub use crashes::CrashTracker;
pub use estimator::PrefillEstimator;
pub use knowledge::{Admission, GatewaySettings, GatewayState, LimitUpdate};
pub use lateness::TtftEstimate;
pub use plan::{AttemptEnd, NextStep, RequestPlan};
pub use prompt::{Prompt, PromptPart};
pub use question::{PlacementOffer, PlacementRequest};
pub use quota::{GrantResponse, Granter, LimitUnit, QuotaSettings, STRIPES, StripeId, TenantLimit};
pub use shards::{GatewayList, MAX_BROADCAST_PEERS, Shard};
pub use stores::{
    MAX_STORE_READERS, StoreChange, StoreEvents, StoreKey, StoredPrompt, Stores, cache_salt,
};
