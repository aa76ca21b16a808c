//! `/v1/chat/completions` and `/v1/completions`, plain and streamed.

use crate::api::{deadline_of, json_response, next_event, read_body, refusal_of, tenant_of};
use crate::http_guard::GuardedStream;
use crate::node_process::{Event, NodeProcess, OpenRequest};
use futures_lite::{AsyncBufRead, AsyncRead, AsyncWriteExt, FutureExt, Stream};
use http_types::{Body, Request, Response, StatusCode};
use serde_json::{Map, Value, json};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use topazmount_node::{FinishReason, NodeInput};
use topazmount_routing::block_hashes;
use topazmount_settings::{Declarations, Tenant};
use topazmount_types::{ChatRequest, Digest, Endpoint, ErrorKind, Priority, Refusal, Usage};

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

/// Checks a caller's body and turns it into a request.
fn parse(
    declarations: &Declarations,
    tenant: &Tenant,
    body: &str,
    endpoint: Endpoint,
) -> Result<(ChatRequest, bool), Refusal> {
    let value: Value = serde_json::from_str(body)
        .map_err(|error| invalid(format!("the body is not JSON: {error}")))?;
    let Value::Object(mut fields) = value else {
        return Err(invalid("the body must be a JSON object"));
    };
    let name = match fields.get("model") {
        Some(Value::String(name)) => name.clone(),
        Some(_) => return Err(invalid("model must be a string")),
        None => return Err(invalid("model is missing")),
    };
    let model = declarations
        .model(&name)
        .ok_or_else(|| Refusal::new(ErrorKind::NotFound, "there is no such model"))?;
    let prompt = prompt_text(&fields, endpoint)?;
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
    let limits = &declarations.limits;
    if prompt_tokens > limits.max_prompt_tokens {
        let message = format!("the prompt exceeds {} tokens", limits.max_prompt_tokens);
        return Err(Refusal::new(ErrorKind::TooLarge, message));
    }
    let max_tokens = max_tokens(&fields, limits.max_completion_tokens)?;
    let stream = boolean(&fields, "stream")?;
    let include_usage = include_usage(&fields)?;
    let priority = priority(&fields)?.unwrap_or(tenant.priority);
    let session = session(&fields)?;
    let block_bytes = declarations.block_tokens as usize * BYTES_PER_TOKEN;
    let blocks = block_hashes(tenant.id, model.id, model.weights, prompt.as_bytes(), block_bytes);
    prepare_for_engine(&mut fields, tenant, priority, max_tokens, model.weights.0);
    let request = ChatRequest {
        endpoint,
        tenant: tenant.id,
        model: model.id,
        weights: model.weights,
        priority,
        stream,
        prompt_tokens,
        max_tokens,
        blocks: blocks.into(),
        session,
        body: Value::Object(fields).to_string().into(),
        deadline: limits.request_deadline,
    };
    Ok((request, include_usage))
}

/// The prompt as one text: what engines with equal text may share.
pub fn prompt_text(fields: &Map<String, Value>, endpoint: Endpoint) -> Result<String, Refusal> {
    if endpoint == Endpoint::Text {
        return match fields.get("prompt") {
            Some(Value::String(prompt)) if !prompt.is_empty() => Ok(prompt.clone()),
            Some(_) => Err(invalid("prompt must be a non-empty string")),
            None => Err(invalid("prompt is missing")),
        };
    }
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        Some(_) => return Err(invalid("messages must be a non-empty list")),
        None => return Err(invalid("messages is missing")),
    };
    let mut prompt = String::new();
    for (position, message) in messages.iter().enumerate() {
        let wrong = |what: &str| invalid(format!("messages[{position}].{what}"));
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| wrong("role must be a string"))?;
        prompt.push_str(role);
        prompt.push('\n');
        match message.get("content") {
            Some(Value::String(content)) => prompt.push_str(content),
            Some(Value::Null) | None => {}
            // Parts of other kinds count by their text form.
            Some(Value::Array(parts)) => {
                parts.iter().for_each(|part| prompt.push_str(&part_text(part)))
            }
            Some(_) => return Err(wrong("content must be a string or a list of parts")),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

fn part_text(part: &Value) -> String {
    let text = part.get("text").and_then(Value::as_str);
    text.map_or_else(|| part.to_string(), str::to_owned)
}

fn max_tokens(fields: &Map<String, Value>, most: u32) -> Result<u32, Refusal> {
    let given = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|name| fields.get(*name).filter(|value| !value.is_null()).map(|v| (name, v)));
    let Some((name, value)) = given else {
        return Ok(DEFAULT_MAX_TOKENS.min(most));
    };
    let number = value.as_u64().filter(|number| (1..=u64::from(most)).contains(number));
    number
        .map(|number| number as u32)
        .ok_or_else(|| invalid(format!("{name} must be a whole number from 1 to {most}")))
}

fn boolean(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(format!("{name} must be true or false"))),
    }
}

fn include_usage(fields: &Map<String, Value>) -> Result<bool, Refusal> {
    match fields.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => boolean(options, "include_usage"),
        Some(_) => Err(invalid("stream_options must be an object")),
    }
}

