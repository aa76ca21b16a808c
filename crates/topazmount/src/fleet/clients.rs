//! Serves clients' connections: reads requests and passes each one to an [`Exchange`].

use super::dialect::RequestMetadata;
use super::exchange::{ClientResponse, Exchange, ResponseOutcome};
use super::gateway::SharedState;
use super::http_service::with_timeout;
use super::request_reader::{ReadError, Rejection, read_body, read_head};
use super::response::response_to;
use super::stream_origin::{NotResumable, resumable_stream};
use crate::Executor;
use crate::http1::{RequestHead, Wire};
use async_net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use topazmount_gateway::{Admission, Prompt, part_digest};
use topazmount_types::{Digest, ErrorKind, RequestDigest, Time};

/// Delay after a failed accept, for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for a client to read an error response before its connection is closed.
const CLOSE_LINGER: Duration = Duration::from_millis(300);

/// Counts an open request until it is dropped.
pub(super) struct OpenRequest<'a>(&'a SharedState);

impl<'a> OpenRequest<'a> {
    pub(super) fn new(shared: &'a SharedState) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Accepts connections forever.
pub(super) async fn accept(executor: Executor, listener: TcpListener, shared: Arc<SharedState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_client(shared.clone(), Wire::new(stream));
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("gateway: event=accept_failed error={error:?}");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_client(shared: Arc<SharedState>, mut wire: Wire) {
    loop {
        let head = match read_head(&mut wire, || shared.read_limits()).await {
            Ok(head) => head,
            Err(ReadError::Disconnected) => return,
            Err(ReadError::Rejected(rejection)) => {
                return reject_and_close(&shared, &mut wire, None, rejection).await;
            }
        };
        let _open = OpenRequest::new(&shared);
        let received_at = shared.clock.now();
        let body = match read_body(&mut wire, &head, &shared.read_limits()).await {
            Ok(body) => body,
            Err(ReadError::Disconnected) => return,
            Err(ReadError::Rejected(rejection)) => {
                return reject_and_close(&shared, &mut wire, Some(&head), rejection).await;
            }
        };
        let keeps_alive = head.keeps_alive() && !shared.is_stopping();
        let outcome =
            serve_request(&shared, &mut wire, &head, &body, received_at, keeps_alive).await;
        match outcome {
            Some(ResponseOutcome::Complete) if keeps_alive => {}
            Some(ResponseOutcome::Complete) => return wire.finish(),
            Some(ResponseOutcome::Truncated) | None => return wire.abort(),
        }
    }
}

/// Serves one request; `None` if the client disconnects first.
async fn serve_request(
    shared: &SharedState,
    wire: &mut Wire,
    head: &RequestHead,
    body: &[u8],
    received_at: Time,
    keeps_alive: bool,
) -> Option<ResponseOutcome> {
    let metadata = match shared.dialect.request_metadata(head) {
        Ok(metadata) => metadata,
        Err(problem) => {
            let kind = ErrorKind::InvalidRequest;
            log_rejection(shared, Some(head), kind, &format!("problem={problem:?}"));
            return Some(send_error(shared, wire, head, kind, keeps_alive).await);
        }
    };
    let host = head.host().unwrap_or_default();
    let admission = if shared.refuses_requests.load(Ordering::SeqCst) {
        Err(ErrorKind::Draining)
    } else {
        let mut gateway_state = shared.gateway_state.lock();
        gateway_state.admit(host, head.path(), metadata.api_key.as_deref(), received_at)
    };
    let mut admission = match admission {
        Ok(admission) => admission,
        Err(kind) => {
            log_refusal(shared, &metadata, head, kind);
            return Some(send_error(shared, wire, head, kind, keeps_alive).await);
        }
    };
    let stream = match resumable_stream(shared, &metadata, &mut admission).await {
        Ok(stream) => stream,
        Err(NotResumable { kind, retry_after }) => {
            log_refusal(shared, &metadata, head, kind);
            return Some(send_rejection(shared, wire, head, kind, retry_after, keeps_alive).await);
        }
    };
    let client = ClientResponse::new(wire.writer());
    let engine = {
        let gateway_state = shared.gateway_state.lock();
        let service = gateway_state
            .catalog()
            .and_then(|catalog| catalog.service(&admission.service).cloned());
        service.and_then(|service| service.engine)
    };
    let exchange = Exchange {
        shared,
        head,
        body,
        metadata: &metadata,
        digest: request_digest(host, head, &metadata, &admission, body),
        parts: part_digests(&metadata),
        admission: &admission,
        received_at,
        keeps_alive,
        engine,
        stream,
        trial: None,
        client,
    };
    let serving = async { Some(exchange.run().await) };
    let client_left = async {
        wire.gone().await;
        None
    };
    let outcome = futures_lite::future::or(serving, client_left).await;
    if outcome.is_none() {
        shared.metrics.record_response("client_gone", shared.clock.now().since(received_at));
        shared.event_log.info(|| {
            let elapsed_ms = shared.clock.now().since(received_at).as_millis();
            format!("gateway: event=client_gone request={} after_ms={elapsed_ms}", metadata.id)
        });
    }
    outcome
}

/// Digest that identifies retries of a request. It includes the tenant instead of the API key, since a
/// tenant may have several keys.
fn request_digest(
    host: &str,
    head: &RequestHead,
    metadata: &RequestMetadata,
    admission: &Admission,
    body: &[u8],
) -> RequestDigest {
    let tenant = admission.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let prompt = metadata.prompt.as_ref().map(|prompt| &prompt.parts[..]).unwrap_or_default();
    let prompt: Vec<u8> = prompt.iter().flat_map(|part| part.id.to_le_bytes()).collect();
    let mut parts = [host, &head.method, &head.target, tenant].map(str::as_bytes).to_vec();
    parts.push(body);
    if !prompt.is_empty() {
        parts.push(&prompt);
    }
    RequestDigest(Digest::of_parts(&parts).prefix())
}

/// Digests of the prompt's parts but the last, which belongs to the request itself.
fn part_digests(metadata: &RequestMetadata) -> Vec<RequestDigest> {
    let parts = metadata.prompt.as_ref().map(Prompt::shared_parts).unwrap_or_default();
    parts.into_iter().map(part_digest).collect()
}

/// Logs the rejection of a request that was read and not admitted, with what admission looks at.
fn log_refusal(
    shared: &SharedState,
    metadata: &RequestMetadata,
    head: &RequestHead,
    kind: ErrorKind,
) {
    let key = if metadata.api_key.is_some() { "given" } else { "none" };
    log_rejection(shared, Some(head), kind, &format!("key={key}"));
}

/// Logs a request that is rejected before it is admitted: its status, the values that decided it, and
/// the configuration in force. `head` is `None` if no head could be read.
fn log_rejection(
    shared: &SharedState,
    head: Option<&RequestHead>,
    kind: ErrorKind,
    decided_by: &str,
) {
    shared.metrics.record_response(kind.name(), Duration::ZERO);
    shared.event_log.info(|| {
        let metadata = head.and_then(|head| shared.dialect.request_metadata(head).ok());
        let catalog = shared.gateway_state.lock().catalog().cloned();
        let (version, routes) =
            catalog.map_or((0, 0), |catalog| (catalog.version(), catalog.route_count()));
        format!(
            "gateway: event=answer request={} status={} reason={} host={} path={} version={version} \
             routes={routes} {decided_by}",
            metadata.as_ref().map_or("unknown", |metadata| &metadata.id),
            kind.status(),
            kind.name(),
            head.and_then(RequestHead::host).unwrap_or("unknown"),
            head.map_or("unknown", RequestHead::path),
        )
    });
}

async fn send_error(
    shared: &SharedState,
    wire: &mut Wire,
    head: &RequestHead,
    kind: ErrorKind,
    keeps_alive: bool,
) -> ResponseOutcome {
    let retry_after = shared.retry_after(kind);
    send_rejection(shared, wire, head, kind, retry_after, keeps_alive).await
}

async fn send_rejection(
    shared: &SharedState,
    wire: &mut Wire,
    head: &RequestHead,
    kind: ErrorKind,
    retry_after: Option<Duration>,
    keeps_alive: bool,
) -> ResponseOutcome {
    let response = shared.dialect.error_response(kind, retry_after);
    match wire.write_all(&response_to(&response, head, keeps_alive)).await {
        Ok(()) => ResponseOutcome::Complete,
        Err(_) => ResponseOutcome::Truncated,
    }
}

/// Sends an error for a request that could not be read, and closes the connection.
async fn reject_and_close(
    shared: &SharedState,
    wire: &mut Wire,
    read: Option<&RequestHead>,
    rejection: Rejection,
) {
    let Rejection { kind, problem } = rejection;
    log_rejection(shared, read, kind, &format!("problem={problem:?}"));
    let response = shared.dialect.error_response(kind, None);
    let head = RequestHead {
        method: String::new(),
        target: String::new(),
        minor_version: 1,
        headers: Default::default(),
    };
    let _ = wire.write_all(&response_to(&response, &head, false)).await;
    wire.finish();
    // Closing a socket with unread data would reset the connection and discard the response.
    with_timeout(CLOSE_LINGER, async {
        while matches!(wire.fill().await, Ok(read) if read > 0) {
            wire.consume(usize::MAX);
        }
    })
    .await;
}
