//! Datagrams between gateways: load and limit updates, and requests to shard coordinators and granters.

use super::datagram_drops::{DatagramDrops, DropReason};
use super::gateway::SharedState;
use super::legacy_datagrams::{decode_legacy, encode_legacy};
use super::metrics::Metrics;
use super::stream_origin::OriginResponse;
use async_channel::{Receiver, Sender};
use async_net::UdpSocket;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_gateway::{
    GrantResponse, LimitUpdate, LoadUpdate, PlacementOffer, PlacementRequest, ReplicaReport,
    ReplicaVerdict, StreamKey, StripeId, TrialOutcome, TrialRequest, TrialResponse,
};
use topazmount_types::{Digest, RequestDigest, SoftwareId};
use topazmount_wire::{
    ClusterKey, FrameError, ProtocolVersion, decode_payload, encode_datagram, open_datagram,
    seal_datagram,
};

/// Largest datagram, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 2 * 1024;
/// Maximum number of queued messages. Further ones are dropped; later updates make up for that.
const MAX_PENDING: usize = 256;
/// Maximum number of gateways whose protocol version is remembered.
const MAX_REMEMBERED_VERSIONS: usize = 4_096;

/// A message from one gateway to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// The sender's load at a replica.
    #[serde(rename = "Load")]
    LoadUpdate(LoadUpdate),
    /// Asks a coordinator for a replica; the number identifies the request.
    #[serde(rename = "Question")]
    PlacementRequest(u64, PlacementRequest),
    /// Response to the placement request with this number; `None` if no replica is available.
    #[serde(rename = "Answer")]
    PlacementResponse(u64, Option<PlacementOffer>),
    /// Asks for units of a stripe of a tenant's limit.
    #[serde(rename = "Grant")]
    GrantRequest(u64, StripeId, u32),
    /// Response to a grant request or a send grant request.
    #[serde(rename = "Granted")]
    GrantResponse(u64, GrantResponse),
    /// Returns units granted for a request that has not run.
    #[serde(rename = "GiveBack")]
    UnitsReturned(StripeId, u32),
    /// A replica's limit as known to the sender.
    #[serde(rename = "Limit")]
    LimitUpdate(LimitUpdate),
    /// Asks for permission to send one request to a replica with a limit.
    #[serde(rename = "GrantSend")]
    SendGrantRequest(u64, LimitUpdate),
    /// Software version that began a stream.
    #[serde(rename = "Origin")]
    OriginUpdate(StreamKey, SoftwareId),
    /// Asks which software version began a stream.
    #[serde(rename = "OriginOf")]
    OriginRequest(u64, StreamKey),
    /// Response to the origin request with this number; `None` if the stream is unknown.
    #[serde(rename = "OriginIs")]
    OriginResponse(u64, Option<SoftwareId>),
    /// Asks a control member for the only software version that a stream of a service can have begun at.
    #[serde(rename = "SoftwareOf")]
    SoftwareRequest(u64, String),
    /// Response to the software request with this number.
    #[serde(rename = "SoftwareIs")]
    SoftwareResponse(u64, SoftwareProof),
    /// Asks for a trial of a blocked request.
    TrialRequest(u64, TrialRequest),
    /// Response to the trial request with this number.
    TrialResponse(u64, TrialResponse),
    /// A granted trial has ended.
    TrialEnded(RequestDigest, TrialOutcome),
    /// Whether requests fail at a replica, for its monitors.
    ReplicaReport(ReplicaReport),
    /// Which replicas are avoided, from a monitor.
    ReplicaVerdicts(Vec<ReplicaVerdict>),
}

/// What the registry's history proves of the streams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SoftwareProof {
    /// They can have begun at this software version only.
    Only(SoftwareId),
    /// They may have begun at several, or it is not known for long enough.
    Several,
    /// The member does not lead, so that it can't tell.
    NotLeader,
}

