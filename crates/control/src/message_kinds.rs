//! Names of the kinds of messages, for counters. The set is fixed.

use crate::fleet::{FleetRequest, FleetResponse, FleetView};
use crate::protocol::{Frame, Request, Response};
use topazmount_consensus::Message;

impl Frame {
    /// Name of its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Frame::Peer(_, envelope) => peer_kind(&envelope.message),
            Frame::Request(_, request) => request.kind(),
            Frame::Response(_, response) => response.kind(),
            Frame::Ack => "heard",
        }
    }
}

fn peer_kind(message: &Message) -> &'static str {
    match message {
        Message::Append { entries, .. } if entries.is_empty() => "contact",
        Message::Append { .. } => "append",
        Message::AppendReply { .. } => "append_reply",
        Message::Snapshot { .. } => "snapshot",
        Message::SnapshotReply { .. } => "snapshot_reply",
        Message::PreVote { .. }
        | Message::PreVoteReply { .. }
        | Message::Vote { .. }
        | Message::VoteReply { .. }
        | Message::TimeoutNow => "election",
    }
}

impl Request {
    /// Name of its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Request::Fleet(FleetRequest::Heartbeat(_)) => "heartbeat",
            Request::Fleet(FleetRequest::ForwardedHeartbeats(_)) => "heartbeats_heard",
            Request::Fleet(FleetRequest::Watch(_)) => "watch",
            Request::Fleet(FleetRequest::ActionEnded(_)) => "order_ended",
            Request::Fleet(FleetRequest::ReadDocument) => "read_document",
            Request::Fleet(FleetRequest::OnlySoftware(_)) => "only_software",
            Request::Fleet(
                FleetRequest::Depart(..)
                | FleetRequest::PutDocument(_)
                | FleetRequest::PublishWeights { .. },
            ) => "change",
            Request::Ledger(_)
            | Request::Change(_)
            | Request::Lookup(_)
            | Request::Fetch { .. }
            | Request::Source
            | Request::History => "node",
            Request::Status | Request::Join(..) => "group",
        }
    }
}

impl Frame {
    /// Whether most of its content is compressed already.
    pub fn is_packed(&self) -> bool {
        let Frame::Response(_, Response::Fleet(FleetResponse::View(view))) = self else {
            return false;
        };
        !view.packed.is_empty()
    }
}

impl Response {
    /// Name of its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Response::Fleet(FleetResponse::View(view)) => view.kind(),
            Response::Fleet(FleetResponse::Document(_)) => "document",
            Response::Fleet(FleetResponse::OnlySoftware(_)) => "only_software",
            Response::Fleet(_) => "done",
            Response::NotLeader(_) => "not_leader",
            _ => "answer",
        }
    }
}

impl FleetView {
    /// Name of its kind: the largest part that it contains.
    fn kind(&self) -> &'static str {
        if self.is_full {
            "view_all_replicas"
        } else if self.packed.replicas.is_some()
            || !self.instances.is_empty()
            || !self.removed.is_empty()
        {
            "view_replicas"
        } else if self.statuses.as_ref().is_some_and(|(_, statuses)| !statuses.is_empty()) {
            "view_statuses"
        } else if self.gateways.is_some() {
            "view_gateways"
        } else {
            "view_no_news"
        }
    }
}
