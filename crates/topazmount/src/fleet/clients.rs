//! Clients' connections: requests in, each handed to its exchange, answers out.

use super::answer::own_answer;
use super::dialect::RequestMetadata;
use super::exchange::{Ending, Exchange};
use super::gateway::Shared;
use super::http_service::within;
use super::request_reader::{Unread, read_body, read_head};
use crate::Executor;
use crate::http1::{RequestHead, Wire};
use async_net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use topazmount_gateway::Admission;
use topazmount_types::{Digest, ErrorKind, RequestDigest, Time};

/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for a client to read the end of a refused request's answer.
const REFUSAL_LINGER: Duration = Duration::from_millis(300);

/// Counts a request from its first byte to the end of its answer.
struct OpenRequest<'a>(&'a Shared);

impl<'a> OpenRequest<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Takes connections for ever.
pub(super) async fn accept(executor: Executor, listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_client(shared.clone(), Wire::new(stream));
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("gateway: event=accept_failed error={error:?}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client(shared: Arc<Shared>, mut wire: Wire) {
    loop {
        let head = match read_head(&mut wire, || shared.read_limits()).await {
            Ok(head) => head,
            Err(Unread::Gone) => return,
            Err(Unread::Refused(kind)) => return refuse(&shared, &mut wire, kind).await,
        };
        let _open = OpenRequest::new(&shared);
        let received = shared.clock.now();
        let body = match read_body(&mut wire, &head, &shared.read_limits()).await {
            Ok(body) => body,
            Err(Unread::Gone) => return,
            Err(Unread::Refused(kind)) => return refuse(&shared, &mut wire, kind).await,
        };
        let keeps_alive = head.keeps_alive() && !shared.is_stopping();
        let ending = serve_request(&shared, &mut wire, &head, &body, received, keeps_alive).await;
        match ending {
            Some(Ending::Whole) if keeps_alive => {}
            Some(Ending::Whole) => return wire.finish(),
            Some(Ending::Cut) | None => return wire.abort(),
        }
    }
}

/// Serves one request; `None` when the client left first.
async fn serve_request(
    shared: &Shared,
    wire: &mut Wire,
    head: &RequestHead,
    body: &[u8],
    received: Time,
    keeps_alive: bool,
) -> Option<Ending> {
    let tags = match shared.dialect.request_metadata(head) {
        Ok(tags) => tags,
        Err(problem) => {
            log::info!("gateway: event=refused problem={problem:?}");
            return Some(
                answer_kind(shared, wire, head, ErrorKind::InvalidRequest, keeps_alive).await,
            );
        }
    };
    let host = head.host().unwrap_or_default();
    let admission = if shared.is_closed.load(Ordering::SeqCst) {
        Err(ErrorKind::Draining)
    } else {
        let mut knowledge = shared.knowledge.lock().unwrap();
        knowledge.admit(host, head.path(), tags.api_key.as_deref(), received)
    };
    let admission = match admission {
        Ok(admission) => admission,
        Err(kind) => {
            log_refusal(shared, &tags, host, head.path(), kind);
            return Some(answer_kind(shared, wire, head, kind, keeps_alive).await);
        }
    };
    let client = wire.writer();
    let engine = {
        let knowledge = shared.knowledge.lock().unwrap();
        let service = knowledge.catalog().and_then(|all| all.service(&admission.service).cloned());
        service.and_then(|service| service.engine)
    };
    let exchange = Exchange {
        shared,
        head,
        body,
        tags: &tags,
        digest: digest(host, head, &admission, body),
        admission: &admission,
        received,
        keeps_alive,
        engine,
        client,
    };
    let served = async { Some(exchange.run().await) };
    let left = async {
        wire.gone().await;
        None
    };
    let ending = futures_lite::future::or(served, left).await;
    if ending.is_none() {
        shared.metrics.answer("client_gone", shared.clock.now().since(received));
        shared.journal.line(|| {
            let after = shared.clock.now().since(received).as_millis();
            format!("gateway: event=client_gone request={} after_ms={after}", tags.id)
        });
    }
    ending
}

/// The tenant stands for the caller: it may hold several keys.
fn digest(host: &str, head: &RequestHead, admission: &Admission, body: &[u8]) -> RequestDigest {
    let tenant = admission.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let parts = [host, &head.method, &head.target, tenant].map(str::as_bytes);
    RequestDigest(Digest::of_parts(&[parts[0], parts[1], parts[2], parts[3], body]).prefix())
}

fn log_refusal(shared: &Shared, tags: &RequestMetadata, host: &str, path: &str, kind: ErrorKind) {
    shared.metrics.answer(kind.name(), Duration::ZERO);
    shared.journal.line(|| {
        let version = shared.knowledge.lock().unwrap().seen_versions().document;
        format!(
            "gateway: event=answer request={} status={} reason={} host={host} path={path} \
             version={version}",
            tags.id,
            kind.status(),
            kind.name()
        )
    });
}

async fn answer_kind(
    shared: &Shared,
    wire: &mut Wire,
    head: &RequestHead,
    kind: ErrorKind,
    keeps_alive: bool,
) -> Ending {
    let answer = shared.dialect.error_response(kind, shared.retry_after(kind));
    match wire.write_all(&own_answer(&answer, head, keeps_alive)).await {
        Ok(()) => Ending::Whole,
        Err(_) => Ending::Cut,
    }
}

/// Answers a request that could not be read, and closes in a way that lets the client read that.
async fn refuse(shared: &Shared, wire: &mut Wire, kind: ErrorKind) {
    shared.metrics.answer(kind.name(), Duration::ZERO);
    let answer = shared.dialect.error_response(kind, None);
    let head = RequestHead {
        method: String::new(),
        target: String::new(),
        minor_version: 1,
        headers: Default::default(),
    };
    shared.journal.line(|| {
        format!("gateway: event=answer status={} reason={} unread", kind.status(), kind.name())
    });
    let _ = wire.write_all(&own_answer(&answer, &head, false)).await;
    wire.finish();
    // Closing with unread bytes would reset the connection before the client has the answer.
    within(REFUSAL_LINGER, async {
        while matches!(wire.fill().await, Ok(read) if read > 0) {
            wire.consume(usize::MAX);
        }
    })
    .await;
}
