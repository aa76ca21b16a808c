//! A caller over HTTP, for load, fleets and tests.

use async_net::TcpStream;
use eyre::{Result, eyre};
use futures_lite::{AsyncBufReadExt, StreamExt};
use http_types::{Method, Request, Response, Url};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What came back of a streamed completion.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Text of all chunks.
    pub text: String,
    /// Number of chunks with text.
    pub chunks: u32,
    /// Why it ended.
    pub finish_reason: Option<String>,
    /// Whether the end mark came.
    pub is_done: bool,
    /// Error event or error body.
    pub error: Option<Value>,
    /// Token counts, if they came.
    pub usage: Option<Value>,
    /// Time to the first text.
    pub first_text: Option<Duration>,
}

/// A plain answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Value,
}

impl PlainAnswer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

fn request(address: SocketAddr, method: Method, path: &str) -> Result<Request> {
    Ok(Request::new(method, Url::parse(&format!("http://{address}{path}"))?))
}

async fn send(address: SocketAddr, request: Request) -> Result<Response> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    async_h1::connect(stream, request).await.map_err(|error| eyre!("{error}"))
}

/// Sends a request with a JSON body and reads the whole answer.
///
/// # Errors
/// When the connection fails.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Value>,
) -> Result<PlainAnswer> {
    let mut request = request(address, method, path)?;
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    if let Some(body) = body {
        request.set_body(body.to_string());
        request.set_content_type(http_types::mime::JSON);
    }
    let mut response = send(address, request).await?;
    let text = response.body_string().await.map_err(|error| eyre!("{error}"))?;
    let headers = response
        .iter()
        .map(|(name, values)| (name.as_str().to_owned(), values.last().as_str().to_owned()))
        .collect();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Ok(PlainAnswer { status: u16::from(response.status()), headers, body })
}

/// Sends a streamed chat request and reads it to its end.
///
/// # Errors
/// When the connection fails before the answer begins.
pub async fn chat(address: SocketAddr, api_key: &str, body: &Value) -> Result<StreamedAnswer> {
    chat_with(address, api_key, body, |_| true).await
}

/// As [`chat`]; `go_on` sees the answer after each chunk and may end the reading.
///
/// # Errors
/// When the connection fails before the answer begins.
pub async fn chat_with(
    address: SocketAddr,
    api_key: &str,
    body: &Value,
    mut go_on: impl FnMut(&StreamedAnswer) -> bool,
) -> Result<StreamedAnswer> {
    let started = Instant::now();
    let mut request = request(address, Method::Post, "/v1/chat/completions")?;
    request.insert_header("authorization", format!("Bearer {api_key}"));
    request.set_body(body.to_string());
    request.set_content_type(http_types::mime::JSON);
    let response = send(address, request).await?;
    let mut answer =
        StreamedAnswer { status: u16::from(response.status()), ..StreamedAnswer::default() };
    if answer.status != 200 {
        let mut response = response;
        let text = response.body_string().await.unwrap_or_default();
        answer.error = serde_json::from_str(&text).ok();
        return Ok(answer);
    }
    let mut lines = response.lines();
    while let Some(Ok(line)) = lines.next().await {
        answer.take_line(&line, started);
        if answer.is_done || !go_on(&answer) {
            break;
        }
    }
    Ok(answer)
}

impl StreamedAnswer {
    fn take_line(&mut self, line: &str, started: Instant) {
        let Some(data) = line.strip_prefix("data: ") else { return };
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else { return };
        if value.get("error").is_some() {
            self.error = Some(value);
            return;
        }
        if let Some(usage) = value.get("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage.clone());
        }
        let choice = &value["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
        let text = choice["delta"]["content"].as_str().unwrap_or_default();
        if !text.is_empty() {
            self.first_text.get_or_insert_with(|| started.elapsed());
            self.text.push_str(text);
            self.chunks += 1;
        }
    }
}
