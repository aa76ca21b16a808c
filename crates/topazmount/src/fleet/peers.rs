//! Datagrams between gateways: load and limit updates, and requests to shard coordinators and granters.

use super::gateway::SharedState;
use async_channel::{Receiver, Sender};
use async_net::UdpSocket;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_gateway::{
    GrantResponse, LimitUpdate, LoadUpdate, PlacementOffer, PlacementRequest, StripeId,
};
use topazmount_types::Digest;
use topazmount_wire::{ClusterKey, decode_payload, encode_datagram, open_datagram, seal_datagram};

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 2 * 1024;
/// Maximum number of queued messages. Further ones are dropped; later updates make up for that.
const MAX_PENDING: usize = 256;

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
}

/// Response to a pending request.
enum Response {
    Placement(Option<PlacementOffer>),
    Grant(GrantResponse),
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
            let _ = self.outgoing.0.try_send(Outgoing { to, message });
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

    async fn request(
        &self,
        to: SocketAddr,
        message: impl FnOnce(u64) -> GatewayMessage,
        timeout: Duration,
    ) -> Option<Response> {
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.lock().unwrap().insert(request_id, sender);
        let _pending = PendingRequest { peers: self, request_id };
        self.send(vec![to], message(request_id));
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
pub(super) async fn run_sender(peers: Arc<Peers>) {
    while let Ok(Outgoing { to, message }) = peers.outgoing.1.recv().await {
        let Ok(payload) = encode_datagram(&message) else { continue };
        let datagram = seal_datagram(&peers.key, &payload);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            continue;
        }
        for address in to {
            let _ = peers.socket.send_to(&datagram, address).await;
        }
    }
}

/// Receives and handles other gateways' messages forever.
pub(super) async fn run_receiver(peers: Arc<Peers>, shared: Arc<SharedState>) {
    let mut buffer = vec![0u8; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = peers.socket.recv_from(&mut buffer).await else { continue };
        let payload = open_datagram(&peers.key, &buffer[..length]);
        let message =
            payload.ok().and_then(|payload| decode_payload::<GatewayMessage>(payload).ok());
        let now = shared.clock.now();
        match message {
            Some(GatewayMessage::LoadUpdate(update)) => {
                shared.gateway_state.lock().unwrap().balancer().apply_load_update(&update, now);
            }
            Some(GatewayMessage::PlacementRequest(request_id, request)) => {
                shared.metrics.count_event("question_answered");
                let offer = shared.gateway_state.lock().unwrap().place(&request, now);
                peers.send(vec![sender], GatewayMessage::PlacementResponse(request_id, offer));
            }
            Some(GatewayMessage::PlacementResponse(request_id, offer)) => {
                peers.complete(request_id, Response::Placement(offer))
            }
            Some(GatewayMessage::GrantRequest(request_id, stripe, amount)) => {
                let response = shared.gateway_state.lock().unwrap().grant(stripe, amount, now);
                shared.metrics.count_event(grant_event(response));
                peers.send(vec![sender], GatewayMessage::GrantResponse(request_id, response));
            }
            Some(GatewayMessage::GrantResponse(request_id, response)) => {
                peers.complete(request_id, Response::Grant(response));
            }
            Some(GatewayMessage::UnitsReturned(stripe, amount)) => {
                shared.gateway_state.lock().unwrap().return_units(stripe, amount, now);
            }
            Some(GatewayMessage::LimitUpdate(update)) => {
                let to = shared.gateway_state.lock().unwrap().apply_limit_update(&update, now);
                peers.send_limit_update(to, update);
            }
            Some(GatewayMessage::SendGrantRequest(request_id, update)) => {
                let response = shared.gateway_state.lock().unwrap().grant_send(&update, now);
                shared.metrics.count_event(send_grant_event(response));
                peers.send(vec![sender], GatewayMessage::GrantResponse(request_id, response));
            }
            None => shared.metrics.count_event("bad_datagram"),
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
