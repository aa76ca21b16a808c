//! Attempts at engines and calls of applications over HTTP.
//!
//! Engines speak the OpenAI-style protocol with `stream_options.continuous_usage_stats` and
//! `cache_salt` as vLLM publishes them. Two headers of an answer tell `engine-incarnation` and
//! `engine-load`; a body field `position` in chunks numbers tokens.

use crate::http_pool::{HttpPool, connect};
use crate::http1::{
    BodyReader, Framing, Headers, ResponseHead, Wire, exchange, read_answer_head, request_bytes,
    response_framing, retry_after,
};
use crate::sse::{EngineChunk, Line, parse_line};
use async_net::TcpStream;
use eyre::{Result, bail, eyre};
use http_types::{StatusCode, Url};
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
const JSON: &str = "application/json";
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

fn load_of(head: &ResponseHead) -> Option<LoadReport> {
    head.headers.get(LOAD_HEADER).and_then(decode_load)
}

fn incarnation_of(head: &ResponseHead) -> Incarnation {
    let text = head.headers.get(INCARNATION_HEADER);
    // An engine that names no incarnation is taken as never restarted: its own count of cached
    // tokens still settles what was found.
    Incarnation(text.map_or(0, |text| Digest::of(text.as_bytes()).prefix()))
}

/// Bytes of a request with a JSON body; `None` if the path makes no URL.
fn post(
    address: SocketAddr,
    path: &str,
    via: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> Option<Vec<u8>> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let (host, via) = (address.to_string(), format!("1.1 {via}"));
    // RFC 9110, 7.6.3: `Via` names the intermediary.
    let own = [("host", host.as_str()), ("content-type", JSON), ("via", via.as_str())];
    let headers = own.iter().chain(fields);
    let headers = headers.map(|(name, value)| ((*name).to_owned(), value.as_bytes().to_vec()));
    Some(request_bytes("POST", url.path(), &Headers(headers.collect()), body.as_bytes()))
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
    let failed = |failure| feed(NodeInput::Failed(attempt, failure));
    let Ok(stream) = pool.take(address).await else {
        return failed(AttemptFailure::NotConnected);
    };
    let path = dispatch.chat.endpoint.path();
    let Some(request) = post(address, path, via, &[], &request_body(&dispatch)) else {
        return failed(AttemptFailure::NotConnected);
    };
    let mut wire = Wire::new(stream);
    let (head, framing) = match send(&mut wire, &request).await {
        Ok(begun) => begun,
        Err(error) => {
            log_lost(address, &error);
            return failed(AttemptFailure::Lost);
        }
    };
    if let Some(failure) = failure_of(&head) {
        return failed(failure);
    }
    feed(NodeInput::Accepted { attempt, incarnation: incarnation_of(&head), load: load_of(&head) });
    match relay(attempt, &mut wire, &head, framing, &feed).await {
        Ok(true) => pool.put(address, wire.writer()),
        Ok(false) => {}
        Err(error) => {
            log_lost(address, &error);
            failed(AttemptFailure::Lost);
        }
    }
}

/// Sends a request and reads the head of the answer.
async fn send(wire: &mut Wire, request: &[u8]) -> Result<(ResponseHead, Framing)> {
    wire.write_all(request).await?;
    let head = read_answer_head(wire).await?;
    let framing = response_framing(&head, "POST")?;
    Ok((head, framing))
}

