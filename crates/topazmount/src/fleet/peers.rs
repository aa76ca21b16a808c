//! Datagrams by which gateways tell each other of their work at replicas.

use super::gateway::Shared;
use async_net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use topazmount_control::GatewayReport;
use topazmount_gateway::LoadNews;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{Digest, ReplicaId};
use topazmount_wire::{ClusterKey, decode_payload, encode_payload, open_datagram, seal_datagram};

/// Gateways that are told: more would cost each of them more than the news is worth.
const MOST_PEERS: usize = 15;
/// Largest datagram.
const MAX_DATAGRAM: usize = 2 * 1024;

/// The other gateways.
pub(super) struct Peers {
    socket: UdpSocket,
    key: ClusterKey,
    own: SocketAddr,
    node: u64,
    others: Mutex<Vec<SocketAddr>>,
    /// Weights of all other gateways in rankings.
    others_weights: Mutex<Vec<ReplicaId>>,
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
        let (others, others_weights) = (Mutex::default(), Mutex::default());
        Ok(Peers { socket, key, own, node, others, others_weights })
    }

    /// Place of this gateway among all that are known, in an order that all find alike and that
    /// differs from subject to subject; 0 is the first.
    pub(super) fn rank(&self, subject: &str) -> usize {
        let subject = ReplicaId::from_name(subject).0;
        let own = rendezvous_weight(subject, ranked(self.own));
        let others = self.others_weights.lock().unwrap();
        others.iter().filter(|other| rendezvous_weight(subject, **other) > own).count()
    }

    /// Takes the list of gateways: those that follow this one in the order of addresses are told.
    pub(super) fn set_gateways(&self, gateways: &[GatewayReport]) {
        let port = self.own.port();
        let addresses = gateways.iter().filter_map(|gateway| gateway.address.parse().ok());
        let mut others: Vec<SocketAddr> = addresses
            .map(|address: SocketAddr| SocketAddr::new(address.ip(), port))
            .filter(|address| *address != self.own)
            .collect();
        others.sort();
        *self.others_weights.lock().unwrap() = others.iter().copied().map(ranked).collect();
        let first = others.partition_point(|address| *address < self.own);
        others.rotate_left(first);
        others.truncate(MOST_PEERS);
        *self.others.lock().unwrap() = others;
    }

    /// Tells the others. What can't be sent at once is lost: the next news makes it good.
    pub(super) async fn tell(&self, mut news: LoadNews) {
        news.node = self.node;
        let Ok(payload) = encode_payload(&news) else { return };
        let datagram = seal_datagram(&self.key, &payload);
        let others = self.others.lock().unwrap().clone();
        for address in others {
            let _ = self.socket.send_to(&datagram, address).await;
        }
    }
}

fn ranked(address: SocketAddr) -> ReplicaId {
    ReplicaId::from_name(&address.to_string())
}

/// Takes the others' news for ever.
pub(super) async fn listen(peers: Arc<Peers>, shared: Arc<Shared>) {
    let mut buffer = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = peers.socket.recv_from(&mut buffer).await else { continue };
        let payload = open_datagram(&peers.key, &buffer[..length]);
        let news = payload.ok().and_then(|payload| decode_payload::<LoadNews>(payload).ok());
        let Some(news) = news else {
            shared.metrics.event("bad_datagram");
            continue;
        };
        let now = shared.clock.now();
        shared.knowledge.lock().unwrap().balancer().apply_news(&news, now);
    }
}
