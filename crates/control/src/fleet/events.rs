//! What the leader learns of the weights at replicas, so that a log can tell which incarnation said what, and what was made
//! of it.

use super::pace::RolloutPlan;
use std::fmt;
use topazmount_types::{InstanceId, Start};

/// Where word of a replica's weights came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Its heartbeat, which may be seconds old.
    Heartbeat,
    /// Its report, which was asked for.
    Query,
    /// Its answer to an order.
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

/// A change, or a refused change, of what the leader takes a replica to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The version was taken over.
    Updated,
    /// The version is older than the one known, and was taken over.
    Reverted,
    /// The version is older than the one known, which was kept; the replica is asked.
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

/// Word of a replica's weights that differs from what was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsEvent {
    /// Replica.
    pub instance: InstanceId,
    /// Incarnation that said it.
    pub start: Start,
    /// Number of the heartbeat, or of the orders that the report counts.
    pub sequence: u64,
    /// Where it comes from.
    pub source: ReportSource,
    /// Model.
    pub model: String,
    /// Version that was known.
    pub before: Option<u32>,
    /// Version that was said.
    pub reported: u32,
    /// What was made of it.
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

/// How a service's replicas will load, where that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutEvent {
    /// Service.
    pub service: String,
    /// How many at a time, and how many will be late by that.
    pub plan: RolloutPlan,
    /// Replicas that have not begun to load.
    pub remaining: usize,
}

impl fmt::Display for RolloutEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RolloutPlan {
            concurrency: width,
            paused_ahead: ahead,
            pause,
            load_time: load,
            late,
            max_unavailable: most_away,
        } = self.plan;
        write!(
            f,
            "event=rollout_plan service={} left={} at_once={width} ahead={ahead} most_away={most_away} pause_ms={} load_ms={} late={late}",
            self.service,
            self.remaining,
            pause.as_millis(),
            load.as_millis()
        )
    }
}