impl SoftwareProof {
    /// Event in metrics.
    pub(super) fn event(self) -> &'static str {
        match self {
            SoftwareProof::Only(_) => "software_proved",
            SoftwareProof::Several => "software_not_proved",
            SoftwareProof::NotLeader => "software_not_leader",
        }
    }
}

impl GatewayMessage {
    /// Name in log lines.
    pub(super) fn name(&self) -> &'static str {
        match self {
            GatewayMessage::LoadUpdate(_) => "load_update",
            GatewayMessage::PlacementRequest(..) => "placement_request",
            GatewayMessage::PlacementResponse(..) => "placement_response",
            GatewayMessage::GrantRequest(..) => "grant_request",
            GatewayMessage::GrantResponse(..) => "grant_response",
            GatewayMessage::UnitsReturned(..) => "units_returned",
            GatewayMessage::LimitUpdate(_) => "limit_update",
            GatewayMessage::SendGrantRequest(..) => "send_grant_request",
            GatewayMessage::OriginUpdate(..) => "origin_update",
            GatewayMessage::OriginRequest(..) => "origin_request",
            GatewayMessage::OriginResponse(..) => "origin_response",
            GatewayMessage::SoftwareRequest(..) => "software_request",
            GatewayMessage::SoftwareResponse(..) => "software_response",
            GatewayMessage::TrialRequest(..) => "trial_request",
            GatewayMessage::TrialResponse(..) => "trial_response",
            GatewayMessage::TrialEnded(..) => "trial_ended",
            GatewayMessage::ReplicaReport(_) => "replica_report",
            GatewayMessage::ReplicaVerdicts(_) => "replica_verdicts",
        }
    }
}

/// Response to a pending request.
enum Response {
    Placement(Option<PlacementOffer>),
    Grant(GrantResponse),
    Origin(Option<SoftwareId>),
    Software(SoftwareProof),
    Trial(TrialResponse),
}

/// Socket for messages to and from other gateways, with the requests that wait for responses.
pub(super) struct Peers {
    socket: UdpSocket,
    key: ClusterKey,
    own_address: SocketAddr,
    node: u64,
    next_request_id: AtomicU64,
    pending: Mutex<HashMap<u64, Sender<Response>>>,
    outgoing: (Sender<Outgoing>, Receiver<Outgoing>),
    /// Protocol versions of the datagrams last received from gateways.
    versions: Mutex<HashMap<SocketAddr, ProtocolVersion>>,
    drops: DatagramDrops,
}

struct Outgoing {
    to: Vec<SocketAddr>,
    message: GatewayMessage,
}

/// Removes a request from the pending ones when it is dropped.
struct PendingRequest<'a> {
    peers: &'a Peers,
    request_id: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.peers.pending.lock().unwrap().remove(&self.request_id);
    }
}

