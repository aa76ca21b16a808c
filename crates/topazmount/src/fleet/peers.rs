//! Datagrams between gateways: word of their work at replicas, and questions to the coordinators of
//! shards.

use super::gateway::Shared;
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
const MAX_DATAGRAM: usize = 2 * 1024;
/// Messages that wait to be sent. Further ones are lost: the next news makes them good.
const MOST_WAITING: usize = 256;

/// What a gateway tells another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// Its work at a replica.
    #[serde(rename = "Load")]
    LoadUpdate(LoadUpdate),
    /// A question to a coordinator, by its number.
    #[serde(rename = "Question")]
    ChoiceRequest(u64, PlacementRequest),
    /// The answer to the question of that number; none where no replica may be asked.
    #[serde(rename = "Answer")]
    ChoiceResponse(u64, Option<PlacementOffer>),
    /// Asks for units of a stripe of a tenant's limit, by the number of the question.
    #[serde(rename = "Grant")]
    GrantRequest(u64, StripeId, u32),
    /// The answer to that.
    #[serde(rename = "Granted")]
    GrantResponse(u64, GrantResponse),
    /// Units that were granted for a request that has not run.
    #[serde(rename = "GiveBack")]
    UnitsReturned(StripeId, u32),
    /// What it was told of a replica's limit.
    #[serde(rename = "Limit")]
    LimitUpdate(LimitUpdate),
    /// Asks for one request to a replica that names a limit, by the number of the question; answered by `Granted`.
    #[serde(rename = "GrantSend")]
    SendGrantRequest(u64, LimitUpdate),
}

/// An answer to a question.
enum Answer {
    Choice(Option<PlacementOffer>),
    Grant(GrantResponse),
}

/// Ways to the other gateways.
pub(super) struct Peers {
    socket: UdpSocket,
    key: ClusterKey,
    own: SocketAddr,
    node: u64,
    next_question: AtomicU64,
    questions: Mutex<HashMap<u64, Sender<Answer>>>,
    waiting: (Sender<Outgoing>, Receiver<Outgoing>),
}

struct Outgoing {
    to: Vec<SocketAddr>,
    message: GatewayMessage,
}

/// A question under way; forgotten when it is dropped.
struct Asked<'a> {
    peers: &'a Peers,
    number: u64,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.peers.questions.lock().unwrap().remove(&self.number);
    }
}

impl Peers {
    /// Binds the socket at the machine's address for clients and the internal port.
    pub(super) async fn bind(
        clients: SocketAddr,
        port: u16,
        key: ClusterKey,
    ) -> std::io::Result<Self> {
        let own = SocketAddr::new(clients.ip(), port);
        let socket = UdpSocket::bind(own).await?;
        let node = Digest::of(clients.to_string().as_bytes()).prefix();
        Ok(Peers {
            socket,
            key,
            own,
            node,
            // Answers to questions of an earlier life must match none of this one.
            next_question: AtomicU64::new(rand::random()),
            questions: Mutex::default(),
            waiting: async_channel::bounded(MOST_WAITING),
        })
    }

    /// Where this gateway takes datagrams.
    pub(super) fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Tells others what there is to tell, without waiting. What can't be sent is lost: the next news
    /// makes it good.
    pub(super) fn tell(&self, news: Option<(Vec<SocketAddr>, LoadUpdate)>) {
        let Some((to, news)) = news else { return };
        self.send(to, GatewayMessage::LoadUpdate(LoadUpdate { node: self.node, ..news }));
    }

    fn send(&self, to: Vec<SocketAddr>, message: GatewayMessage) {
        if !to.is_empty() {
            let _ = self.waiting.0.try_send(Outgoing { to, message });
        }
    }

    /// Asks a coordinator, and waits for its answer for so long; `None` where none comes.
    pub(super) async fn ask(
        &self,
        coordinator: SocketAddr,
        question: PlacementRequest,
        limit: Duration,
    ) -> Option<Option<PlacementOffer>> {
        match self
            .question(coordinator, |number| GatewayMessage::ChoiceRequest(number, question), limit)
            .await
        {
            Some(Answer::Choice(offer)) => Some(offer),
            _ => None,
        }
    }

