//! Opens tunnels through other gateways.

use super::super::gateway::SharedState;
use super::session::Session;
use super::{REPLICA_CONNECT_TIMEOUT, TunnelRequest, TunnelResponse};
use crate::http1::Wire;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_types::Instance;

/// Gateways that are asked for one tunnel.
const MAX_CARRIERS: usize = 8;
/// Time for the response of a carrier, beyond its time limit for connecting.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// An open tunnel.
pub(in crate::fleet) struct Tunnel {
    /// Connection to the replica.
    pub(in crate::fleet) wire: Wire,
    /// The gateway that carries it.
    pub(in crate::fleet) carrier: SocketAddr,
}

/// Why there is no tunnel to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::fleet) enum TunnelError {
    /// Nobody listens at the replica's address, as another gateway found.
    ReplicaRefused,
    /// Another gateway can't reach the replica either.
    ReplicaUnreachable,
    /// No other gateway carries tunnels.
    NoCarrier,
    /// There is no other gateway.
    OnlyGateway,
}

/// How a carrier responded.
enum Asked {
    Opened(Wire),
    Failed(TunnelError),
    /// It does not carry this tunnel; another gateway may.
    NextCarrier,
}

impl SharedState {
    /// Opens a connection to a replica through another gateway. The tunnel is closed after `time_limit`.
    ///
    /// # Errors
    /// If there is none.
    pub(in crate::fleet) async fn open_tunnel(
        &self,
        instance: &Instance,
        time_limit: Duration,
    ) -> Result<Tunnel, TunnelError> {
        let others = {
            let mut gateway_state = self.gateway_state.lock();
            gateway_state.gateways().others(self.clock.now())
        };
        if others.is_empty() {
            return Err(TunnelError::OnlyGateway);
        }
        for _ in 0..MAX_CARRIERS {
            let now = self.clock.now();
            let carrier = self.carriers.lock().choose(&others, now, &mut rand::rng());
            let Some(carrier) = carrier else { break };
            match self.ask(carrier, instance, time_limit).await {
                Asked::Opened(wire) => return Ok(Tunnel { wire, carrier }),
                Asked::Failed(error) => return Err(error),
                Asked::NextCarrier => {}
            }
        }
        self.links.lock().on_no_tunnel(self.clock.now());
        self.metrics.count_event("no_carrier");
        Err(TunnelError::NoCarrier)
    }

    async fn ask(&self, carrier: SocketAddr, instance: &Instance, time_limit: Duration) -> Asked {
        let response = self.request_tunnel(carrier, instance, time_limit).await;
        let now = self.clock.now();
        let mut carriers = self.carriers.lock();
        match response {
            Ok((response, session)) => match response {
                TunnelResponse::Connected => {
                    carriers.on_carried(carrier);
                    return Asked::Opened(Wire::from_segments(session.into_stream()));
                }
                TunnelResponse::ReplicaRefused => {
                    carriers.on_carried(carrier);
                    return Asked::Failed(TunnelError::ReplicaRefused);
                }
                TunnelResponse::ReplicaUnreachable => {
                    carriers.on_carried(carrier);
                    return Asked::Failed(TunnelError::ReplicaUnreachable);
                }
                TunnelResponse::Refused(refusal) => {
                    carriers.on_refused(carrier, refusal, now);
                    log_refusal(self, carrier, refusal.name());
                }
            },
            Err(error) => {
                carriers.on_silent(carrier, now);
                log_refusal(self, carrier, &format!("{error:#}"));
            }
        }
        Asked::NextCarrier
    }

    async fn request_tunnel(
        &self,
        carrier: SocketAddr,
        instance: &Instance,
        time_limit: Duration,
    ) -> eyre::Result<(TunnelResponse, Session)> {
        let address = SocketAddr::new(carrier.ip(), self.tunnel_port);
        let mut session = Session::connect(address, &self.cluster_key).await?;
        let request = TunnelRequest {
            id: instance.id.clone(),
            address: instance.address.clone(),
            time_limit,
        };
        session.send(&request).await?;
        let response = session.receive(REPLICA_CONNECT_TIMEOUT + RESPONSE_MARGIN).await?;
        Ok((response, session))
    }
}

fn log_refusal(shared: &SharedState, carrier: SocketAddr, reason: &str) {
    shared.metrics.count_event("tunnel_not_carried");
    shared
        .event_log
        .info(|| format!("gateway: event=tunnel_not_carried carrier={carrier} reason={reason:?}"));
}