fn log_lost(address: SocketAddr, error: &eyre::Report) {
    log::debug!("node: event=answer_lost address={address} problem=\"{error:#}\"");
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

fn failure_of(head: &ResponseHead) -> Option<AttemptFailure> {
    let is_leaving = head.headers.get(STATE_HEADER) == Some("leaving");
    let cause = match head.status.code() {
        200 => return None,
        503 if is_leaving => RefusalCause::Leaving,
        429 | 503 => rest_of(head).map_or(RefusalCause::Busy, RefusalCause::Resting),
        409 => RefusalCause::OtherWeights,
        400..=499 => RefusalCause::Invalid,
        _ => return Some(AttemptFailure::Lost),
    };
    Some(AttemptFailure::Refused(cause))
}

/// The longest time for which the engine wants nothing, where it names one that can be read.
fn rest_of(head: &ResponseHead) -> Option<Duration> {
    let now = SystemTime::now();
    head.headers.all("retry-after").filter_map(|value| retry_after(value, now)).max()
}

/// Feeds an answer's chunks. Returns whether the connection can be used again.
///
/// # Errors
/// When the answer broke off or can't be understood.
async fn relay(
    attempt: AttemptId,
    wire: &mut Wire,
    head: &ResponseHead,
    framing: Framing,
    feed: &impl Fn(NodeInput),
) -> Result<bool> {
    let mut answer = Answer { attempt, position: 0, reason: None, usage: Usage::default() };
    let mut reader = BodyReader::new(framing);
    let mut unread: Vec<u8> = Vec::new();
    loop {
        let bytes = reader.next(wire).await?;
        let bytes = bytes.ok_or_else(|| eyre!("the answer ended without its end mark"))?;
        let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        unread.extend_from_slice(&bytes[..whole]);
        if whole > 0 && answer.take_lines(&unread, feed)? {
            let reason = answer.reason.ok_or_else(|| eyre!("no reason for the end"))?;
            // Reads the end of the body first: the connection is clean then.
            let is_whole = reader.next(wire).await?.is_none();
            let (usage, load) = (answer.usage, load_of(head));
            feed(NodeInput::Finished { attempt, reason, usage, load });
            let is_clean = wire.buffered().is_empty() && !wire.has_ended() && !head.closes();
            return Ok(is_whole && is_clean);
        }
        if whole > 0 {
            unread.clear();
        }
        unread.extend_from_slice(&bytes[whole..]);
        if unread.len() > MAX_LINE {
            bail!("a line of the stream has more than {MAX_LINE} bytes");
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
    /// Takes whole lines; returns whether the end mark was among them.
    fn take_lines(&mut self, lines: &[u8], feed: &impl Fn(NodeInput)) -> Result<bool> {
        for line in std::str::from_utf8(lines)?.lines() {
            if self.take_line(line, feed)? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Takes a line; returns whether it is the end mark.
    fn take_line(&mut self, line: &str, feed: &impl Fn(NodeInput)) -> Result<bool> {
        match parse_line(line) {
            Line::Done => return Ok(true),
            Line::Comment => feed(NodeInput::Waiting(self.attempt)),
            Line::Other => {}
            Line::Data(data) => {
                let chunk = serde_json::from_str(data)?;
                self.take_chunk(&chunk, feed);
            }
        }
        Ok(false)
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
    let fields = [("idempotency-key", call.key_text.as_ref()), ("connection", "close")];
    let Some(request) = post(address, &path, via, &fields, call.body.as_ref()) else {
        return failed(ActionFailure::NotConnected);
    };
    match send_call(stream, &request).await {
        Ok(Some(result)) => feed(NodeInput::ActionAnswered(attempt, result)),
        Ok(None) => failed(ActionFailure::NotAccepted),
        Err(error) => {
            log_lost(address, &error);
            failed(ActionFailure::Lost);
        }
    }
}

/// Sends a call and reads its result; `None` if the application did not accept it.
async fn send_call(stream: TcpStream, request: &[u8]) -> Result<Option<ActionResult>> {
    let answer = exchange(&mut Wire::new(stream), "POST", request, MAX_ACTION_ANSWER).await?;
    let status = answer.head.status.code();
    if status == 503 && answer.head.headers.get(STATE_HEADER).is_some() {
        return Ok(None);
    }
    if !answer.is_delimited() {
        bail!(
            "the answer has no length, so that its end can't be told from that of the application"
        );
    }
    // The library of the callers' side has no other ones.
    if StatusCode::try_from(status).is_err() {
        bail!("callers can't be given status {status}");
    }
    Ok(Some(ActionResult { status, body: String::from_utf8(answer.body)? }))
}
