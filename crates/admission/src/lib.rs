//! Who may go next, and who may not go at all: queues, tenant limits, retry budgets, circuit
//! breakers and the pushback of replicas. All of them are plain data driven by the time that the caller passes in.

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
