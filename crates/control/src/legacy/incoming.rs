//! Decoding of frames from legacy builds. Types that only gained fields since are shared.

use crate::configuration::{ConfigurationUpdate, HistoryRow};
use crate::fleet::{
    BlockedRequest, Document, FleetRequest, FleetResponse, FleetView, GatewayListUpdate,
    GatewayReport, InstanceReport, InstanceStatus, RemovedInstance, WatchRequest,
};
use crate::ledger::LookupOutcome;
use crate::protocol::{
    ChangeReply, ChangeRequest, Frame, JoinResponse, MemberStatus, Request, RequestNumber, Response,
};
use crate::state::{Command, Reply};
use serde::Deserialize;
use std::time::Duration;
use topazmount_consensus::{Envelope, MemberId, MemberInfo, Term};
use topazmount_settings::SourceFiles;
use topazmount_types::{ActionKey, Instance, InstanceId, NodeId, Refusal, Revision, Start};

/// A frame from a legacy build.
#[derive(Deserialize)]
pub struct IncomingLegacyFrame(LegacyFrame);

#[derive(Deserialize)]
enum LegacyFrame {
    Peer(String, Envelope),
    Request(RequestNumber, LegacyRequest),
    Response(RequestNumber, LegacyResponse),
    #[serde(rename = "Heard")]
    Ack,
}

#[derive(Deserialize)]
enum LegacyRequest {
    Ledger(Command),
    Change(ChangeRequest),
    Lookup(ActionKey),
    Fetch { node: NodeId, name: String, zone: String, have: Revision },
    Source,
    History,
    Status,
    Join(MemberId, MemberInfo),
    Fleet(LegacyFleetRequest),
}

#[derive(Deserialize)]
enum LegacyFleetRequest {
    Heartbeat(InstanceReport),
    Depart(InstanceId),
    PutDocument(Document),
    ReadDocument,
    #[serde(rename = "NameWeights")]
    PublishWeights {
        model: String,
        version: u32,
    },
    Watch(WatchRequest),
}

#[derive(Deserialize)]
enum LegacyResponse {
    Ledger(Reply),
    Change(ChangeReply),
    Lookup(LookupOutcome),
    Update(ConfigurationUpdate),
    Source(Revision, SourceFiles),
    History(Vec<HistoryRow>),
    Status(Box<MemberStatus>),
    Joining(JoinResponse),
    NotLeader(Option<MemberInfo>),
    Refused(Refusal),
    Fleet(LegacyFleetResponse),
}

#[derive(Deserialize)]
enum LegacyFleetResponse {
    Done,
    Superseded,
    Document(Option<Document>),
    View(Box<LegacyView>),
}

#[derive(Deserialize)]
struct LegacyView {
    staleness: Option<Duration>,
    leader: Option<String>,
    members: Vec<String>,
    document: Option<Document>,
    revision: u64,
    is_full: bool,
    instances: Vec<Instance>,
    removed: Vec<InstanceId>,
    statuses: Option<((Term, u64), Vec<InstanceStatus>)>,
    gateways: Option<((Term, u64), Vec<GatewayReport>)>,
    gateway_count: u32,
    #[serde(default)]
    blocked: Option<(u64, Vec<BlockedRequest>)>,
}

impl From<IncomingLegacyFrame> for Frame {
    fn from(frame: IncomingLegacyFrame) -> Self {
        match frame.0 {
            LegacyFrame::Peer(address, envelope) => Frame::Peer(address, envelope),
            LegacyFrame::Request(number, request) => Frame::Request(number, request.into()),
            LegacyFrame::Response(number, response) => Frame::Response(number, response.into()),
            LegacyFrame::Ack => Frame::Ack,
        }
    }
}

impl From<LegacyRequest> for Request {
    fn from(request: LegacyRequest) -> Self {
        match request {
            LegacyRequest::Ledger(command) => Request::Ledger(command),
            LegacyRequest::Change(change) => Request::Change(change),
            LegacyRequest::Lookup(key) => Request::Lookup(key),
            LegacyRequest::Fetch { node, name, zone, have } => {
                Request::Fetch { node, name, zone, have }
            }
            LegacyRequest::Source => Request::Source,
            LegacyRequest::History => Request::History,
            LegacyRequest::Status => Request::Status,
            LegacyRequest::Join(id, info) => Request::Join(id, info),
            LegacyRequest::Fleet(request) => Request::Fleet(request.into()),
        }
    }
}

impl From<LegacyFleetRequest> for FleetRequest {
    fn from(request: LegacyFleetRequest) -> Self {
        match request {
            LegacyFleetRequest::Heartbeat(report) => FleetRequest::Heartbeat(report),
            LegacyFleetRequest::Depart(id) => FleetRequest::Depart(id, Start::UNKNOWN),
            LegacyFleetRequest::PutDocument(document) => FleetRequest::PutDocument(document),
            LegacyFleetRequest::ReadDocument => FleetRequest::ReadDocument,
            LegacyFleetRequest::PublishWeights { model, version } => {
                FleetRequest::PublishWeights { model, version }
            }
            LegacyFleetRequest::Watch(watch) => FleetRequest::Watch(watch),
        }
    }
}

impl From<LegacyResponse> for Response {
    fn from(response: LegacyResponse) -> Self {
        match response {
            LegacyResponse::Ledger(reply) => Response::Ledger(reply),
            LegacyResponse::Change(reply) => Response::Change(reply),
            LegacyResponse::Lookup(outcome) => Response::Lookup(outcome),
            LegacyResponse::Update(update) => Response::Update(update),
            LegacyResponse::Source(revision, source) => Response::Source(revision, source),
            LegacyResponse::History(rows) => Response::History(rows),
            LegacyResponse::Status(status) => Response::Status(status),
            LegacyResponse::Joining(response) => Response::Joining(response),
            LegacyResponse::NotLeader(leader) => Response::NotLeader(leader),
            LegacyResponse::Refused(refusal) => Response::Refused(refusal),
            LegacyResponse::Fleet(response) => Response::Fleet(response.into()),
        }
    }
}

impl From<LegacyFleetResponse> for FleetResponse {
    fn from(response: LegacyFleetResponse) -> Self {
        match response {
            LegacyFleetResponse::Done => FleetResponse::Done,
            LegacyFleetResponse::Superseded => FleetResponse::Superseded,
            LegacyFleetResponse::Document(document) => FleetResponse::Document(document),
            LegacyFleetResponse::View(view) => FleetResponse::View(Box::new((*view).into())),
        }
    }
}

impl From<LegacyView> for FleetView {
    fn from(view: LegacyView) -> Self {
        // Legacy builds don't report whether the departure was announced; a crash must not be
        // inferred.
        let removed = |id| RemovedInstance { id, was_announced: true, start: Start::UNKNOWN };
        FleetView {
            staleness: view.staleness,
            leader: view.leader,
            members: view.members,
            document: view.document,
            revision: view.revision,
            is_full: view.is_full,
            instances: view.instances,
            removed: view.removed.into_iter().map(removed).collect(),
            statuses: view.statuses,
            gateways: view.gateways.map(|(count, list)| GatewayListUpdate::full(count, list)),
            gateway_count: view.gateway_count,
            blocked: view.blocked,
            ..FleetView::default()
        }
    }
}