impl Peers {
    /// Binds the socket at the address for clients and the internal port.
    pub(super) async fn bind(
        clients: SocketAddr,
        port: u16,
        key: ClusterKey,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Self> {
        let own_address = SocketAddr::new(clients.ip(), port);
        let socket = UdpSocket::bind(own_address).await?;
        let node = Digest::of(clients.to_string().as_bytes()).prefix();
        Ok(Peers {
            socket,
            key,
            own_address,
            node,
            // A random start, so that responses to an earlier process match no request of this one.
            next_request_id: AtomicU64::new(rand::random()),
            pending: Mutex::default(),
            outgoing: async_channel::bounded(MAX_PENDING),
            versions: Mutex::default(),
            drops: DatagramDrops::new(metrics),
        })
    }

    /// Address at which this gateway receives datagrams.
    pub(super) fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Queues a load update, if there is one. It is dropped if the queue is full.
    pub(super) fn send_load_update(&self, update: Option<(Vec<SocketAddr>, LoadUpdate)>) {
        let Some((to, update)) = update else { return };
        self.send(to, GatewayMessage::LoadUpdate(LoadUpdate { node: self.node, ..update }));
    }

    fn send(&self, to: Vec<SocketAddr>, message: GatewayMessage) {
        if !to.is_empty() {
            let result = self.outgoing.0.try_send(Outgoing { to, message });
            if let Err(error) = result {
                let message = error.into_inner().message;
                self.drops.record(DropReason::QueueFull, || format!("message={}", message.name()));
            }
        }
    }

    fn record_version(&self, peer: SocketAddr, version: ProtocolVersion) {
        let mut versions = self.versions.lock().unwrap();
        if versions.len() >= MAX_REMEMBERED_VERSIONS && !versions.contains_key(&peer) {
            versions.clear();
        }
        versions.insert(peer, version);
    }

    /// Protocol version of another gateway: that of its last datagram, else that of its build in the
    /// leader's list.
    fn version_of(&self, peer: SocketAddr, shared: &SharedState) -> ProtocolVersion {
        if let Some(version) = self.versions.lock().unwrap().get(&peer) {
            return *version;
        }
        match shared.gateway_state.lock().is_legacy(peer) {
            true => ProtocolVersion::Legacy,
            false => ProtocolVersion::LATEST,
        }
    }

    /// Encodes a message in a protocol version; `None` if it has to be dropped.
    fn encode(
        &self,
        message: &GatewayMessage,
        version: ProtocolVersion,
        shared: &SharedState,
    ) -> Option<Vec<u8>> {
        let payload = match version {
            ProtocolVersion::Named => Some(encode_datagram(message)),
            ProtocolVersion::Legacy => {
                let mut gateway_state = shared.gateway_state.lock();
                encode_legacy(message, gateway_state.balancer())
            }
        };
        let detail = || format!("message={} version={}", message.name(), version.name());
        let payload = match payload {
            None => {
                self.drops.record(DropReason::UnknownToRecipient, detail);
                return None;
            }
            Some(Err(error)) => {
                let detail = || format!("{} problem={error}", detail());
                self.drops.record(DropReason::Unencodable, detail);
                return None;
            }
            Some(Ok(payload)) => payload,
        };
        let datagram = seal_datagram(&self.key, version, &payload);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            let detail = || format!("{} bytes={}", detail(), datagram.len());
            self.drops.record(DropReason::TooLarge, detail);
            return None;
        }
        Some(datagram)
    }

    /// Sends a message to all recipients, encoded once per protocol version.
    async fn send_now(&self, to: &[SocketAddr], message: &GatewayMessage, shared: &SharedState) {
        let (legacy, named): (Vec<SocketAddr>, Vec<SocketAddr>) =
            to.iter().partition(|peer| self.version_of(**peer, shared) == ProtocolVersion::Legacy);
        let groups = [(ProtocolVersion::Named, named), (ProtocolVersion::Legacy, legacy)];
        for (version, recipients) in groups {
            if recipients.is_empty() {
                continue;
            }
            let Some(datagram) = self.encode(message, version, shared) else { continue };
            for peer in recipients {
                if let Err(error) = self.socket.send_to(&datagram, peer).await {
                    let detail = || format!("peer={peer} problem={error}");
                    self.drops.record(DropReason::SendFailed, detail);
                }
            }
        }
    }

    /// Verifies and decodes a datagram.
    fn decode(&self, datagram: &[u8], sender: SocketAddr) -> Result<GatewayMessage, FrameError> {
        let (version, payload) = open_datagram(&self.key, datagram)?;
        self.record_version(sender, version);
        match version {
            ProtocolVersion::Named => decode_payload(payload),
            ProtocolVersion::Legacy => decode_legacy(payload),
        }
    }

    /// Asks a coordinator for a replica; `None` if it does not respond in time.
    pub(super) async fn request_placement(
        &self,
        coordinator: SocketAddr,
        request: PlacementRequest,
        timeout: Duration,
    ) -> Option<Option<PlacementOffer>> {
        match self
            .request(
                coordinator,
                |request_id| GatewayMessage::PlacementRequest(request_id, request),
                timeout,
            )
            .await
        {
            Some(Response::Placement(offer)) => Some(offer),
            _ => None,
        }
    }

