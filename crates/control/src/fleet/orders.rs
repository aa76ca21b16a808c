//! Orders to replicas and their ends, as the leader and its shell exchange them.

use super::protocol::LoadedModel;
use serde::{Deserialize, Serialize};
use topazmount_admission::Pushback;
use topazmount_consensus::Term;
use topazmount_types::{InstanceId, Start};

/// What happens to requests that run at a replica while it loads weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMode {
    /// They end first.
    FinishRuns,
    /// They go on, under the new weights.
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
    /// What happens to what runs there.
    pub mode: LoadMode,
    /// Fencing token: the leader's term.
    pub fence: Term,
    /// Orders that the replica must have taken before, so that a late copy is not carried out.
    pub expected_sequence: u64,
    /// Incarnation that it is meant for. The replica can't check it: one that is carried out by the next incarnation is
    /// noticed by what that one says.
    #[serde(default)]
    pub start: Start,
}

/// Something for the leader's shell to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetAction {
    /// Send an order.
    Order(WeightsOrder),
    /// Ask a replica for its report.
    #[serde(rename = "Question")]
    Query {
        /// Replica.
        instance: InstanceId,
        /// Incarnation that is asked.
        start: Start,
        /// Its address.
        address: String,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It held already.
    #[serde(rename = "Holds")]
    AlreadyLoaded,
    /// Another order is under way, or the expected sequence does not match.
    Conflict,
    /// A newer holder gave orders.
    Fenced,
    /// Refused for another reason, or the replica is not the one expected.
    Refused,
    /// No answer: it may have been taken.
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

/// What a replica reports when asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Models that it holds.
    pub models: Vec<LoadedModel>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders taken.
    pub sequence: u64,
    /// When the incarnation that reports started.
    #[serde(default)]
    pub start: Start,
}

/// The shell's word on an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ActionReport {
    /// An order to an incarnation ended.
    Order(InstanceId, Start, OrderOutcome),
    /// A question was answered, or not.
    #[serde(rename = "Question")]
    Query(InstanceId, Option<ReplicaReport>),
    /// The answer of an incarnation to either asks something of this member; told before how the action ended.
    Pushback(InstanceId, Start, Pushback),
}
