//! Events about the weights at replicas and their roll-out, for logs.

use super::plan::RolloutPlan;
use std::fmt;
use topazmount_types::{InstanceId, Start};

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