    /// Asks another gateway for units of a tenant's limit; `None` if it does not respond in time.
    pub(super) async fn request_grant(
        &self,
        granter: SocketAddr,
        stripe: StripeId,
        amount: u32,
        timeout: Duration,
    ) -> Option<GrantResponse> {
        match self
            .request(
                granter,
                |request_id| GatewayMessage::GrantRequest(request_id, stripe, amount),
                timeout,
            )
            .await
        {
            Some(Response::Grant(response)) => Some(response),
            _ => None,
        }
    }

    /// Asks another gateway for permission to send one request to a replica with a limit; `None` if it
    /// does not respond in time.
    pub(super) async fn request_send_grant(
        &self,
        granter: SocketAddr,
        update: LimitUpdate,
        timeout: Duration,
    ) -> Option<GrantResponse> {
        match self
            .request(
                granter,
                |request_id| GatewayMessage::SendGrantRequest(request_id, update),
                timeout,
            )
            .await
        {
            Some(Response::Grant(response)) => Some(response),
            _ => None,
        }
    }

    /// Queues an update of a replica's limit.
    pub(super) fn send_limit_update(&self, to: Vec<SocketAddr>, update: LimitUpdate) {
        self.send(to, GatewayMessage::LimitUpdate(update));
    }

    /// Returns unused units to their granter.
    pub(super) fn return_units(&self, granter: SocketAddr, stripe: StripeId, amount: u32) {
        self.send(vec![granter], GatewayMessage::UnitsReturned(stripe, amount));
    }

    /// Sends the software version that began a stream to those that hold its record, before it returns.
    pub(super) async fn send_origin(
        &self,
        to: &[SocketAddr],
        key: StreamKey,
        software: SoftwareId,
        shared: &SharedState,
    ) {
        self.send_now(to, &GatewayMessage::OriginUpdate(key, software), shared).await;
    }

    /// Asks several processes at once which software version began a stream, until one knows it.
    pub(super) async fn request_origin(
        &self,
        to: &[SocketAddr],
        key: StreamKey,
        timeout: Duration,
    ) -> OriginResponse {
        let request = |request_id| GatewayMessage::OriginRequest(request_id, key);
        let (pending, receiver) = self.request_all(to, request);
        let first_known = async {
            for _ in &pending {
                if let Ok(Response::Origin(Some(software))) = receiver.recv().await {
                    return OriginResponse::Known(software);
                }
            }
            match pending.is_empty() {
                true => OriginResponse::Incomplete,
                false => OriginResponse::Unknown,
            }
        };
        let response = super::http_service::with_timeout(timeout, first_known).await;
        response.unwrap_or(OriginResponse::Incomplete)
    }

    /// Asks control members for the only software version that a stream of a service can have begun
    /// at, until their leader responds; `None` if it does not in time.
    pub(super) async fn request_software(
        &self,
        members: &[SocketAddr],
        service: &str,
        timeout: Duration,
    ) -> Option<SoftwareProof> {
        let request = |request_id| GatewayMessage::SoftwareRequest(request_id, service.to_owned());
        let (pending, receiver) = self.request_all(members, request);
        let first_of_leader = async {
            for _ in &pending {
                if let Ok(Response::Software(proof)) = receiver.recv().await
                    && proof != SoftwareProof::NotLeader
                {
                    return Some(proof);
                }
            }
            None
        };
        super::http_service::with_timeout(timeout, first_of_leader).await.flatten()
    }

