//! What callers may ask for: paths, authentication, and answers that are not streams.

use crate::chat_api;
use crate::http_guard::GuardedStream;
use crate::metrics;
use crate::node_process::{Event, NodeProcess, OpenRequest};
use futures_lite::AsyncReadExt;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{ActionResult, LookupOutcome};
use topazmount_node::NodeInput;
use topazmount_settings::{Declarations, Tenant, api_key_hash};
use topazmount_types::{ActionCall, ActionKey, Digest, Endpoint, ErrorKind, Refusal, RunState};

/// Header with which a caller names its key of a call.
const KEY_HEADER: &str = "idempotency-key";
/// Header with which a caller bounds the wait, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that says that a result was kept from an earlier run.
const REPLAYED_HEADER: &str = "idempotent-replayed";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Shortest and longest wait that a caller may ask for.
const DEADLINE_MS: std::ops::RangeInclusive<u64> = 1..=600_000;

/// Answers one request.
pub async fn answer(
    process: &Arc<NodeProcess>,
    guard: &GuardedStream,
    request: Request,
) -> Response {
    match route(process, guard, request).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn route(
    process: &Arc<NodeProcess>,
    guard: &GuardedStream,
    request: Request,
) -> Result<Response, Refusal> {
    let path = request.url().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method(), segments.as_slice()) {
        (Method::Get, ["healthz"]) => Ok(text_response("ok\n")),
        (Method::Get, ["readyz"]) => ready(process),
        (Method::Get, ["metrics"]) => Ok(text_response(process.read(metrics::render))),
        (Method::Get, ["v1", "models"]) => models(process, &request),
        (Method::Post, ["v1", "chat", "completions"]) => {
            chat_api::complete(process, guard, request, Endpoint::Chat).await
        }
        (Method::Post, ["v1", "completions"]) => {
            chat_api::complete(process, guard, request, Endpoint::Text).await
        }
        (Method::Post, ["v1", "actions", service, operation]) => {
            act(process, guard, request, service, operation).await
        }
        (Method::Get, ["v1", "actions", service, operation]) => {
            look_up(process, request, service, operation).await
        }
        (
            _,
            ["healthz" | "readyz" | "metrics"]
            | ["v1", "models" | "completions"]
            | ["v1", "chat", "completions"]
            | ["v1", "actions", _, _],
        ) => Err(Refusal::new(ErrorKind::MethodNotAllowed, "the path does not take this method")),
        _ => Err(Refusal::new(ErrorKind::NotFound, "there is no such path")),
    }
}

fn ready(process: &NodeProcess) -> Result<Response, Refusal> {
    if process.is_draining() {
        return Err(Refusal::new(ErrorKind::Draining, "this process is stopping"));
    }
    Ok(text_response("ready\n"))
}

fn models(process: &NodeProcess, request: &Request) -> Result<Response, Refusal> {
    let declarations = process.declarations();
    tenant_of(&declarations, request)?;
    let rows: Vec<_> = declarations
        .models
        .iter()
        .map(|model| {
            serde_json::json!({
                "id": model.name, "object": "model", "created": 0, "owned_by": declarations.name,
            })
        })
        .collect();
    Ok(json_response(200, serde_json::json!({ "object": "list", "data": rows }).to_string()))
}

/// The tenant whose API key the request carries.
pub(crate) fn tenant_of<'a>(
    declarations: &'a Declarations,
    request: &Request,
) -> Result<&'a Tenant, Refusal> {
    let refused = |message: &str| Refusal::new(ErrorKind::Unauthenticated, message);
    let header = request.header("authorization").map(|value| value.as_str());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| refused("send the API key as \"Authorization: Bearer KEY\""))?;
    let tenant = declarations.tenant_by_key_hash(&api_key_hash(key.trim()));
    tenant.ok_or_else(|| refused("the API key is unknown"))
}

/// Time from now by which the caller wants a terminal answer.
pub(crate) fn deadline_of(
    declarations: &Declarations,
    request: &Request,
) -> Result<Duration, Refusal> {
    let Some(value) = request.header(DEADLINE_HEADER) else {
        return Ok(declarations.limits.request_deadline);
    };
    let millis = value.as_str().parse().ok().filter(|millis| DEADLINE_MS.contains(millis));
    millis.map(Duration::from_millis).ok_or_else(|| {
        let message = format!("{DEADLINE_HEADER} must be a whole number from 1 to 600000");
        Refusal::new(ErrorKind::InvalidRequest, message)
    })
}

/// Reads a body within the declared bound.
pub(crate) async fn read_body(
    declarations: &Declarations,
    guard: &GuardedStream,
    request: &mut Request,
) -> Result<String, Refusal> {
    let most = declarations.limits.max_body_bytes;
    let too_large = || Refusal::new(ErrorKind::TooLarge, format!("the body exceeds {most} bytes"));
    if request.len().is_some_and(|length| length > most) {
        return Err(too_large());
    }
    let mut bytes = Vec::with_capacity(request.len().unwrap_or(0).min(most));
    let read = request.take_body().take(most as u64 + 1).read_to_end(&mut bytes).await;
    if read.is_err() {
        let (kind, reason) =
            guard.violation().unwrap_or((ErrorKind::InvalidRequest, "the body is malformed"));
        return Err(Refusal::new(kind, reason));
    }
    if bytes.len() > most {
        return Err(too_large());
    }
    String::from_utf8(bytes)
        .map_err(|_| Refusal::new(ErrorKind::InvalidRequest, "the body is not UTF-8"))
}

