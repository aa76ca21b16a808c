//! Serves short calls over HTTP: a whole request in, a whole answer out.

use super::answer::answer_bytes;
use super::dialect::HttpResponse;
use super::request_reader::{ReadLimits, Unread, read_body, read_head};
use crate::Executor;
use crate::http1::{RequestHead, Wire, simple_answer};
use async_net::TcpListener;
use eyre::{Result, WrapErr};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use topazmount_types::ErrorKind;

/// Bounds on calls.
const LIMITS: ReadLimits = ReadLimits {
    max_head: 16 * 1024,
    max_body: 8 * 1024 * 1024,
    rest: Duration::from_secs(20),
    head: Duration::from_secs(5),
    body: Duration::from_secs(5),
};
/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers one call.
pub trait Service: Send + Sync + 'static {
    /// Answers.
    fn answer(&self, head: RequestHead, body: Vec<u8>)
    -> impl Future<Output = HttpResponse> + Send;
}

/// Listens at an address and serves calls.
///
/// # Errors
/// When the address can't be bound.
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
                    async_io::Timer::after(ACCEPT_PAUSE).await;
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
            Err(Unread::Gone) => return,
            Err(Unread::Refused(kind)) => return refuse(&mut wire, kind).await,
        };
        let keeps_alive = head.keeps_alive();
        let answer = service.answer(head, body).await;
        let bytes = answer_bytes(&answer, keeps_alive);
        if wire.write_all(&bytes).await.is_err() || !keeps_alive {
            return;
        }
    }
}

async fn read_call(wire: &mut Wire) -> Result<(RequestHead, Vec<u8>), Unread> {
    let head = read_head(wire, || LIMITS).await?;
    let body = read_body(wire, &head, &LIMITS).await?;
    Ok((head, body))
}

async fn refuse(wire: &mut Wire, kind: ErrorKind) {
    let _ = wire.write_all(&simple_answer(kind.status(), &[], b"", false)).await;
    wire.finish();
}

/// Runs a future with a time limit.
pub(super) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        async_io::Timer::after(limit).await;
        None
    })
    .await
}