    /// Asks a coordinator for a trial of a blocked request; `None` if it does not respond in time.
    pub(super) async fn request_trial(
        &self,
        coordinator: SocketAddr,
        request: TrialRequest,
        timeout: Duration,
    ) -> Option<TrialResponse> {
        let message = |request_id| GatewayMessage::TrialRequest(request_id, request);
        match self.request(coordinator, message, timeout).await {
            Some(Response::Trial(response)) => Some(response),
            _ => None,
        }
    }

    /// Tells a coordinator how a trial ended.
    pub(super) fn send_trial_end(
        &self,
        coordinator: SocketAddr,
        request: RequestDigest,
        outcome: TrialOutcome,
    ) {
        self.send(vec![coordinator], GatewayMessage::TrialEnded(request, outcome));
    }

    /// Queues a report for the monitors of a replica.
    pub(super) fn send_replica_report(&self, to: Vec<SocketAddr>, report: ReplicaReport) {
        self.send(to, GatewayMessage::ReplicaReport(report));
    }

    /// Queues a monitor's verdicts.
    pub(super) fn send_replica_verdicts(&self, to: Vec<SocketAddr>, verdicts: Vec<ReplicaVerdict>) {
        self.send(to, GatewayMessage::ReplicaVerdicts(verdicts));
    }

    fn add_pending(&self, sender: Sender<Response>) -> PendingRequest<'_> {
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        self.pending.lock().unwrap().insert(request_id, sender);
        PendingRequest { peers: self, request_id }
    }

    /// Sends a request to several processes at once. Their responses arrive in the channel while the
    /// pending requests are kept.
    fn request_all(
        &self,
        to: &[SocketAddr],
        message: impl Fn(u64) -> GatewayMessage,
    ) -> (Vec<PendingRequest<'_>>, Receiver<Response>) {
        let (sender, receiver) = async_channel::bounded(to.len().max(1));
        let request = |peer: &SocketAddr| {
            let pending = self.add_pending(sender.clone());
            self.send(vec![*peer], message(pending.request_id));
            pending
        };
        (to.iter().map(request).collect(), receiver)
    }

    async fn request(
        &self,
        to: SocketAddr,
        message: impl FnOnce(u64) -> GatewayMessage,
        timeout: Duration,
    ) -> Option<Response> {
        let (sender, receiver) = async_channel::bounded(1);
        let pending = self.add_pending(sender);
        self.send(vec![to], message(pending.request_id));
        super::http_service::with_timeout(timeout, receiver.recv()).await?.ok()
    }

    fn complete(&self, request_id: u64, response: Response) {
        let waiter = self.pending.lock().unwrap().remove(&request_id);
        if let Some(waiter) = waiter {
            // Only the first response is used.
            let _ = waiter.try_send(response);
        }
    }
}

/// Sends queued messages forever.
pub(super) async fn run_sender(peers: Arc<Peers>, shared: Arc<SharedState>) {
    while let Ok(Outgoing { to, message }) = peers.outgoing.1.recv().await {
        peers.send_now(&to, &message, &shared).await;
    }
}