fn check_operation(
    declarations: &Declarations,
    service: &str,
    operation: &str,
) -> Result<(), Refusal> {
    let application = declarations.application(service);
    let known = application
        .is_some_and(|application| application.service.operations.iter().any(|o| o == operation));
    if known {
        return Ok(());
    }
    Err(Refusal::new(ErrorKind::NotFound, "there is no such service or operation"))
}

fn key_of(request: &Request) -> Result<String, Refusal> {
    let invalid = |message: String| Refusal::new(ErrorKind::InvalidRequest, message);
    let key = request.header(KEY_HEADER).map(|value| value.as_str().trim().to_owned());
    let key = key.filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| invalid("the Idempotency-Key header is missing".to_owned()))?;
    if key.len() > MAX_KEY_BYTES {
        return Err(invalid(format!("the Idempotency-Key exceeds {MAX_KEY_BYTES} bytes")));
    }
    Ok(key)
}

/// A key counts per tenant, service and operation.
fn key_digest(service: &str, operation: &str, key: &str) -> Digest {
    Digest::of_parts(&[service.as_bytes(), operation.as_bytes(), key.as_bytes()])
}

async fn act(
    process: &Arc<NodeProcess>,
    guard: &GuardedStream,
    mut request: Request,
    service: &str,
    operation: &str,
) -> Result<Response, Refusal> {
    let declarations = process.declarations();
    let tenant = tenant_of(&declarations, &request)?.id;
    check_operation(&declarations, service, operation)?;
    let key = key_of(&request)?;
    let deadline = deadline_of(&declarations, &request)?;
    let body = read_body(&declarations, guard, &mut request).await?;
    if !body.is_empty() && serde_json::from_str::<serde::de::IgnoredAny>(&body).is_err() {
        return Err(Refusal::new(ErrorKind::InvalidRequest, "the body is not JSON"));
    }
    let call = ActionCall {
        tenant,
        key: key_digest(service, operation, &key),
        key_text: key.into(),
        service: service.into(),
        operation: operation.into(),
        body: body.into(),
        deadline,
    };
    let open = process.open_request();
    process.feed(NodeInput::Action(open.id, Box::new(call)));
    match next_event(&open).await {
        Event::Action { result, replayed } => Ok(action_response(&result, replayed)),
        other => Err(refusal_of(other)),
    }
}

fn action_response(result: &ActionResult, replayed: bool) -> Response {
    let mut response = json_response(result.status, result.body.clone());
    if replayed {
        response.insert_header(REPLAYED_HEADER, "true");
    }
    response
}

async fn look_up(
    process: &Arc<NodeProcess>,
    request: Request,
    service: &str,
    operation: &str,
) -> Result<Response, Refusal> {
    let declarations = process.declarations();
    let tenant = tenant_of(&declarations, &request)?.id;
    check_operation(&declarations, service, operation)?;
    let key = ActionKey { tenant, key: key_digest(service, operation, &key_of(&request)?) };
    let open = process.open_request();
    process.feed(NodeInput::Lookup(open.id, key));
    let event = crate::frames::within(declarations.limits.receive_timeout, async {
        Ok(next_event(&open).await)
    });
    match event.await {
        Ok(Event::Lookup(outcome)) => lookup_response(outcome),
        Ok(other) => Err(refusal_of(other)),
        Err(_) => {
            Err(Refusal::new(ErrorKind::LedgerUnavailable, "the control group did not answer"))
        }
    }
}

fn lookup_response(outcome: LookupOutcome) -> Result<Response, Refusal> {
    let kind = match outcome {
        LookupOutcome::Finished(result) => return Ok(action_response(&result, true)),
        LookupOutcome::Absent => ErrorKind::NotFound,
        LookupOutcome::InProgress => ErrorKind::InProgress,
        LookupOutcome::Unknown => ErrorKind::OutcomeUnknown,
        LookupOutcome::Expired => ErrorKind::ResultExpired,
    };
    Err(Refusal::new(kind, kind.meaning()))
}

/// The next event of a request; a core that drops a request without an answer is at fault.
pub(crate) async fn next_event(open: &OpenRequest) -> Event {
    open.events.recv().await.unwrap_or_else(|_| {
        Event::Refuse(Refusal::new(ErrorKind::Internal, "the request was dropped"))
    })
}

pub(crate) fn refusal_of(event: Event) -> Refusal {
    match event {
        Event::Refuse(refusal) => refusal,
        _ => Refusal::new(ErrorKind::Internal, "an answer of another kind came")
            .with_run(RunState::Unknown),
    }
}

/// Body of an error answer, in the form that OpenAI-style clients read, with the run state.
pub fn error_body(refusal: &Refusal) -> String {
    serde_json::json!({
        "error": {
            "message": refusal.message,
            "type": refusal.kind.name(),
            "code": refusal.kind.name(),
            "run": refusal.run.as_str(),
        }
    })
    .to_string()
}

/// Answer for a refusal.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let mut response = json_response(refusal.kind.status(), error_body(refusal));
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header("retry-after", seconds.to_string());
        response.insert_header("retry-after-ms", retry_after.as_millis().to_string());
    }
    response
}

pub(crate) fn json_response(status: u16, body: String) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(Body::from_string(body));
    response.set_content_type(http_types::mime::JSON);
    response
}

fn text_response(text: impl Into<String>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_string(text.into()));
    response
}
