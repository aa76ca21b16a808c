//! Serves short calls over HTTP: a whole request in, a whole answer out.

use super::dialect::HttpAnswer;
use crate::Executor;
use crate::http1::{BodyReader, HeadError, RequestHead, Wire, request_framing, simple_answer};
use async_net::TcpListener;
use eyre::{Result, WrapErr};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest head of a call.
const MAX_HEAD: usize = 16 * 1024;
/// Largest body of a call.
const MAX_BODY: usize = 8 * 1024 * 1024;
/// Longest time for a call to arrive.
const ARRIVAL: Duration = Duration::from_secs(5);
/// Longest rest of a kept connection.
const IDLE: Duration = Duration::from_secs(20);
/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers one call.
pub trait Service: Send + Sync + 'static {
    /// Answers.
    fn answer(&self, head: RequestHead, body: Vec<u8>) -> impl Future<Output = HttpAnswer> + Send;
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
        let head = match read_head(&mut wire).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(status) => return refuse(&mut wire, status).await,
        };
        let body = match read_body(&mut wire, &head).await {
            Ok(body) => body,
            Err(status) => return refuse(&mut wire, status).await,
        };
        let keeps_alive = head.keeps_alive();
        let answer = service.answer(head, body).await;
        let bytes = answer_bytes(&answer, keeps_alive);
        if wire.write_all(&bytes).await.is_err() || !keeps_alive {
            return;
        }
    }
}

fn answer_bytes(answer: &HttpAnswer, keeps_alive: bool) -> Vec<u8> {
    let mut fields: Vec<(&str, String)> =
        answer.fields.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    if let Some(content_type) = answer.content_type {
        fields.push(("Content-Type", content_type.to_owned()));
    }
    simple_answer(answer.status, &fields, &answer.body, keeps_alive)
}

async fn refuse(wire: &mut Wire, status: u16) {
    let _ = wire.write_all(&simple_answer(status, &[], b"", false)).await;
    wire.finish();
}

/// Reads a head; `None` when the peer closed or rested too long, a status when it is faulty.
async fn read_head(wire: &mut Wire) -> Result<Option<RequestHead>, u16> {
    loop {
        match RequestHead::parse(wire.buffered()) {
            Ok(Some((head, length))) => {
                wire.consume(length);
                return Ok(Some(head));
            }
            Ok(None) if wire.buffered().len() > MAX_HEAD => return Err(431),
            Ok(None) => {}
            Err(HeadError::Malformed | HeadError::Framing) => return Err(400),
        }
        let is_begun = !wire.buffered().is_empty();
        let limit = if is_begun { ARRIVAL } else { IDLE };
        match within(limit, wire.fill()).await {
            Some(Ok(read)) if read > 0 => {}
            None if is_begun => return Err(408),
            _ => return Ok(None),
        }
    }
}

async fn read_body(wire: &mut Wire, head: &RequestHead) -> Result<Vec<u8>, u16> {
    let framing = request_framing(head).map_err(|_| 400u16)?;
    if head.headers.has_word("expect", "100-continue") {
        let _ = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    match within(ARRIVAL, BodyReader::new(framing).read_all(wire, MAX_BODY)).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(crate::http1::BodyError::TooLarge)) => Err(413),
        Some(Err(_)) => Err(400),
        None => Err(408),
    }
}

/// Runs a future with a time limit.
pub(super) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        async_io::Timer::after(limit).await;
        None
    })
    .await
}
