//! Encoding of frames for legacy builds.

use super::FullGatewayList;
use crate::fleet::{
    BlockedRequest, Document, FleetRequest, FleetResponse, FleetView, InstanceStatus,
};
use crate::protocol::{Frame, Request, RequestNumber, Response};
use serde::Serialize;
use std::time::Duration;
use topazmount_consensus::{Envelope, Term};
use topazmount_types::{Instance, InstanceId};

/// A frame in the types of legacy builds.
#[derive(Serialize)]
pub struct OutgoingLegacyFrame<'a>(Outgoing<'a>);

#[derive(Serialize)]
enum Outgoing<'a> {
    Peer(&'a str, &'a Envelope),
    Request(RequestNumber, OutgoingRequest<'a>),
    Response(RequestNumber, OutgoingResponse<'a>),
    #[serde(rename = "Heard")]
    Ack,
}

#[derive(Serialize)]
#[serde(untagged)]
enum OutgoingRequest<'a> {
    Same(&'a Request),
    Changed(ChangedRequest<'a>),
}

#[derive(Serialize)]
enum ChangedRequest<'a> {
    Fleet(ChangedFleetRequest<'a>),
}

#[derive(Serialize)]
enum ChangedFleetRequest<'a> {
    Depart(&'a InstanceId),
}

#[derive(Serialize)]
#[serde(untagged)]
enum OutgoingResponse<'a> {
    Same(&'a Response),
    Changed(ChangedResponse<'a>),
}

#[derive(Serialize)]
enum ChangedResponse<'a> {
    Fleet(ChangedFleetResponse<'a>),
}

#[derive(Serialize)]
enum ChangedFleetResponse<'a> {
    Superseded,
    View(ChangedView<'a>),
}

#[derive(Serialize)]
struct ChangedView<'a> {
    staleness: Option<Duration>,
    leader: &'a Option<String>,
    members: &'a [String],
    document: &'a Option<Document>,
    revision: u64,
    is_full: bool,
    instances: &'a [Instance],
    removed: Vec<&'a InstanceId>,
    statuses: &'a Option<((Term, u64), Vec<InstanceStatus>)>,
    gateways: Option<FullGatewayList>,
    gateway_count: u32,
    blocked: &'a Option<(u64, Vec<BlockedRequest>)>,
}

impl<'a> OutgoingLegacyFrame<'a> {
    /// `None` if legacy builds have no such message. `gateways` is the full list if the frame has
    /// changes of it.
    pub(super) fn new(frame: &'a Frame, gateways: Option<FullGatewayList>) -> Option<Self> {
        let frame = match frame {
            Frame::Peer(address, envelope) => Outgoing::Peer(address, envelope),
            Frame::Request(number, request) => {
                Outgoing::Request(*number, OutgoingRequest::new(request)?)
            }
            Frame::Response(number, response) => {
                Outgoing::Response(*number, OutgoingResponse::new(response, gateways))
            }
            Frame::Ack => Outgoing::Ack,
        };
        Some(OutgoingLegacyFrame(frame))
    }
}

impl<'a> OutgoingRequest<'a> {
    fn new(request: &'a Request) -> Option<Self> {
        match request {
            Request::Fleet(FleetRequest::ForwardedHeartbeats(_)) => None,
            // Legacy builds remove any incarnation.
            Request::Fleet(FleetRequest::Depart(id, _)) => {
                let depart = ChangedFleetRequest::Depart(id);
                Some(OutgoingRequest::Changed(ChangedRequest::Fleet(depart)))
            }
            same => Some(OutgoingRequest::Same(same)),
        }
    }
}

impl<'a> OutgoingResponse<'a> {
    fn new(response: &'a Response, gateways: Option<FullGatewayList>) -> Self {
        let changed = match response {
            // Either way the heartbeat changes nothing.
            Response::Fleet(FleetResponse::Conflict(_)) => ChangedFleetResponse::Superseded,
            Response::Fleet(FleetResponse::View(view)) => {
                ChangedFleetResponse::View(ChangedView::new(view, gateways))
            }
            same => return OutgoingResponse::Same(same),
        };
        OutgoingResponse::Changed(ChangedResponse::Fleet(changed))
    }
}

impl<'a> ChangedView<'a> {
    fn new(view: &'a FleetView, gateways: Option<FullGatewayList>) -> Self {
        ChangedView {
            staleness: view.staleness,
            leader: &view.leader,
            members: &view.members,
            document: &view.document,
            revision: view.revision,
            is_full: view.is_full,
            instances: &view.instances,
            removed: view.removed.iter().map(|removed| &removed.id).collect(),
            statuses: &view.statuses,
            gateways,
            gateway_count: view.gateway_count,
            blocked: &view.blocked,
        }
    }
}
