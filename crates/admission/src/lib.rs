//! Admission control: request queue, rate limits, retry budgets, circuit breakers and pushback of
//! replicas. Nothing here reads a clock: callers pass the current time.

mod breaker;
mod bucket;
mod pushback;
mod queue;
mod request_limit;
mod retry;

pub use breaker::{Breaker, BreakerSettings, BreakerState};
pub use bucket::TokenBucket;
pub use pushback::{Pushback, PushbackChange, PushbackRecords, PushbackSettings};
pub use queue::{Queue, QueueFull, WaitingRequest};
pub use request_limit::{LimitChange, RequestLimit, RequestLimits};
pub use retry::{RetryBackoff, RetryBudget};
