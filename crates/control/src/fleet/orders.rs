//! Orders to replicas and their results, exchanged between the leader and its process.

use super::protocol::LoadedModel;
use serde::{Deserialize, Serialize};
use topazmount_admission::Pushback;
use topazmount_consensus::Term;
use topazmount_types::{InstanceId, Start};

/// What happens to requests that run at a replica while it loads weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMode {
    /// They finish first.
    FinishRuns,
    /// They continue with the new weights.
    KeepRuns,
}

/// An order to load a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsOrder {
    /// Replica.
    pub instance: InstanceId,
    /// Its address.
    pub address: String,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u32,
    /// What happens to running requests.
    pub mode: LoadMode,
    /// Fencing token: the leader's term.
    pub fence: Term,
    /// Number of orders that the replica must have taken before, so that delayed copies are
    /// refused.
    pub expected_sequence: u64,
    /// Intended incarnation. The replica can't check it; if the next incarnation carries the order
    /// out, its reports show that.
    #[serde(default)]
    pub start: Start,
}

/// Something for the leader's process to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetAction {
    /// Send an order.
    Order(WeightsOrder),
    /// Query a replica's state.
    #[serde(rename = "Question")]
    Query {
        /// Replica.
        instance: InstanceId,
        /// Incarnation that is queried.
        start: Start,
        /// Its address.
        address: String,
    },
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The version was already loaded.
    #[serde(rename = "Holds")]
    AlreadyLoaded,
    /// Another order is in progress, or the expected sequence does not match.
    Conflict,
    /// A leader with a higher fence gave orders.
    Fenced,
    /// Refused for another reason, or by another replica than expected.
    Refused,
    /// No response; the order may have been taken.
    Unknown,
}

impl OrderOutcome {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            OrderOutcome::Accepted => "Accepted",
            OrderOutcome::AlreadyLoaded => "Holds",
            OrderOutcome::Conflict => "Conflict",
            OrderOutcome::Fenced => "Fenced",
            OrderOutcome::Refused => "Refused",
            OrderOutcome::Unknown => "Unknown",
        }
    }
}

/// A replica's response to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Its loaded models.
    pub models: Vec<LoadedModel>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders taken.
    pub sequence: u64,
    /// Start of the reporting incarnation.
    #[serde(default)]
    pub start: Start,
}

/// Result of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ActionReport {
    /// Result of an order to an incarnation.
    Order(InstanceId, Start, OrderOutcome),
    /// Response to a query, if there was one.
    #[serde(rename = "Question")]
    Query(InstanceId, Option<ReplicaReport>),
    /// Pushback in an incarnation's response to an order or query; reported before the result.
    Pushback(InstanceId, Start, Pushback),
}
