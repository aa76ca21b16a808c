//! `/v1/chat/completions` and `/v1/completions`, plain and streamed.

mod event_body;
mod request;

pub use request::prompt_text;

use event_body::EventBody;
use request::parse;

use crate::api::{deadline_of, json_response, next_event, read_body, refusal_of, tenant_of};
use crate::http_guard::GuardedStream;
use crate::node_process::{Event, NodeProcess, OpenRequest};
use futures_lite::{AsyncWriteExt, FutureExt};
use http_types::{Body, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use topazmount_node::{FinishReason, NodeInput};
use topazmount_types::{Endpoint, ErrorKind, Refusal, Usage};

/// Bytes of prompt text that stand for one token where no tokenizer is at hand. Routing needs
/// equal prefixes to look equal, not exact counts; the engine's own count is what is reported.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens generated when the caller sets no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Pause between two probes of a caller that has closed its sending side.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Interim answer that a caller which is still there passes over (RFC 9110, 15.2).
const INTERIM_ANSWER: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// What answers repeat of the request.
#[derive(Clone, Debug)]
struct Frame {
    endpoint: Endpoint,
    id: String,
    created: u64,
    model: String,
    include_usage: bool,
}

/// Answers a completion request.
///
/// # Errors
/// The refusal, when nothing was streamed yet.
pub async fn complete(
    process: &Arc<NodeProcess>,
    guard: &GuardedStream,
    mut request: Request,
    endpoint: Endpoint,
) -> Result<Response, Refusal> {
    let declarations = process.declarations();
    let tenant = tenant_of(&declarations, &request)?;
    let deadline = deadline_of(&declarations, &request)?;
    let body = read_body(&declarations, guard, &mut request).await?;
    let (mut chat, include_usage) = parse(&declarations, tenant, &body, endpoint)?;
    chat.deadline = deadline;
    let stream = chat.stream;
    let model = declarations.models.iter().find(|model| model.id == chat.model);
    let open = process.open_request();
    let frame = Frame {
        endpoint,
        id: format!("cmpl-{}-{}", process.clock.now().0, open.id),
        created: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs()),
        model: model.map(|model| model.name.clone()).unwrap_or_default(),
        include_usage,
    };
    process.feed(NodeInput::Chat(open.id, Box::new(chat)));
    let first = event_while_present(&open, guard).await?;
    if stream {
        Ok(stream_response(open, guard, frame, first))
    } else {
        plain(&open, guard, &frame, first).await
    }
}

/// The next event, as long as the caller is there to hear it.
async fn event_while_present(open: &OpenRequest, guard: &GuardedStream) -> Result<Event, Refusal> {
    let event = async { Some(next_event(open).await) };
    let gone = async {
        caller_gone(guard.clone(), Some(INTERIM_ANSWER)).await;
        None
    };
    match event.or(gone).await {
        Some(Event::Refuse(refusal)) => Err(refusal),
        Some(event) => Ok(event),
        None => Err(Refusal::new(ErrorKind::Internal, "the caller went away")),
    }
}

/// Ends when the caller is known to be gone. A caller that only closed its sending side is still
/// there: it takes the probe, where there is one.
async fn caller_gone(guard: GuardedStream, probe: Option<&'static [u8]>) {
    let mut socket = guard.socket().clone();
    let mut byte = [0u8; 1];
    loop {
        match socket.peek(&mut byte).await {
            Ok(0) => {}
            // The next request is waiting already, so the caller is there.
            Ok(_) => return futures_lite::future::pending().await,
            Err(_) => return,
        }
        if let Some(probe) = probe
            && socket.write_all(probe).await.is_err()
        {
            return;
        }
        async_io::Timer::after(PROBE_INTERVAL).await;
    }
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::InvalidRequest, message)
}

fn usage_value(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

async fn plain(
    open: &OpenRequest,
    guard: &GuardedStream,
    frame: &Frame,
    first: Event,
) -> Result<Response, Refusal> {
    let mut event = first;
    loop {
        match event {
            // The whole text comes with the end.
            Event::Text(_) => event = event_while_present(open, guard).await?,
            Event::Finish { reason, usage, text } => {
                return Ok(json_response(200, frame.whole(reason, usage, &text)));
            }
            other => return Err(refusal_of(other)),
        }
    }
}

impl Frame {
    fn whole(&self, reason: FinishReason, usage: Usage, text: &str) -> String {
        let reason = reason.as_str();
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({
                    "index": 0, "finish_reason": reason,
                    "message": { "role": "assistant", "content": text },
                }),
            ),
            Endpoint::Text => {
                ("text_completion", json!({ "index": 0, "finish_reason": reason, "text": text }))
            }
        };
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": usage_value(usage),
        })
        .to_string()
    }

    /// What every chunk begins with, up to the choices.
    fn chunk_head(&self) -> String {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        let model = Value::from(self.model.as_str());
        format!(
            "data: {{\"id\":\"{}\",\"object\":\"{object}\",\"created\":{},\"model\":{model}",
            self.id, self.created
        )
    }
}

fn stream_response(
    open: OpenRequest,
    guard: &GuardedStream,
    frame: Frame,
    first: Event,
) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let body = EventBody::new(open, guard.clone(), &frame, first);
    response.set_body(Body::from_reader(body, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-cache");
    response
}
