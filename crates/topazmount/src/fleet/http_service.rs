//! HTTP server for short calls with complete request and response bodies.

use super::dialect::HttpResponse;
use super::request_reader::{ReadError, ReadLimits, read_body, read_head};
use super::response::response_bytes;
use crate::Executor;
use crate::http1::{RequestHead, Wire, simple_answer};
use async_net::TcpListener;
use eyre::{Result, WrapErr};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use topazmount_types::ErrorKind;

/// Limits on calls.
const LIMITS: ReadLimits = ReadLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 8 * 1024 * 1024,
    idle_timeout: Duration::from_secs(20),
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
};
/// Delay after a failed accept, for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the calls that a server receives.
pub trait Service: Send + Sync + 'static {
    /// Handles one call and returns the response.
    fn handle(&self, head: RequestHead, body: Vec<u8>)
    -> impl Future<Output = HttpResponse> + Send;
}

/// Listens at an address and serves calls.
///
/// # Errors
/// If the address can't be bound.
pub async fn serve<S: Service>(
    executor: &Executor,
    address: SocketAddr,
    service: Arc<S>,
) -> Result<()> {
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("listening at {address}"))?;
    let spawner = executor.clone();
    let accepting = async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let serving = serve_connection(Wire::new(stream), service.clone());
                    spawner.spawn(serving).detach();
                }
                Err(error) => {
                    log::warn!("http: event=accept_failed error={error:?}");
                    async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    executor.spawn(accepting).detach();
    Ok(())
}

async fn serve_connection<S: Service>(mut wire: Wire, service: Arc<S>) {
    loop {
        let (head, body) = match read_call(&mut wire).await {
            Ok(call) => call,
            Err(ReadError::Disconnected) => return,
            Err(ReadError::Rejected(rejection)) => {
                return send_error(&mut wire, rejection.kind).await;
            }
        };
        let keeps_alive = head.keeps_alive();
        let response = service.handle(head, body).await;
        let bytes = response_bytes(&response, keeps_alive);
        if wire.write_all(&bytes).await.is_err() || !keeps_alive {
            return;
        }
    }
}

async fn read_call(wire: &mut Wire) -> Result<(RequestHead, Vec<u8>), ReadError> {
    let head = read_head(wire, || LIMITS).await?;
    let body = read_body(wire, &head, &LIMITS).await?;
    Ok((head, body))
}

async fn send_error(wire: &mut Wire, kind: ErrorKind) {
    let _ = wire.write_all(&simple_answer(kind.status(), &[], b"", false)).await;
    wire.finish();
}

/// Runs a future with a time limit; `None` on timeout.
pub(super) async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        async_io::Timer::after(timeout).await;
        None
    })
    .await
}