fn priority(fields: &Map<String, Value>) -> Result<Option<Priority>, Refusal> {
    let value = match fields.get("priority") {
        None | Some(Value::Null) => return Ok(None),
        Some(value) => value,
    };
    let found = Priority::ALL.into_iter().find(|priority| value == priority.as_str());
    let message = "priority must be \"interactive\", \"normal\" or \"batch\"";
    found.map(Some).ok_or_else(|| invalid(message))
}

/// Conversations are named by `prompt_cache_key`, or else by `user`.
fn session(fields: &Map<String, Value>) -> Result<u64, Refusal> {
    for name in ["prompt_cache_key", "user"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(Value::String(text)) => return Ok(Digest::of(text.as_bytes()).prefix() | 1),
            Some(_) => return Err(invalid(format!("{name} must be a string"))),
        }
    }
    Ok(0)
}

/// Sets the fields that engines get from the node and not from callers.
fn prepare_for_engine(
    fields: &mut Map<String, Value>,
    tenant: &Tenant,
    priority: Priority,
    max_tokens: u32,
    weights: u32,
) {
    fields.remove("resume");
    fields.remove("max_completion_tokens");
    fields.insert("stream".to_owned(), json!(true));
    let options = json!({ "include_usage": true, "continuous_usage_stats": true });
    fields.insert("stream_options".to_owned(), options);
    fields.insert("max_tokens".to_owned(), json!(max_tokens));
    fields.insert("priority".to_owned(), json!(priority as u32));
    fields.insert("cache_salt".to_owned(), json!(tenant.id.to_string()));
    fields.insert("weights_version".to_owned(), json!(weights));
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

type Watcher = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A streamed answer as the HTTP library reads it.
struct EventBody {
    events: Pin<Box<async_channel::Receiver<Event>>>,
    /// Dropped with the body: the core learns that the caller is gone, unless all was said.
    _open: Box<OpenRequest>,
    watcher: Watcher,
    endpoint: Endpoint,
    include_usage: bool,
    head: String,
    buffer: Vec<u8>,
    read: usize,
    is_done: bool,
}

impl EventBody {
    fn new(open: OpenRequest, guard: GuardedStream, frame: &Frame, first: Event) -> Self {
        let mut body = EventBody {
            events: Box::pin(open.events.clone()),
            _open: Box::new(open),
            watcher: Box::pin(caller_gone(guard, None)),
            endpoint: frame.endpoint,
            include_usage: frame.include_usage,
            head: frame.chunk_head(),
            buffer: Vec::new(),
            read: 0,
            is_done: false,
        };
        if frame.endpoint == Endpoint::Chat {
            body.write_choice("\"delta\":{\"role\":\"assistant\",\"content\":\"\"}", "null");
        }
        body.write_event(first);
        body
    }

    fn write_event(&mut self, event: Event) {
        match event {
            Event::Text(text) => self.write_text(&text),
            Event::Finish { reason, usage, .. } => self.write_finish(reason, usage),
            other => {
                let body = crate::api::error_body(&refusal_of(other));
                self.buffer.extend_from_slice(format!("data: {body}\n\n").as_bytes());
                self.is_done = true;
            }
        }
    }

    fn write_text(&mut self, text: &str) {
        let text = serde_json::to_string(text).unwrap_or_default();
        match self.endpoint {
            Endpoint::Chat => {
                self.write_choice(&format!("\"delta\":{{\"content\":{text}}}"), "null");
            }
            Endpoint::Text => self.write_choice(&format!("\"text\":{text}"), "null"),
        }
    }

    fn write_finish(&mut self, reason: FinishReason, usage: Usage) {
        let reason = format!("\"{}\"", reason.as_str());
        match self.endpoint {
            Endpoint::Chat => self.write_choice("\"delta\":{}", &reason),
            Endpoint::Text => self.write_choice("\"text\":\"\"", &reason),
        }
        if self.include_usage {
            let tail = format!(",\"choices\":[],\"usage\":{}}}\n\n", usage_value(usage));
            self.buffer.extend_from_slice(self.head.as_bytes());
            self.buffer.extend_from_slice(tail.as_bytes());
        }
        self.buffer.extend_from_slice(b"data: [DONE]\n\n");
        self.is_done = true;
    }

    fn write_choice(&mut self, content: &str, reason: &str) {
        self.buffer.extend_from_slice(self.head.as_bytes());
        for part in
            [",\"choices\":[{\"index\":0,", content, ",\"finish_reason\":", reason, "}]}\n\n"]
        {
            self.buffer.extend_from_slice(part.as_bytes());
        }
    }
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.read == this.buffer.len() {
            this.buffer.clear();
            this.read = 0;
            // All that is there goes out in one piece.
            while !this.is_done {
                match this.events.as_mut().poll_next(context) {
                    Poll::Ready(Some(event)) => this.write_event(event),
                    Poll::Ready(None) => {
                        let lost = Refusal::new(ErrorKind::Internal, "the answer was lost");
                        this.write_event(Event::Refuse(lost));
                    }
                    Poll::Pending => break,
                }
            }
            if this.buffer.is_empty() && !this.is_done {
                if this.watcher.poll(context).is_ready() {
                    let gone = io::Error::new(io::ErrorKind::ConnectionReset, "caller is gone");
                    return Poll::Ready(Err(gone));
                }
                return Poll::Pending;
            }
        }
        Poll::Ready(Ok(&this.buffer[this.read..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().read += amount;
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(context) {
            Poll::Ready(Ok(available)) => available,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        };
        let count = available.len().min(output.len());
        output[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
