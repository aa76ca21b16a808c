//! What a platform's calls look like. An implementation translates and decides nothing.

use crate::http1::{RequestHead, ResponseHead};
use std::time::Duration;
use topazmount_admission::Pushback;
use topazmount_control::{
    Document, GatewayReport, InstanceReport, OrderOutcome, ReplicaReport, WeightsOrder,
};
use topazmount_gateway::{Catalog, CatalogError, Prompt, StoreEvents};
use topazmount_types::{ErrorKind, InstanceId, Start};

/// What a client's request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The client's identifier of the request.
    pub id: String,
    /// How long the client waits.
    pub deadline: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Model.
    pub model: Option<String>,
    /// Prompt, for a language model.
    pub prompt: Option<Prompt>,
    /// Tokens in and most tokens out, together, where it tells them.
    pub tokens: Option<u32>,
    /// Last event that the client has, when it resumes a stream.
    pub last_event_id: Option<String>,
}

/// What a gateway adds to a request that it sends to a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamMetadata {
    /// Replica that must serve it.
    pub instance: InstanceId,
    /// Time that is left.
    pub remaining_time: Duration,
    /// Tenant that holds the client's key.
    pub tenant: Option<String>,
    /// Name of the cache that the request may share; `None` for the common one.
    pub cache_salt: Option<String>,
    /// Version of the model's weights that the replica must hold.
    pub expected_version: Option<u32>,
    /// Where the replica takes parts of the prompt that it lacks.
    pub fetch_from: Option<String>,
    /// Store to which the replica sends the parts once they are read.
    pub save_to: Option<String>,
    /// Last event that must not come again.
    pub last_event_id: Option<String>,
    /// Rank, 0 is the most urgent.
    pub priority: Option<u32>,
}

/// What a replica's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it carries the replica's signature.
    pub is_sealed: bool,
    /// Whether it says that the request was not run.
    pub is_not_run: bool,
    /// Whether it says that it is not the replica, or does not hold the version, that was expected.
    pub is_misdirected: bool,
    /// Replica that answered, where it says so.
    pub instance: Option<InstanceId>,
    /// Version of the weights that it was made with.
    pub weights_version: Option<u32>,
    /// What it asks of its caller.
    pub pushback: Pushback,
    /// Whether its body is encoded, which no client asked for.
    pub is_encoded: bool,
}

/// A call to the control plane or the directory.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// A replica's heartbeat.
    Heartbeat(InstanceReport),
    /// A replica leaves; its incarnation.
    Depart(InstanceId, Start),
    /// Said in a replica's name by another writer, who names nothing to use: it changes nothing.
    External {
        /// What it was sent as.
        call: ReplicaCall,
        /// Identifier under which it came, of any length and any characters.
        id: String,
        /// What gave it away, as a fixed word.
        reason: &'static str,
    },
    /// A new catalog: the document, which can be read and is valid.
    PutDocument(Document),
    /// The newest catalog.
    ReadDocument,
    /// A version of a model's weights.
    PublishWeights {
        /// Model.
        model: String,
        /// Version.
        version: u32,
    },
    /// Addresses of gateways near a zone.
    Resolve {
        /// The client's zone.
        zone: String,
        /// The client's region.
        region: String,
    },
    /// Whether the process is ready.
    Readiness,
    /// No such call.
    Unknown,
    /// The call can't be understood.
    Malformed(String),
}

impl ControlCall {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ControlCall::Heartbeat(_) => ReplicaCall::Heartbeat.name(),
            ControlCall::Depart(..) => ReplicaCall::Depart.name(),
            ControlCall::External { call, .. } => call.name(),
            ControlCall::PutDocument(_) => "put_document",
            ControlCall::ReadDocument => "read_document",
            ControlCall::PublishWeights { .. } => "name_weights",
            ControlCall::Resolve { .. } => "resolve",
            ControlCall::Readiness => "readiness",
            ControlCall::Unknown => "unknown",
            ControlCall::Malformed(_) => "malformed",
        }
    }
}

/// What replicas tell the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCall {
    /// A heartbeat.
    Heartbeat,
    /// A departure.
    Depart,
}

impl ReplicaCall {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ReplicaCall::Heartbeat => "heartbeat",
            ReplicaCall::Depart => "depart",
        }
    }

    /// Name of the event that such a call came from another writer.
    pub fn external_event(self) -> &'static str {
        match self {
            ReplicaCall::Heartbeat => "heartbeat_foreign",
            ReplicaCall::Depart => "departure_foreign",
        }
    }
}

/// An answer of the control plane or the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Content type of the body, where there is one.
    pub content_type: Option<&'static str>,
    /// Further fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A call to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A platform's names, formats and calls.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a client's request.
    ///
    /// # Errors
    /// What is wrong with it.
    fn request_metadata(&self, head: &RequestHead) -> Result<RequestMetadata, String>;

    /// Whether a client's field must not reach a replica, since only the gateway sets it.
    fn is_gateway_header(&self, name: &str) -> bool;

    /// Fields that a gateway sets on a request to a replica.
    fn upstream_headers(&self, upstream: &UpstreamMetadata) -> Vec<(String, String)>;

    /// Reads a replica's answer.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Identifier of an event of a stream.
    fn event_id(&self, event: &[u8]) -> Option<String>;

    /// Version of weights that an event of a stream says it is the first to be made with.
    fn event_weights_version(&self, event: &[u8]) -> Option<u32>;

    /// Answer for a refusal of a client's request.
    fn error_response(&self, kind: ErrorKind, retry_after: Option<Duration>) -> HttpResponse;

    /// Reads a catalog document.
    ///
    /// # Errors
    /// Why it is invalid.
    fn parse_catalog(&self, document: &[u8]) -> Result<Catalog, CatalogError>;

    /// Reads a call to the control plane, the directory or the readiness address.
    fn parse_control_call(&self, head: &RequestHead, body: &[u8]) -> ControlCall;

    /// Answer to a heartbeat; `next` is where later ones are answered fastest.
    fn heartbeat_response(&self, next: Option<String>) -> HttpResponse;

    /// Answer with the newest document.
    fn document_response(&self, document: &Document) -> HttpResponse;

    /// Answer of the directory; empty lists are refused before.
    fn directory_response(&self, gateways: &[GatewayReport], ttl: Duration) -> HttpResponse;

    /// Answer without content.
    fn message_response(&self, status: u16, message: &str) -> HttpResponse;

    /// An order to a replica. `holder` names who gives it.
    fn order_call(&self, order: &WeightsOrder, leader: &str) -> HttpRequest;

    /// How an order ended.
    fn order_outcome(&self, status: u16) -> OrderOutcome;

    /// A question for a replica's report.
    fn report_call(&self) -> HttpRequest;

    /// A question for a store's events from a position on, which may be held for so long.
    fn store_events_call(&self, position: u64, hold: Duration) -> HttpRequest;

    /// Reads a page of a store's events.
    fn parse_store_events(&self, body: &[u8]) -> Option<StoreEvents>;

    /// Reads a replica's report.
    fn parse_report(&self, body: &[u8]) -> Option<ReplicaReport>;
}
