//! Frames of the first builds. Types that have only gained fields since are today's.

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

/// A frame of the first builds.
#[derive(Deserialize)]
pub struct IncomingLegacyFrame(First);

#[derive(Deserialize)]
enum First {
    Peer(String, Envelope),
    Request(RequestNumber, FirstRequest),
    Response(RequestNumber, FirstResponse),
    #[serde(rename = "Heard")]
    Ack,
}

#[derive(Deserialize)]
enum FirstRequest {
    Ledger(Command),
    Change(ChangeRequest),
    Lookup(ActionKey),
    Fetch { node: NodeId, name: String, zone: String, have: Revision },
    Source,
    History,
    Status,
    Join(MemberId, MemberInfo),
    Fleet(FirstFleetRequest),
}

#[derive(Deserialize)]
enum FirstFleetRequest {
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
enum FirstResponse {
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
    Fleet(FirstFleetResponse),
}

#[derive(Deserialize)]
enum FirstFleetResponse {
    Done,
    Superseded,
    Document(Option<Document>),
    View(Box<FirstView>),
}

#[derive(Deserialize)]
struct FirstView {
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
            First::Peer(address, envelope) => Frame::Peer(address, envelope),
            First::Request(number, request) => Frame::Request(number, request.into()),
            First::Response(number, response) => Frame::Response(number, response.into()),
            First::Ack => Frame::Ack,
        }
    }
}

impl From<FirstRequest> for Request {
    fn from(request: FirstRequest) -> Self {
        match request {
            FirstRequest::Ledger(command) => Request::Ledger(command),
            FirstRequest::Change(change) => Request::Change(change),
            FirstRequest::Lookup(key) => Request::Lookup(key),
            FirstRequest::Fetch { node, name, zone, have } => {
                Request::Fetch { node, name, zone, have }
            }
            FirstRequest::Source => Request::Source,
            FirstRequest::History => Request::History,
            FirstRequest::Status => Request::Status,
            FirstRequest::Join(id, info) => Request::Join(id, info),
            FirstRequest::Fleet(request) => Request::Fleet(request.into()),
        }
    }
}

impl From<FirstFleetRequest> for FleetRequest {
    fn from(request: FirstFleetRequest) -> Self {
        match request {
            FirstFleetRequest::Heartbeat(report) => FleetRequest::Heartbeat(report),
            FirstFleetRequest::Depart(id) => FleetRequest::Depart(id, Start::UNKNOWN),
            FirstFleetRequest::PutDocument(document) => FleetRequest::PutDocument(document),
            FirstFleetRequest::ReadDocument => FleetRequest::ReadDocument,
            FirstFleetRequest::PublishWeights { model, version } => {
                FleetRequest::PublishWeights { model, version }
            }
            FirstFleetRequest::Watch(watch) => FleetRequest::Watch(watch),
        }
    }
}

impl From<FirstResponse> for Response {
    fn from(response: FirstResponse) -> Self {
        match response {
            FirstResponse::Ledger(reply) => Response::Ledger(reply),
            FirstResponse::Change(reply) => Response::Change(reply),
            FirstResponse::Lookup(outcome) => Response::Lookup(outcome),
            FirstResponse::Update(update) => Response::Update(update),
            FirstResponse::Source(revision, source) => Response::Source(revision, source),
            FirstResponse::History(rows) => Response::History(rows),
            FirstResponse::Status(status) => Response::Status(status),
            FirstResponse::Joining(answer) => Response::Joining(answer),
            FirstResponse::NotLeader(leader) => Response::NotLeader(leader),
            FirstResponse::Refused(refusal) => Response::Refused(refusal),
            FirstResponse::Fleet(response) => Response::Fleet(response.into()),
        }
    }
}

impl From<FirstFleetResponse> for FleetResponse {
    fn from(response: FirstFleetResponse) -> Self {
        match response {
            FirstFleetResponse::Done => FleetResponse::Done,
            FirstFleetResponse::Superseded => FleetResponse::Superseded,
            FirstFleetResponse::Document(document) => FleetResponse::Document(document),
            FirstFleetResponse::View(view) => FleetResponse::View(Box::new((*view).into())),
        }
    }
}

impl From<FirstView> for FleetView {
    fn from(view: FirstView) -> Self {
        // Whether they had said that they leave is not told; a crash must not be concluded from that.
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
