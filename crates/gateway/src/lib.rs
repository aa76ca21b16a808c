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
    Balancer, Change, Changes, Choice, ChoiceRequest, LoadNews, PromptEvent, Refused, TOLD_TOKENS,
    WENT_BACK_PAUSE,
};
pub use budget::{BudgetSettings, RetryBudget};
pub use catalog::{
    Catalog, CatalogParts, CatalogProblem, EngineParameters, HttpLimits, Route, RouteKind, Service,
    SplitPart, StoreParameters, Tenant,
};
pub use connections::{AnswerEnd, ConnectionSettings, Connections, IdleConnection};
pub use crashes::Crashes;
pub use estimator::PrefillEstimator;
pub use knowledge::{Admission, GatewaySettings, Knowledge, LimitNews};
pub use lateness::Prospect;
pub use plan::{AttemptEnd, NextStep, RequestPlan};
pub use prompt::{Prompt, PromptPart};
pub use question::{ChoiceQuestion, Offer};
pub use quota::{GrantAnswer, Granting, LimitUnit, QuotaSettings, STRIPES, StripeId, TenantLimit};
pub use shards::{Gateways, MOST_TOLD, Shard};
pub use stores::{
    MOST_READERS, StoreChange, StoreEvents, StoreKey, StoredPrompt, Stores, cache_salt,
};
