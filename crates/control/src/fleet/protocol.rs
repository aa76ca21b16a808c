//! Requests and responses about the fleet, for gateways, replicas and operators.

use super::crashes::{BlockedRequest, CrashReport};
use super::notices::ReplicaNotice;
use super::orders::ActionReport;
use super::packed::PackedParts;
use super::state::{Document, RegistrationConflict, RemovedInstance};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, SoftwareId, Start};

/// A model and the version of its weights at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u32,
}

/// Whether a replica should be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// It should.
    #[default]
    #[serde(rename = "Open")]
    Available,
    /// Others are preferred: it loads weights.
    Paused,
    /// It must not: its weights are too old.
    #[serde(rename = "Barred")]
    Excluded,
}

/// Status of a replica, known to the leader only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Replica.
    pub id: InstanceId,
    /// Whether it should be sent requests.
    pub availability: Availability,
    /// Its loaded models.
    pub models: Vec<LoadedModel>,
    /// Incarnation that the status is about.
    #[serde(default)]
    pub start: Start,
    /// Term in which the leader last reverted a version of this incarnation, and number of reverts
    /// in that term. A status with a later correction replaces known versions; others only raise
    /// them.
    #[serde(default)]
    pub correction: (Term, u32),
}

/// A replica's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The replica.
    pub instance: Instance,
    /// Its loaded models; empty for services without weights.
    pub models: Vec<LoadedModel>,
    /// Number of this heartbeat within the incarnation, to detect delayed ones; 0 if it has none.
    #[serde(default, rename = "count")]
    pub sequence: u64,
}

/// What a gateway reports of itself with each watch request.
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
    /// Whether it runs a legacy build, which grants no limits; set by the member that receives the
    /// report.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_legacy: bool,
}

/// Version counters of what the requester has already applied. The highest value means that it
/// wants no updates of that kind.
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
    /// Revision of the blocked requests.
    #[serde(default)]
    pub blocked: u64,
    /// Term and count of the replicas' notices.
    #[serde(default, skip_serializing_if = "is_default")]
    pub notices: (Term, u64),
}

/// Changes of the list of gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayListUpdate {
    /// Term and count of the list after these changes.
    pub count: (Term, u64),
    /// Whether `changed` is the full list.
    pub is_full: bool,
    /// Gateways that are new or have changed.
    pub changed: Vec<GatewayReport>,
    /// Addresses of removed gateways.
    pub removed: Vec<String>,
}

impl GatewayListUpdate {
    /// An update with the full list.
    pub fn full(count: (Term, u64), changed: Vec<GatewayReport>) -> Self {
        GatewayListUpdate { count, is_full: true, changed, removed: Vec::new() }
    }
}

/// A request for updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The requester, if it is a gateway.
    pub gateway: Option<GatewayReport>,
    /// What it has already applied.
    pub seen: SeenVersions,
    /// Whether it wants the list of gateways; otherwise it gets their number only.
    pub wants_gateways: bool,
    /// How long the response may be held while there is no update.
    pub wait: Duration,
    /// Crashes that the requester saw lately; recorded by the leader only.
    #[serde(default)]
    pub crashes: CrashReport,
    /// Replicas' notices that the leader's list lacks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<ReplicaNotice>,
    /// Whether it can read packed parts.
    #[serde(default, skip_serializing_if = "is_default")]
    pub accepts_packed: bool,
}

/// Updates of the fleet for one requester.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Maximum age of the member's state; `None` if unknown.
    pub staleness: Option<Duration>,
    /// Internal address of the leader, if known.
    pub leader: Option<String>,
    /// Internal addresses of all members.
    pub members: Vec<String>,
    /// Newer document, if any.
    pub document: Option<Document>,
    /// Revision after `instances` and `removed`.
    pub revision: u64,
    /// Whether `instances` is the start of the full list.
    pub is_full: bool,
    /// Changed replicas.
    pub instances: Vec<Instance>,
    /// Removed replicas.
    pub removed: Vec<RemovedInstance>,
    /// Changed statuses, with the term and count after them.
    pub statuses: Option<((Term, u64), Vec<InstanceStatus>)>,
    /// Changes of the gateway list, if requested.
    pub gateways: Option<GatewayListUpdate>,
    /// Number of known gateways; 0 if the member does not lead.
    pub gateway_count: u32,
    /// All blocked requests and their revision, if changed.
    #[serde(default)]
    pub blocked: Option<(u64, Vec<BlockedRequest>)>,
    /// Newest published version for each model, as applied by this member.
    #[serde(default)]
    pub weights: Vec<LoadedModel>,
    /// Oldest version of each model's weights on which requests may begin, as applied by this
    /// member.
    #[serde(default)]
    pub oldest_weights: Vec<LoadedModel>,
    /// Whether there are further changes of replicas after `revision`.
    #[serde(default)]
    pub has_more: bool,
    /// All replicas' notices that the member knows, with their term and count, if changed. The term is
    /// that of a leader; a list of another member may lack some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notices: Option<((Term, u64), Vec<ReplicaNotice>)>,
    /// Parts that are packed; what they hold is empty elsewhere in the view.
    #[serde(default, skip_serializing_if = "PackedParts::is_empty")]
    pub packed: PackedParts,
}

impl FleetView {
    /// Whether a leader with a lease sent it, so that no other member had published a gateway list
    /// by then.
    pub fn is_leased(&self) -> bool {
        self.gateway_count > 0 && self.staleness == Some(Duration::ZERO)
    }
}

pub(super) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A request about the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// A replica's heartbeat. One that changes nothing is answered by any member in contact with
    /// the leader.
    Heartbeat(InstanceReport),
    /// Heartbeats that another member received; recorded by the leader only.
    #[serde(rename = "HeartbeatsHeard")]
    ForwardedHeartbeats(Vec<InstanceReport>),
    /// A replica leaves; answered by the leader only. Earlier incarnations have left already.
    Depart(InstanceId, Start),
    /// Replaces the document; answered by the leader only.
    PutDocument(Document),
    /// Reads the newest document; answered by the leader only.
    ReadDocument,
    /// Publishes a version of a model's weights; answered by the leader only.
    #[serde(rename = "NameWeights")]
    PublishWeights {
        /// Model.
        model: String,
        /// Version.
        version: u32,
    },
    /// Asks which software version a stream of a service can have begun at, if that is only one;
    /// answered by the leader only.
    OnlySoftware(String),
    /// Requests updates; answered by any member.
    Watch(WatchRequest),
    /// Result of an order or query that the leader's process performed.
    #[serde(rename = "OrderEnded")]
    ActionEnded(ActionReport),
}

/// A response about the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// Committed, or already in effect.
    Done,
    /// The heartbeat is from a replica that left or was replaced; nothing changed.
    Superseded,
    /// The heartbeat contradicts the registry; nothing changed.
    #[serde(rename = "Foreign")]
    Conflict(RegistrationConflict),
    /// The newest document.
    Document(Option<Document>),
    /// The only software version that a stream can have begun at; `None` if there may be several.
    OnlySoftware(Option<SoftwareId>),
    /// Updates.
    View(Box<FleetView>),
}
