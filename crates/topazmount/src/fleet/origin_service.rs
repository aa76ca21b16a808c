//! Holds records of streams at a control member, where they outlive a restart of all gateways, and tells
//! gateways what the registry's history proves.

use super::metrics::Metrics;
use super::peers::{GatewayMessage, MAX_DATAGRAM_BYTES, SoftwareProof};
use super::rate_limited_log::RateLimitedLog;
use crate::Executor;
use crate::clock::Clock;
use crate::control_process::LocalMember;
use async_net::UdpSocket;
use eyre::{Result, WrapErr};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use topazmount_control::{FleetRequest, FleetResponse, Request, Response};
use topazmount_gateway::StreamOrigins;
use topazmount_wire::{
    ClusterKey, ProtocolVersion, decode_payload, encode_datagram, open_datagram, seal_datagram,
};

/// Time for the member to tell what it knows. Gateways wait no longer for a response.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of questions to the member at a time. Further ones get no response.
const MAX_QUESTIONS: usize = 256;

/// Answers gateways' datagrams about streams.
pub(super) struct OriginService {
    socket: UdpSocket,
    key: ClusterKey,
    member: LocalMember,
    metrics: Arc<Metrics>,
    event_log: RateLimitedLog,
    questions: AtomicUsize,
}

impl OriginService {
    /// Binds the socket and answers in the background.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub(super) async fn start(
        executor: &Executor,
        address: SocketAddr,
        key: ClusterKey,
        member: LocalMember,
        metrics: Arc<Metrics>,
    ) -> Result<()> {
        let socket = UdpSocket::bind(address)
            .await
            .wrap_err_with(|| format!("binding the socket for records of streams at {address}"))?;
        let service = Arc::new(OriginService {
            socket,
            key,
            member,
            metrics,
            event_log: RateLimitedLog::default(),
            questions: AtomicUsize::new(0),
        });
        executor.spawn(service.run(executor.clone())).detach();
        Ok(())
    }

    async fn run(self: Arc<Self>, executor: Executor) {
        let clock = Clock::start();
        let mut origins = StreamOrigins::of_member();
        let mut buf = vec![0u8; MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(error) => {
                    self.log(|| format!("control: event=datagram_not_received problem={error}"));
                    continue;
                }
            };
            let message = open_datagram(&self.key, &buf[..length])
                .and_then(|(_, payload)| decode_payload::<GatewayMessage>(payload));
            match message {
                Ok(GatewayMessage::OriginUpdate(key, software)) => {
                    self.metrics.count_event("origin_update");
                    origins.record(key, software, clock.now());
                }
                Ok(GatewayMessage::OriginRequest(request_id, key)) => {
                    self.metrics.count_event("origin_request");
                    let software = origins.software(key, clock.now());
                    let response = GatewayMessage::OriginResponse(request_id, software);
                    self.send(sender, &response).await;
                }
                Ok(GatewayMessage::SoftwareRequest(request_id, service)) => {
                    self.answer_in_background(&executor, sender, request_id, service);
                }
                Ok(other) => {
                    let kind = other.name();
                    self.log(|| {
                        format!("control: event=unexpected_datagram sender={sender} message={kind}")
                    });
                }
                Err(error) => {
                    self.metrics.count_event("bad_datagram");
                    self.log(|| {
                        format!("control: event=bad_datagram sender={sender} problem={error}")
                    });
                }
            }
        }
    }

    /// Asks the member, which may be busy, without holding up records.
    fn answer_in_background(
        self: &Arc<Self>,
        executor: &Executor,
        sender: SocketAddr,
        request_id: u64,
        service: String,
    ) {
        if self.questions.fetch_add(1, Ordering::SeqCst) >= MAX_QUESTIONS {
            self.questions.fetch_sub(1, Ordering::SeqCst);
            self.metrics.count_event("software_request_dropped");
            return;
        }
        let this = self.clone();
        let answering = async move {
            let proof = this.only_software(service).await;
            this.questions.fetch_sub(1, Ordering::SeqCst);
            this.send(sender, &GatewayMessage::SoftwareResponse(request_id, proof)).await;
        };
        executor.spawn(answering).detach();
    }

    async fn only_software(&self, service: String) -> SoftwareProof {
        let request = Request::Fleet(FleetRequest::OnlySoftware(service));
        let proof = match self.member.ask(request, MEMBER_TIMEOUT).await {
            Ok(Response::Fleet(FleetResponse::OnlySoftware(Some(software)))) => {
                SoftwareProof::Only(software)
            }
            Ok(Response::Fleet(FleetResponse::OnlySoftware(None))) => SoftwareProof::Several,
            Ok(_) => SoftwareProof::NotLeader,
            Err(error) => {
                self.log(|| format!("control: event=software_unknown problem=\"{error:#}\""));
                SoftwareProof::NotLeader
            }
        };
        self.metrics.count_event(proof.event());
        proof
    }

    async fn send(&self, to: SocketAddr, message: &GatewayMessage) {
        let payload = match encode_datagram(message) {
            Ok(payload) => payload,
            Err(error) => {
                let kind = message.name();
                self.log(|| {
                    format!("control: event=unencodable_datagram message={kind} problem={error}")
                });
                return;
            }
        };
        let datagram = seal_datagram(&self.key, ProtocolVersion::Named, &payload);
        if let Err(error) = self.socket.send_to(&datagram, to).await {
            self.log(|| format!("control: event=datagram_not_sent to={to} problem={error}"));
        }
    }

    fn log(&self, text: impl FnOnce() -> String) {
        self.event_log.info(text);
    }
}
