//! Events about the weights at replicas, their roll-out, and blocked requests, for logs.

use super::plan::RolloutPlan;
use std::fmt;
use std::time::Duration;
use topazmount_types::{InstanceId, ReplicaId, RequestDigest, Start};

/// Source of a weights report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// A heartbeat, which may be seconds old.
    Heartbeat,
    /// The response to a query.
    Query,
    /// The response to an order.
    Order,
}

impl ReportSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ReportSource::Heartbeat => "Heartbeat",
            ReportSource::Query => "Report",
            ReportSource::Order => "Order",
        }
    }
}

/// How a report affected the leader's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The version was recorded.
    Updated,
    /// The older version was recorded.
    Reverted,
    /// The older version was not recorded; the replica is queried.
    Kept,
}

impl RecordChange {
    /// Name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            RecordChange::Updated => "Taken",
            RecordChange::Reverted => "TakenBack",
            RecordChange::Kept => "Kept",
        }
    }
}

/// A weights report that differed from the leader's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsEvent {
    /// Replica.
    pub instance: InstanceId,
    /// Incarnation that reported.
    pub start: Start,
    /// Number of the heartbeat, or of orders taken.
    pub sequence: u64,
    /// Source of the report.
    pub source: ReportSource,
    /// Model.
    pub model: String,
    /// Recorded version before.
    pub before: Option<u32>,
    /// Reported version.
    pub reported: u32,
    /// Effect on the record.
    pub change: RecordChange,
}

impl fmt::Display for WeightsEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.unwrap_or(0);
        write!(
            f,
            "event=weights_heard instance={} start={} count={} by={} model={} before={before} said={} belief={}",
            self.instance,
            self.start,
            self.sequence,
            self.source.name(),
            self.model,
            self.reported,
            self.change.name()
        )
    }
}

/// A changed roll-out plan of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEvent {
    /// Service.
    pub service: String,
    /// The plan.
    pub plan: RolloutPlan,
    /// Replicas that have not begun to load.
    pub remaining: usize,
}

impl fmt::Display for RolloutEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RolloutPlan { concurrency, paused_ahead, pause, load_time, late, max_unavailable } =
            self.plan;
        write!(
            f,
            "event=rollout_plan service={} left={} at_once={concurrency} ahead={paused_ahead} most_away={max_unavailable} pause_ms={} load_ms={} late={late}",
            self.service,
            self.remaining,
            pause.as_millis(),
            load_time.as_millis()
        )
    }
}

/// A crash that counts against a blocked request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedCrash {
    /// Incarnation of the replica.
    pub replica: ReplicaId,
    /// How long ago it crashed.
    pub age: Duration,
    /// How long it had run the request.
    pub ran_for: Duration,
}

/// A request or prompt part that was blocked or unblocked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockEvent {
    /// The request or part.
    pub request: RequestDigest,
    /// Whether it is blocked now.
    pub is_blocked: bool,
    /// Crashes that count against it; none after a completion.
    pub crashes: Vec<CountedCrash>,
}

impl fmt::Display for BlockEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = if self.is_blocked { "block" } else { "unblock" };
        write!(f, "event={name} digest={} crashes={}", self.request, self.crashes.len())?;
        for crash in &self.crashes {
            let (age, ran) = (crash.age.as_millis(), crash.ran_for.as_millis());
            write!(f, " {:016x}:age_ms={age}:ran_ms={ran}", crash.replica.0)?;
        }
        Ok(())
    }
}