/// Receives and handles other gateways' messages forever.
pub(super) async fn run_receiver(peers: Arc<Peers>, shared: Arc<SharedState>) {
    let mut buffer = vec![0u8; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = peers.socket.recv_from(&mut buffer).await else { continue };
        let message = peers.decode(&buffer[..length], sender);
        let now = shared.clock.now();
        match message {
            Ok(GatewayMessage::LoadUpdate(update)) => {
                shared.metrics.count_event("load_update");
                shared.gateway_state.lock().balancer().apply_load_update(&update, now);
            }
            Ok(GatewayMessage::PlacementRequest(request_id, request)) => {
                shared.metrics.count_event("question_answered");
                let offer = shared.gateway_state.lock().place(&request, now);
                peers.send(vec![sender], GatewayMessage::PlacementResponse(request_id, offer));
            }
            Ok(GatewayMessage::PlacementResponse(request_id, offer)) => {
                peers.complete(request_id, Response::Placement(offer))
            }
            Ok(GatewayMessage::GrantRequest(request_id, stripe, amount)) => {
                let response = shared.gateway_state.lock().grant(stripe, amount, now);
                shared.metrics.count_event(grant_event(response));
                peers.send(vec![sender], GatewayMessage::GrantResponse(request_id, response));
            }
            Ok(GatewayMessage::GrantResponse(request_id, response)) => {
                peers.complete(request_id, Response::Grant(response));
            }
            Ok(GatewayMessage::UnitsReturned(stripe, amount)) => {
                shared.gateway_state.lock().return_units(stripe, amount, now);
            }
            Ok(GatewayMessage::LimitUpdate(update)) => {
                let to = shared.gateway_state.lock().apply_limit_update(&update, now);
                peers.send_limit_update(to, update);
            }
            Ok(GatewayMessage::SendGrantRequest(request_id, update)) => {
                let response = shared.gateway_state.lock().grant_send(&update, now);
                shared.metrics.count_event(send_grant_event(response));
                peers.send(vec![sender], GatewayMessage::GrantResponse(request_id, response));
            }
            Ok(GatewayMessage::OriginUpdate(key, software)) => {
                shared.metrics.count_event("origin_update");
                let mut gateway_state = shared.gateway_state.lock();
                gateway_state.stream_origins().record(key, software, now);
            }
            Ok(GatewayMessage::OriginRequest(request_id, key)) => {
                shared.metrics.count_event("origin_request");
                let mut gateway_state = shared.gateway_state.lock();
                let software = gateway_state.stream_origins().software(key, now);
                drop(gateway_state);
                peers.send(vec![sender], GatewayMessage::OriginResponse(request_id, software));
            }
            Ok(GatewayMessage::OriginResponse(request_id, software)) => {
                peers.complete(request_id, Response::Origin(software));
            }
            Ok(GatewayMessage::SoftwareResponse(request_id, proof)) => {
                peers.complete(request_id, Response::Software(proof));
            }
            Ok(GatewayMessage::SoftwareRequest(..)) => {
                shared.event_log.info(|| {
                    format!("gateway: event=unexpected_datagram sender={sender} message=software_request")
                });
            }
            Ok(GatewayMessage::TrialRequest(request_id, request)) => {
                let response = shared.grant_trial(request, now);
                peers.send(vec![sender], GatewayMessage::TrialResponse(request_id, response));
            }
            Ok(GatewayMessage::TrialResponse(request_id, response)) => {
                peers.complete(request_id, Response::Trial(response));
            }
            Ok(GatewayMessage::TrialEnded(request, outcome)) => {
                shared.record_trial_end(request, outcome, now);
            }
            Ok(GatewayMessage::ReplicaReport(report)) => {
                let outputs = shared.gateway_state.lock().apply_report(report, sender, now);
                shared.handle_failure_outputs(outputs);
            }
            Ok(GatewayMessage::ReplicaVerdicts(verdicts)) => {
                let outputs = shared.gateway_state.lock().apply_verdicts(&verdicts, now);
                shared.handle_failure_outputs(outputs);
            }
            Err(error) => {
                shared.metrics.count_event("bad_datagram");
                shared.event_log.info(|| {
                    format!("gateway: event=bad_datagram sender={sender} problem={error}")
                });
            }
        }
    }
}

/// Event in metrics for a granter's response about a tenant's limit.
fn grant_event(response: GrantResponse) -> &'static str {
    match response {
        GrantResponse::Granted => "grant_given",
        GrantResponse::LimitExceeded(_) => "grant_refused",
        GrantResponse::NotGranter => "grant_not_held",
    }
}

/// Event in metrics for a granter's response about a replica's limit.
pub(super) fn send_grant_event(response: GrantResponse) -> &'static str {
    match response {
        GrantResponse::Granted => "send_granted",
        GrantResponse::LimitExceeded(_) => "send_refused",
        GrantResponse::NotGranter => "send_not_held",
    }
}
