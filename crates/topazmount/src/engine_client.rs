//! Attempts at engines and calls of applications over HTTP.
//!
//! Engines speak the OpenAI-style protocol with `stream_options.continuous_usage_stats` and
//! `cache_salt` as vLLM publishes them. Two headers of an answer tell `engine-incarnation` and
//! `engine-load`; a body field `position` in chunks numbers tokens.

use crate::http_pool::{HttpPool, connect};
use crate::http1::retry_after;
use crate::sse::{EngineChunk, Line, parse_line};
use async_net::TcpStream;
use futures_lite::AsyncBufReadExt;
use http_types::{Body, Method, Request, Response, Url};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use topazmount_control::ActionResult;
use topazmount_node::{
    ActionFailure, AttemptFailure, Dispatch, FinishReason, NodeInput, RefusalCause,
};
use topazmount_routing::LoadReport;
use topazmount_types::{ActionCall, AttemptId, Digest, Incarnation, Usage};

/// Header that names the engine's run.
pub const INCARNATION_HEADER: &str = "engine-incarnation";
/// Header with the engine's load: `running,waiting,waiting_tokens`.
pub const LOAD_HEADER: &str = "engine-load";
/// Header by which a back end says that it is leaving, with the value `leaving`.
pub const STATE_HEADER: &str = "engine-state";
/// Longest line of an event stream, in bytes.
const MAX_LINE: usize = 1 << 20;
/// Largest answer of an application, in bytes.
const MAX_ACTION_ANSWER: usize = 1 << 20;

/// Writes a load report as header text.
pub fn encode_load(load: LoadReport) -> String {
    format!("{},{},{}", load.running, load.waiting, load.waiting_tokens)
}

fn decode_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        waiting_tokens: numbers.next()??,
    })
}

fn load_of(response: &Response) -> Option<LoadReport> {
    response.header(LOAD_HEADER).and_then(|value| decode_load(value.as_str()))
}

fn incarnation_of(response: &Response) -> Incarnation {
    let text = response.header(INCARNATION_HEADER).map(|value| value.as_str().to_owned());
    // An engine that names no incarnation is taken as never restarted: its own count of cached
    // tokens still settles what was found.
    Incarnation(text.map_or(0, |text| Digest::of(text.as_bytes()).prefix()))
}

fn post(address: SocketAddr, path: &str, via: &str, body: impl Into<Body>) -> Option<Request> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    request.set_content_type(http_types::mime::JSON);
    // RFC 9110, 7.6.3: names the intermediary.
    request.insert_header("via", format!("1.1 {via}"));
    Some(request)
}

/// Makes one attempt and feeds what comes of it to `feed`.
pub async fn attempt(
    pool: &HttpPool,
    address: SocketAddr,
    via: &str,
    dispatch: Dispatch,
    feed: impl Fn(NodeInput),
) {
    let attempt = dispatch.attempt;
    let Ok(stream) = pool.take(address).await else {
        feed(NodeInput::Failed(attempt, AttemptFailure::NotConnected));
        return;
    };
    let Some(request) = post(address, dispatch.chat.endpoint.path(), via, request_body(&dispatch))
    else {
        feed(NodeInput::Failed(attempt, AttemptFailure::NotConnected));
        return;
    };
    let Ok(response) = async_h1::connect(stream.clone(), request).await else {
        feed(NodeInput::Failed(attempt, AttemptFailure::Lost));
        return;
    };
    if let Some(failure) = failure_of(&response) {
        feed(NodeInput::Failed(attempt, failure));
        return;
    }
    feed(NodeInput::Accepted {
        attempt,
        incarnation: incarnation_of(&response),
        load: load_of(&response),
    });
    match relay(attempt, response, &feed).await {
        Some(()) => pool.put(address, stream),
        None => feed(NodeInput::Failed(attempt, AttemptFailure::Lost)),
    }
}

/// The caller's body with the place to resume at, when there is one.
fn request_body(dispatch: &Dispatch) -> String {
    let body = dispatch.chat.body.as_ref();
    let Some(resume) = &dispatch.resume else {
        return body.to_owned();
    };
    let open = body.strip_suffix('}').unwrap_or(body);
    let text = serde_json::to_string(&resume.text).unwrap_or_default();
    let position = resume.position;
    format!("{open},\"resume\":{{\"position\":{position},\"text\":{text}}}}}")
}

fn failure_of(response: &Response) -> Option<AttemptFailure> {
    let is_leaving = response.header(STATE_HEADER).is_some_and(|value| value == "leaving");
    let cause = match u16::from(response.status()) {
        200 => return None,
        503 if is_leaving => RefusalCause::Leaving,
        429 | 503 => rest_of(response).map_or(RefusalCause::Busy, RefusalCause::Resting),
        409 => RefusalCause::OtherWeights,
        400..=499 => RefusalCause::Invalid,
        _ => return Some(AttemptFailure::Lost),
    };
    Some(AttemptFailure::Refused(cause))
}