    /// Asks another gateway to grant, and waits for its answer for so long; `None` where none comes.
    pub(super) async fn ask_grant(
        &self,
        granter: SocketAddr,
        stripe: StripeId,
        amount: u32,
        limit: Duration,
    ) -> Option<GrantResponse> {
        match self
            .question(granter, |number| GatewayMessage::GrantRequest(number, stripe, amount), limit)
            .await
        {
            Some(Answer::Grant(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Asks another gateway to grant one request to a replica that names a limit, and waits for its answer for so long;
    /// `None` where none comes.
    pub(super) async fn ask_send_grant(
        &self,
        granter: SocketAddr,
        asked: LimitUpdate,
        limit: Duration,
    ) -> Option<GrantResponse> {
        match self
            .question(granter, |number| GatewayMessage::SendGrantRequest(number, asked), limit)
            .await
        {
            Some(Answer::Grant(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Tells others of a replica's limit, without waiting.
    pub(super) fn tell_limit(&self, to: Vec<SocketAddr>, news: LimitUpdate) {
        self.send(to, GatewayMessage::LimitUpdate(news));
    }

    /// Tells a granter of units that were not used.
    pub(super) fn give_back(&self, granter: SocketAddr, stripe: StripeId, amount: u32) {
        self.send(vec![granter], GatewayMessage::UnitsReturned(stripe, amount));
    }

    async fn question(
        &self,
        to: SocketAddr,
        message: impl FnOnce(u64) -> GatewayMessage,
        limit: Duration,
    ) -> Option<Answer> {
        let number = self.next_question.fetch_add(1, Ordering::Relaxed);
        let (answered, answer) = async_channel::bounded(1);
        self.questions.lock().unwrap().insert(number, answered);
        let _asked = Asked { peers: self, number };
        self.send(vec![to], message(number));
        super::http_service::within(limit, answer.recv()).await?.ok()
    }

    fn answered(&self, number: u64, answer: Answer) {
        let asked = self.questions.lock().unwrap().remove(&number);
        if let Some(asked) = asked {
            // Only the first answer counts.
            let _ = asked.try_send(answer);
        }
    }
}

/// Sends what waits, for ever.
pub(super) async fn send_waiting(peers: Arc<Peers>) {
    while let Ok(Outgoing { to, message }) = peers.waiting.1.recv().await {
        let Ok(payload) = encode_datagram(&message) else { continue };
        let datagram = seal_datagram(&peers.key, &payload);
        if datagram.len() > MAX_DATAGRAM {
            continue;
        }
        for address in to {
            let _ = peers.socket.send_to(&datagram, address).await;
        }
    }
}

/// Takes the others' messages for ever.
pub(super) async fn listen(peers: Arc<Peers>, shared: Arc<Shared>) {
    let mut buffer = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = peers.socket.recv_from(&mut buffer).await else { continue };
        let payload = open_datagram(&peers.key, &buffer[..length]);
        let message =
            payload.ok().and_then(|payload| decode_payload::<GatewayMessage>(payload).ok());
        let now = shared.clock.now();
        match message {
            Some(GatewayMessage::LoadUpdate(news)) => {
                shared.knowledge.lock().unwrap().balancer().apply_load_update(&news, now);
            }
            Some(GatewayMessage::ChoiceRequest(number, question)) => {
                shared.metrics.event("question_answered");
                let offer = shared.knowledge.lock().unwrap().place(&question, now);
                peers.send(vec![sender], GatewayMessage::ChoiceResponse(number, offer));
            }
            Some(GatewayMessage::ChoiceResponse(number, offer)) => {
                peers.answered(number, Answer::Choice(offer))
            }
            Some(GatewayMessage::GrantRequest(number, stripe, amount)) => {
                let answer = shared.knowledge.lock().unwrap().grant(stripe, amount, now);
                shared.metrics.event(grant_event(answer));
                peers.send(vec![sender], GatewayMessage::GrantResponse(number, answer));
            }
            Some(GatewayMessage::GrantResponse(number, answer)) => {
                peers.answered(number, Answer::Grant(answer));
            }
            Some(GatewayMessage::UnitsReturned(stripe, amount)) => {
                shared.knowledge.lock().unwrap().return_units(stripe, amount, now);
            }
            Some(GatewayMessage::LimitUpdate(news)) => {
                let to = shared.knowledge.lock().unwrap().apply_limit_update(&news, now);
                peers.tell_limit(to, news);
            }
            Some(GatewayMessage::SendGrantRequest(number, asked)) => {
                let answer = shared.knowledge.lock().unwrap().grant_send(&asked, now);
                shared.metrics.event(send_grant_event(answer));
                peers.send(vec![sender], GatewayMessage::GrantResponse(number, answer));
            }
            None => shared.metrics.event("bad_datagram"),
        }
    }
}

/// Name of a granter's answer in metrics.
fn grant_event(answer: GrantResponse) -> &'static str {
    match answer {
        GrantResponse::Granted => "grant_given",
        GrantResponse::LimitExceeded(_) => "grant_refused",
        GrantResponse::NotGranter => "grant_not_held",
    }
}

/// The same for requests to replicas that name a limit.
pub(super) fn send_grant_event(answer: GrantResponse) -> &'static str {
    match answer {
        GrantResponse::Granted => "send_granted",
        GrantResponse::LimitExceeded(_) => "send_refused",
        GrantResponse::NotGranter => "send_not_held",
    }
}
