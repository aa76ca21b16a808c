//! What gateways, replicas and operators ask the control group about the fleet.

use super::crashes::{BlockedRequest, CrashReport};
use super::orders::ActionReport;
use super::state::{Document, RegistrationConflict, RemovedInstance};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Start};

/// A model and the version of its weights at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u32,
}

/// Whether a replica should be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It should.
    #[default]
    #[serde(rename = "Open")]
    Available,
    /// Others should be preferred: it loads weights.
    Paused,
    /// It must not: its weights are too old.
    #[serde(rename = "Barred")]
    Excluded,
}

/// What only the leader knows of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Replica.
    pub id: InstanceId,
    /// Whether it should be sent requests.
    pub availability: Availability,
    /// Models that it holds.
    pub models: Vec<LoadedModel>,
    /// Incarnation that this is about; it says nothing of another one.
    #[serde(default)]
    pub start: Start,
    /// When the leader last took a version of this incarnation back: its term, and how often in it. A status with a
    /// later one replaces what is known of the models; others only raise it.
    #[serde(default)]
    pub correction: (Term, u32),
}

/// What a replica reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The replica.
    pub instance: Instance,
    /// Models that it holds; empty for services without weights.
    pub models: Vec<LoadedModel>,
    /// Number of this heartbeat, rising within an incarnation, by which a late one is known; 0 where it has none.
    #[serde(default, rename = "count")]
    pub sequence: u64,
}

/// What a gateway reports of itself with each request for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Address for clients.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether it takes new clients.
    pub is_ready: bool,
}

/// What the requester has seen already. One that wants no documents, replicas or statuses says that it has seen the highest
/// number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersions {
    /// Version of its document.
    pub document: u64,
    /// Revision of its list of replicas.
    pub revision: u64,
    /// Term and count of the replicas' statuses.
    pub statuses: (Term, u64),
    /// Term and count of the list of gateways.
    pub gateways: (Term, u64),
    /// Count of changes of what is blocked.
    #[serde(default)]
    pub blocked: u64,
}

/// Changes of the list of gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayListUpdate {
    /// Term and count of the list after them.
    pub count: (Term, u64),
    /// Whether `changed` is the whole list.
    pub is_full: bool,
    /// Gateways that are new, or report something else.
    pub changed: Vec<GatewayReport>,
    /// Addresses of those that are gone.
    pub removed: Vec<String>,
}

impl GatewayListUpdate {
    /// The whole list.
    pub fn full(count: (Term, u64), changed: Vec<GatewayReport>) -> Self {
        GatewayListUpdate { count, is_full: true, changed, removed: Vec::new() }
    }
}

/// A request for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The requester, if it is a gateway.
    pub gateway: Option<GatewayReport>,
    /// What it has seen.
    pub seen: SeenVersions,
    /// Whether it wants the list of gateways; otherwise it gets their number only.
    pub wants_gateways: bool,
    /// How long the answer may be held while there is no news.
    pub wait: Duration,
    /// What the requester saw of crashes lately; only the leader takes it.
    #[serde(default)]
    pub crashes: CrashReport,
}

/// News.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// How old what this member knows may be; `None` when it can't tell.
    pub staleness: Option<Duration>,
    /// Internal address of the leader, when known.
    pub leader: Option<String>,
    /// Internal addresses of all members.
    pub members: Vec<String>,
    /// Newer document.
    pub document: Option<Document>,
    /// Revision after `instances` and `removed`.
    pub revision: u64,
    /// Whether `instances` is the whole list.
    pub is_full: bool,
    /// Changed replicas.
    pub instances: Vec<Instance>,
    /// Removed replicas.
    pub removed: Vec<RemovedInstance>,
    /// Statuses of replicas that changed: term and count after them, and the statuses.
    pub statuses: Option<((Term, u64), Vec<InstanceStatus>)>,
    /// Gateways, when asked for and changed.
    pub gateways: Option<GatewayListUpdate>,
    /// Number of gateways heard of; 0 where the member does not lead.
    pub gateway_count: u32,
    /// Requests that must not be sent on, when that changed: count of changes, and all of them.
    #[serde(default)]
    pub blocked: Option<(u64, Vec<BlockedRequest>)>,
    /// Newest version named for each model, as this member has applied it.
    #[serde(default)]
    pub weights: Vec<LoadedModel>,
    /// Oldest version of each model's weights that may still begin on requests, as this member has applied it.
    #[serde(default)]
    pub oldest_weights: Vec<LoadedModel>,
    /// Whether the member knows of further changes of replicas, after `revision`.
    #[serde(default)]
    pub has_more: bool,
}

impl FleetView {
    /// Whether a leader with a lease gave it: nobody else had named another list of gateways by then.
    pub fn is_leased(&self) -> bool {
        self.gateway_count > 0 && self.staleness == Some(Duration::ZERO)
    }
}

/// A request about the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// A replica's heartbeat; one that says nothing new is answered by any member in contact.
    Heartbeat(InstanceReport),
    /// Heartbeats that another member has answered; taken by the leader only.
    #[serde(rename = "HeartbeatsHeard")]
    ForwardedHeartbeats(Vec<InstanceReport>),
    /// A replica leaves; answered by the leader only. An earlier incarnation than the one known has left already.
    Depart(InstanceId, Start),
    /// Puts a document in force; answered by the leader only.
    PutDocument(Document),
    /// The newest document; answered by the leader only.
    ReadDocument,
    /// Names a version of a model's weights; answered by the leader only.
    #[serde(rename = "NameWeights")]
    PublishWeights {
        /// Model.
        model: String,
        /// Version.
        version: u32,
    },
    /// News; answered by any member.
    Watch(WatchRequest),
    /// How an order or a question that the leader asked its own shell to send ended.
    #[serde(rename = "OrderEnded")]
    ActionEnded(ActionReport),
}

/// An answer about the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// Committed, or nothing had to be.
    Done,
    /// The heartbeat is of a replica that left or that another one replaced; nothing is changed.
    Superseded,
    /// The heartbeat can't be that replica's; nothing is changed.
    #[serde(rename = "Foreign")]
    Conflict(RegistrationConflict),
    /// The newest document.
    Document(Option<Document>),
    /// News.
    View(Box<FleetView>),
}
