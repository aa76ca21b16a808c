//! Processor time that the model measures: encoding frames, and applying views at a gateway.

use super::member::{Outgoing, Requester};
use crate::scale::{resident_bytes, thread_time};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_control::{
    FleetResponse, FleetView, Frame, InstanceStatus, LoadedModel, Packed, Request, Response,
};
use topazmount_gateway::{GatewaySettings, GatewayState};
use topazmount_types::{Instance, Start, Time};
use topazmount_wire::{ClusterKey, Hello, Role, Sealer, session_keys};

/// Replicas in the view that a gateway's cost is measured with.
const SAMPLE: usize = 512;

/// Bytes of the response to a replica's heartbeat.
const HTTP_RESPONSE_BYTES: usize = 120;

/// Processor time and bytes of one frame.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameCost {
    /// Processor time of encoding, compressing and sealing.
    pub busy: Duration,
    /// Bytes on the connection.
    pub bytes: usize,
}

/// Views with the same key are taken to cost the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ViewKey {
    revision: u64,
    statuses: u64,
    gateways: u64,
    packed_bytes: usize,
    has_document: bool,
}

/// Measures frames, once for each kind of view.
pub struct FrameCosts {
    sealer: Sealer,
    views: HashMap<ViewKey, FrameCost>,
    entries: HashMap<ViewKey, usize>,
}

impl FrameCosts {
    /// Nothing has been measured yet.
    pub fn new() -> Self {
        let hello = Hello::new([7; 16]);
        let (sealer, _) =
            session_keys(&ClusterKey::from_text("model"), Role::Server, &hello, &hello);
        FrameCosts { sealer, views: HashMap::new(), entries: HashMap::new() }
    }

    /// The cost of a frame.
    pub fn of(&mut self, frame: &Frame) -> FrameCost {
        let Frame::Response(_, Response::Fleet(FleetResponse::View(view))) = frame else {
            return self.measure(frame);
        };
        let key = view_key(view);
        if let Some(known) = self.views.get(&key) {
            return *known;
        }
        let cost = self.measure(frame);
        self.views.insert(key, cost);
        cost
    }

    fn measure(&mut self, frame: &Frame) -> FrameCost {
        let before = thread_time();
        let payload = topazmount::frames::encode_frame(frame).unwrap_or_default();
        let sealed = self.sealer.seal(&payload).unwrap_or_default();
        FrameCost { busy: thread_time() - before, bytes: sealed.len() }
    }
}

impl FrameCosts {
    /// Entries of all lists of a view.
    pub fn entries(&mut self, view: &FleetView) -> usize {
        let count = || {
            let mut view = view.clone();
            view.unpack().expect("the member packed it");
            let statuses = view.statuses.map_or(0, |(_, statuses)| statuses.len());
            let gateways =
                view.gateways.map_or(0, |update| update.changed.len() + update.removed.len());
            view.instances.len() + view.removed.len() + statuses + gateways
        };
        *self.entries.entry(view_key(view)).or_insert_with(count)
    }
}

/// Bytes of the packed parts of a view, which all responses that contain them share.
pub fn packed_bytes(view: &FleetView) -> usize {
    let replicas = view.packed.replicas.as_ref().map_or(0, Packed::len);
    let gateways = view.packed.gateways.as_ref().map_or(0, Packed::len);
    replicas + gateways + view.packed.document.as_ref().map_or(0, Packed::len)
}

fn view_key(view: &FleetView) -> ViewKey {
    ViewKey {
        revision: view.revision,
        statuses: view.statuses.as_ref().map_or(0, |((_, count), _)| *count),
        gateways: view.gateways.as_ref().map_or(0, |update| update.count.1),
        packed_bytes: packed_bytes(view),
        has_document: view.packed.document.is_some(),
    }
}

/// What replicas cost at a gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayCosts {
    /// Processor time for each entry of a view's lists, with decoding.
    pub busy_per_entry: Duration,
    /// Memory for each replica, in bytes.
    pub bytes_per_replica: f64,
}