/// The longest time for which the engine wants nothing, where it names one that can be read.
fn rest_of(response: &Response) -> Option<Duration> {
    let now = SystemTime::now();
    let values = response.header("retry-after")?.iter();
    values.filter_map(|value| retry_after(value.as_str().as_bytes(), now)).max()
}

/// Feeds an answer's chunks; `None` when it broke off.
async fn relay(
    attempt: AttemptId,
    mut response: Response,
    feed: &impl Fn(NodeInput),
) -> Option<()> {
    let load = load_of(&response);
    let mut answer = Answer { attempt, position: 0, reason: None, usage: Usage::default() };
    let mut partial: Vec<u8> = Vec::new();
    loop {
        let bytes = response.fill_buf().await.ok()?;
        if bytes.is_empty() {
            return None;
        }
        let length = bytes.len();
        let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        partial.extend_from_slice(&bytes[..whole]);
        let rest = bytes[whole..].to_vec();
        response.consume(length);
        if whole > 0 {
            let text = std::str::from_utf8(&partial).ok()?;
            for line in text.lines() {
                if answer.take_line(line, feed)? {
                    let reason = answer.reason?;
                    let usage = answer.usage;
                    // Reads the end of the body first: the connection is clean then.
                    let rest = response.fill_buf().await.ok()?.len();
                    feed(NodeInput::Finished { attempt, reason, usage, load });
                    return (rest == 0).then_some(());
                }
            }
            partial.clear();
        }
        partial.extend_from_slice(&rest);
        if partial.len() > MAX_LINE {
            return None;
        }
    }
}

/// A streamed answer so far.
struct Answer {
    attempt: AttemptId,
    position: u32,
    reason: Option<FinishReason>,
    usage: Usage,
}

impl Answer {
    /// Takes a line; `Some(true)` after the end mark, `None` when it can't be understood.
    fn take_line(&mut self, line: &str, feed: &impl Fn(NodeInput)) -> Option<bool> {
        match parse_line(line) {
            Line::Done => return Some(true),
            Line::Comment => feed(NodeInput::Waiting(self.attempt)),
            Line::Other => {}
            Line::Data(data) => {
                let chunk = serde_json::from_str(data).ok()?;
                self.take_chunk(&chunk, feed);
            }
        }
        Some(false)
    }

    fn take_chunk(&mut self, chunk: &EngineChunk<'_>, feed: &impl Fn(NodeInput)) {
        let mut cached_tokens = None;
        if let Some(usage) = &chunk.usage {
            let cached = usage.prompt_tokens_details.map_or(0, |details| details.cached_tokens);
            cached_tokens = Some(cached);
            self.usage = Usage {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: cached,
                completion_tokens: usage.completion_tokens,
            };
        }
        let Some(choice) = chunk.choices.first() else {
            return;
        };
        self.reason = match choice.finish_reason.as_deref() {
            None => self.reason,
            Some("length") => Some(FinishReason::Length),
            Some(_) => Some(FinishReason::Stop),
        };
        let text = choice.delta.as_ref().and_then(|delta| delta.content.as_deref());
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return;
        };
        let position = chunk.position.unwrap_or(self.position);
        self.position = position + 1;
        feed(NodeInput::Tokens {
            attempt: self.attempt,
            position,
            count: 1,
            text: text.to_owned(),
            cached_tokens,
        });
    }
}

/// Calls an application once, on a new connection: one that was kept might break with the call
/// handed over.
pub async fn call_application(
    address: SocketAddr,
    via: &str,
    attempt: AttemptId,
    call: &ActionCall,
    feed: impl Fn(NodeInput),
) {
    let failed = |failure| feed(NodeInput::ActionFailed(attempt, failure));
    let Ok(stream) = connect(address).await else {
        return failed(ActionFailure::NotConnected);
    };
    let path = format!("/{}/{}", call.service, call.operation);
    let Some(mut request) = post(address, &path, via, call.body.as_ref()) else {
        return failed(ActionFailure::NotConnected);
    };
    request.insert_header("idempotency-key", call.key_text.as_ref());
    request.insert_header("connection", "close");
    match send_call(stream, request).await {
        Some(Ok(result)) => feed(NodeInput::ActionAnswered(attempt, result)),
        Some(Err(failure)) => failed(failure),
        None => failed(ActionFailure::Lost),
    }
}

async fn send_call(
    stream: TcpStream,
    request: Request,
) -> Option<Result<ActionResult, ActionFailure>> {
    let mut response = async_h1::connect(stream, request).await.ok()?;
    let status = u16::from(response.status());
    let is_refused = status == 503 && response.header(STATE_HEADER).is_some();
    if is_refused {
        return Some(Err(ActionFailure::NotAccepted));
    }
    if response.len().is_some_and(|length| length > MAX_ACTION_ANSWER) {
        return None;
    }
    let body = response.body_string().await.ok()?;
    Some(Ok(ActionResult { status, body }))
}
