//! Carries tunnels for other gateways.

use super::super::clients::OpenRequest;
use super::super::gateway::SharedState;
use super::super::http_service::with_timeout;
use super::session::Session;
use super::{REPLICA_CONNECT_TIMEOUT, TunnelRequest, TunnelResponse};
use crate::Executor;
use crate::http1::{LAST_SEGMENT, Wire, connect, is_refusal, segments};
use async_net::{TcpListener, TcpStream};
use eyre::{Result, WrapErr};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use topazmount_gateway::CarrierState;

/// Bytes read at a time from the requesting gateway.
const READ_SIZE: usize = 8 * 1024;
/// Time for the requesting gateway to read the end of a response before the tunnel is closed.
const CLOSE_LINGER: Duration = Duration::from_millis(300);
/// Maximum number of other replicas that are tried after one has refused a connection.
const MAX_OTHERS: usize = 2;
/// Time for each of them to accept a connection.
const OTHERS_TIMEOUT: Duration = Duration::from_millis(30);
/// Delay after a failed accept, for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens at an address and carries tunnels.
///
/// # Errors
/// If the address can't be bound.
pub(in crate::fleet) async fn serve(
    executor: &Executor,
    address: SocketAddr,
    shared: Arc<SharedState>,
) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening for tunnels at {address}"))?;
    let spawner = executor.clone();
    let accepting = async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let shared = shared.clone();
                    let carrying = async move {
                        if let Err(error) = carry(&shared, stream).await {
                            shared.event_log.info(|| {
                                format!(
                                    "gateway: event=tunnel_failed peer={peer} problem=\"{error:#}\""
                                )
                            });
                        }
                    };
                    spawner.spawn(carrying).detach();
                }
                Err(error) => {
                    log::warn!("gateway: event=accept_failed error={error:?}");
                    async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    executor.spawn(accepting).detach();
    Ok(())
}

/// Counts a carried tunnel until it is dropped.
struct Carried<'a>(&'a SharedState);

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.0.carried_tunnels.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn carry(shared: &SharedState, stream: TcpStream) -> Result<()> {
    let mut session = Session::accept(stream, &shared.cluster_key).await?;
    let request: TunnelRequest = session.receive_request().await?;
    let carried = shared.carried_tunnels.fetch_add(1, Ordering::SeqCst);
    let _carried = Carried(shared);
    let knows_replica = knows_replica(shared, &request);
    // A guard in a struct expression would be held until its end.
    let is_partitioned = shared.links.lock().is_partitioned();
    let is_stopping = shared.is_stopping();
    let state = CarrierState { is_stopping, is_partitioned, knows_replica, carried };
    if let Err(refusal) = state.admit() {
        shared.metrics.count_event("tunnel_refused");
        return session.send(&TunnelResponse::Refused(refusal)).await;
    }
    // A stopping gateway waits for its open requests, so a stop does not cut the tunnel.
    let _open = OpenRequest::new(shared);
    let replica = match connect_to_replica(shared, &request).await {
        Ok(replica) => replica,
        Err(response) => return session.send(&response).await,
    };
    session.send(&TunnelResponse::Connected).await?;
    shared.metrics.count_event("tunnel_carried");
    with_timeout(request.time_limit, pass(session.into_stream(), replica)).await;
    Ok(())
}

fn knows_replica(shared: &SharedState, request: &TunnelRequest) -> bool {
    let mut gateway_state = shared.gateway_state.lock();
    let instance = gateway_state.balancer().instance(&request.id);
    instance.is_some_and(|instance| instance.address == request.address)
}

async fn connect_to_replica(
    shared: &SharedState,
    request: &TunnelRequest,
) -> Result<Wire, TunnelResponse> {
    let address = request.address.parse().map_err(|_| TunnelResponse::ReplicaUnreachable)?;
    let began = shared.clock.now();
    let error = match connect(address, shared.local_ip, REPLICA_CONNECT_TIMEOUT).await {
        Ok(replica) => return Ok(replica),
        Err(error) => error,
    };
    // This gateway may be cut off, too; the next request for a tunnel will know.
    shared.is_link_failure(began);
    // A partition may refuse all connections. One that works after the refusal shows that there is none.
    let is_ended = is_refusal(&error) && accepts_others(shared, address).await;
    Err(match is_ended {
        true => TunnelResponse::ReplicaRefused,
        false => TunnelResponse::ReplicaUnreachable,
    })
}

/// Whether a replica other than the one at `refusing` accepts a connection; also if there is no other.
async fn accepts_others(shared: &SharedState, refusing: SocketAddr) -> bool {
    let sampled = shared.gateway_state.lock().balancer().sample_addresses(MAX_OTHERS + 1);
    let others = sampled.iter().filter_map(|address| address.parse().ok());
    let others: Vec<SocketAddr> = others.filter(|other| *other != refusing).collect();
    for other in others.iter().take(MAX_OTHERS) {
        if connect(*other, shared.local_ip, OTHERS_TIMEOUT).await.is_ok() {
            return true;
        }
    }
    others.is_empty()
}

/// Passes bytes until one side closes its connection, then closes the other.
async fn pass(gateway: TcpStream, replica: Wire) {
    let (from_gateway, to_replica) = (gateway.clone(), replica.writer());
    let upstream = pass_requests(from_gateway, to_replica);
    let downstream = pass_responses(replica, gateway);
    futures_lite::future::or(upstream, downstream).await;
}

async fn pass_requests(mut gateway: TcpStream, mut replica: TcpStream) {
    let mut buf = vec![0u8; READ_SIZE];
    loop {
        match gateway.read(&mut buf).await {
            Ok(read) if read > 0 => {
                if replica.write_all(&buf[..read]).await.is_err() {
                    // The replica may still send its response.
                    return futures_lite::future::pending().await;
                }
            }
            _ => return,
        }
    }
}

async fn pass_responses(mut replica: Wire, mut gateway: TcpStream) {
    loop {
        let bytes = match replica.fill().await {
            Ok(0) => break,
            Ok(_) => segments(&replica.take(usize::MAX)),
            // Without the last segment the response counts as broken.
            Err(_) => return,
        };
        if gateway.write_all(&bytes).await.is_err() {
            return;
        }
    }
    if gateway.write_all(LAST_SEGMENT).await.is_err() {
        return;
    }
    // Closing a socket with unread data would reset the connection and discard the response.
    async_io::Timer::after(CLOSE_LINGER).await;
}
