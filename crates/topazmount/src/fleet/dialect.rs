//! Headers, paths and body formats of a platform. An implementation translates and decides nothing.

use crate::http1::{RequestHead, ResponseHead};
use std::time::Duration;
use topazmount_admission::Pushback;
use topazmount_control::{
    Document, GatewayReport, InstanceReport, OrderOutcome, ReplicaReport, WeightsOrder,
};
use topazmount_gateway::{Catalog, CatalogError, Prompt, StoreEvents};
use topazmount_types::{ErrorKind, InstanceId, Start};

/// Metadata of a client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The client's identifier of the request.
    pub id: String,
    /// How long the client waits for the response.
    pub deadline: Option<Duration>,
    /// API key of the client.
    pub api_key: Option<String>,
    /// Requested model.
    pub model: Option<String>,
    /// Prompt, for requests to a language model.
    pub prompt: Option<Prompt>,
    /// Input tokens plus maximum output tokens, if given.
    pub tokens: Option<u32>,
    /// Last event that the client received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Identifier of the client's request that brought the first event of the resumed stream.
    pub resumes: Option<String>,
}

/// Metadata that a gateway adds to a request to a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamMetadata {
    /// Replica that must serve the request.
    pub instance: InstanceId,
    /// Time until the request's deadline.
    pub remaining_time: Duration,
    /// Tenant that owns the client's API key.
    pub tenant: Option<String>,
    /// Salt of the cache that the request may share; `None` for the common cache.
    pub cache_salt: Option<String>,
    /// Version of the model's weights that the replica must have loaded.
    pub expected_version: Option<u32>,
    /// Address from which the replica fetches prompt parts that it has not cached.
    pub fetch_from: Option<String>,
    /// Address of the store to which the replica saves the prompt parts that it has computed.
    pub save_to: Option<String>,
    /// Last event that the client already has.
    pub last_event_id: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// Metadata of a replica's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether it has the seal header by which replicas mark their own responses.
    pub is_sealed: bool,
    /// Whether it states that the request was not run.
    pub is_not_run: bool,
    /// Whether the request expected another replica or another version of weights.
    pub is_misdirected: bool,
    /// Replica that sent the response, if given.
    pub instance: Option<InstanceId>,
    /// Version of the weights that produced it.
    pub weights_version: Option<u32>,
    /// Backoff, leaving or request limit that the replica asks for.
    pub pushback: Pushback,
    /// Whether it has a content encoding.
    pub is_encoded: bool,
}

/// A call to the control plane or the directory.
#[derive(Clone, Debug)]
pub enum ControlCall {
    /// A replica's heartbeat.
    Heartbeat(InstanceReport),
    /// A replica's departure: its identifier and start.
    Depart(InstanceId, Start),
    /// A call in a replica's name that no replica sends; it changes nothing.
    External {
        /// Kind of call.
        call: ReplicaCall,
        /// Identifier in the call; may have any length and any characters.
        id: String,
        /// Why no replica can have sent it, as a fixed word.
        reason: &'static str,
    },
    /// A new catalog document, already validated.
    PutDocument(Document),
    /// Reads the newest catalog document.
    ReadDocument,
    /// Publishes a version of a model's weights.
    PublishWeights {
        /// Model that the weights belong to.
        model: String,
        /// Published version.
        version: u32,
    },
    /// Asks for addresses of gateways near a zone.
    Resolve {
        /// The client's zone.
        zone: String,
        /// The client's region.
        region: String,
    },
    /// Asks whether the process is ready.
    Readiness,
    /// Unknown method or path.
    Unknown,
    /// The body is invalid, for this reason.
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

/// Calls of replicas to the control plane.
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

    /// Event for a call of this kind from an external writer, in logs and metrics.
    pub fn external_event(self) -> &'static str {
        match self {
            ReplicaCall::Heartbeat => "heartbeat_foreign",
            ReplicaCall::Depart => "departure_foreign",
        }
    }
}

/// An HTTP response of a gateway, the control plane or the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Content type of the body, if there is one.
    pub content_type: Option<&'static str>,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// An HTTP request to a replica or a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Request method.
    pub method: &'static str,
    /// Request target: path and query.
    pub target: String,
    /// Request headers.
    pub headers: Vec<(String, String)>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Translation between a platform's HTTP calls and the terms of this crate.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the metadata of a client's request.
    ///
    /// # Errors
    /// Which header is missing or malformed.
    fn request_metadata(&self, head: &RequestHead) -> Result<RequestMetadata, String>;

    /// Whether only the gateway may set a header; it is removed from clients' requests.
    fn is_gateway_header(&self, name: &str) -> bool;

    /// Headers that a gateway sets on a request to a replica.
    fn upstream_headers(&self, upstream: &UpstreamMetadata) -> Vec<(String, String)>;

    /// Reads the metadata of a replica's response.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Identifier of a stream's event.
    fn event_id(&self, event: &[u8]) -> Option<String>;

    /// New version of weights, if the version changes with this event of a stream.
    fn event_weights_version(&self, event: &[u8]) -> Option<u32>;

    /// Response for a client's request that failed or was refused.
    fn error_response(&self, kind: ErrorKind, retry_after: Option<Duration>) -> HttpResponse;

    /// Reads a catalog document.
    ///
    /// # Errors
    /// Why the document is invalid.
    fn parse_catalog(&self, document: &[u8]) -> Result<Catalog, CatalogError>;

    /// Reads a call to the control plane, the directory or the readiness address.
    fn parse_control_call(&self, head: &RequestHead, body: &[u8]) -> ControlCall;

    /// Response to a heartbeat; `leader` is the address that later heartbeats should go to.
    fn heartbeat_response(&self, leader: Option<String>) -> HttpResponse;

    /// Response with the newest catalog document.
    fn document_response(&self, document: &Document) -> HttpResponse;

    /// Response of the directory with at least one gateway.
    fn directory_response(&self, gateways: &[GatewayReport], ttl: Duration) -> HttpResponse;

    /// Response with a short message.
    fn message_response(&self, status: u16, message: &str) -> HttpResponse;

    /// Call that sends an order to a replica; `leader` names the sender.
    fn order_call(&self, order: &WeightsOrder, leader: &str) -> HttpRequest;

    /// Outcome of an order by the response's status code.
    fn order_outcome(&self, status: u16) -> OrderOutcome;

    /// Call that asks a replica for its report.
    fn report_call(&self) -> HttpRequest;

    /// Call that asks a store for events from `position` on; the store may hold the response for `hold`.
    fn store_events_call(&self, position: u64, hold: Duration) -> HttpRequest;

    /// Reads a page of a store's events.
    fn parse_store_events(&self, body: &[u8]) -> Option<StoreEvents>;

    /// Reads a replica's report.
    fn parse_report(&self, body: &[u8]) -> Option<ReplicaReport>;
}