/// Measures a gateway's real state with so many replicas.
pub fn gateway_costs(replicas: usize) -> GatewayCosts {
    let mut gateway = GatewayState::new("zone-0", GatewaySettings::default(), 1);
    let before = resident_bytes();
    let mut busy = Duration::ZERO;
    for first in (0..replicas).step_by(SAMPLE) {
        let view = sample_view(first, SAMPLE.min(replicas - first));
        let frame = Frame::Response(1, Response::Fleet(FleetResponse::View(Box::new(view))));
        let payload = topazmount::frames::encode_frame(&frame).unwrap_or_default();
        let began = thread_time();
        if let Ok(Frame::Response(_, Response::Fleet(FleetResponse::View(view)))) =
            topazmount::frames::decode_frame(&payload)
        {
            gateway.apply(&view, None, Time::from_secs(1));
        }
        busy += thread_time() - began;
    }
    let grown = (resident_bytes() - before).max(0.0);
    GatewayCosts {
        busy_per_entry: busy / (2 * replicas as u32),
        bytes_per_replica: grown / replicas as f64,
    }
}

fn sample_view(first: usize, count: usize) -> FleetView {
    let numbers = || first..first + count;
    let statuses = numbers().map(|number| InstanceStatus {
        id: replica_id(number),
        availability: Default::default(),
        models: vec![LoadedModel { model: "m0".to_owned(), version: 1 }],
        start: Start(1_000),
        correction: Default::default(),
    });
    let statuses: Vec<InstanceStatus> = statuses.collect();
    FleetView {
        staleness: Some(Duration::ZERO),
        revision: (first + count) as u64,
        instances: numbers().map(replica).collect(),
        statuses: Some(((Default::default(), (first + count) as u64), statuses)),
        gateway_count: 1,
        ..FleetView::default()
    }
}

/// Identifier of a replica, in the form that the platform gives.
pub fn replica_id(number: usize) -> String {
    format!("i-{:08x}", (number as u32).wrapping_mul(0x9e37_79b1))
}

/// A replica as it registers.
pub fn replica(number: usize) -> Instance {
    Instance {
        id: replica_id(number),
        service: "lm-pool".to_owned(),
        address: format!(
            "10.{}.{}.{}:8000",
            100 + number / 62_500,
            number / 250 % 250,
            number % 250
        ),
        zone: format!("zone-{}", number % 5),
        slots: 16,
        is_draining: false,
        changed_at: 0,
        start: Start(1_000),
        software: String::new(),
    }
}

impl FrameCosts {
    /// The kind and the cost of a message that a member sends.
    pub fn of_outgoing(&mut self, outgoing: Outgoing) -> (Outgoing, &'static str, FrameCost) {
        match outgoing {
            Outgoing::Response(Requester::Replica { replica, call }, response) => {
                let cost = FrameCost { busy: Duration::ZERO, bytes: HTTP_RESPONSE_BYTES };
                let outgoing = Outgoing::Response(Requester::Replica { replica, call }, response);
                (outgoing, "heartbeat_response", cost)
            }
            Outgoing::Response(requester, response) => {
                let frame = Frame::Response(1, response);
                let (kind, cost) = (frame.kind(), self.of(&frame));
                let Frame::Response(_, response) = frame else { unreachable!() };
                (Outgoing::Response(requester, response), kind, cost)
            }
            Outgoing::Peer(to, frame) => {
                let (kind, cost) = (frame.kind(), self.of(&frame));
                (Outgoing::Peer(to, frame), kind, cost)
            }
            Outgoing::Notify(to, request) => {
                let (request, kind, cost) = self.of_request(request);
                (Outgoing::Notify(to, request), kind, cost)
            }
            Outgoing::Join(to, request) => {
                let (request, kind, cost) = self.of_request(request);
                (Outgoing::Join(to, request), kind, cost)
            }
        }
    }

    /// The kind and the cost of a request.
    pub fn of_request(&mut self, request: Request) -> (Request, &'static str, FrameCost) {
        let frame = Frame::Request(1, request);
        let (kind, cost) = (frame.kind(), self.of(&frame));
        let Frame::Request(_, request) = frame else { unreachable!() };
        (request, kind, cost)
    }
}
