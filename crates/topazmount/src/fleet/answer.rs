//! Answers to clients of a gateway.

use super::dialect::HttpResponse;
use crate::http1::{Headers, RequestHead, ResponseHead, answer_head, simple_answer};

/// Fields that concern one connection only (RFC 9110, 7.6.1).
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How an answer's body is delimited towards the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// A body of known length.
    Whole(usize),
    /// Chunks.
    Chunked,
    /// Until the connection closes; for clients of HTTP/1.0.
    UntilClose,
}

/// Fields without those that concern one connection only, and without the length.
pub(super) fn end_to_end(headers: &Headers) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = headers
        .all("connection")
        .filter_map(|value| std::str::from_utf8(value).ok())
        .flat_map(|text| text.split(','))
        .map(|word| word.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &str| {
        let lower = name.to_ascii_lowercase();
        let concerns_connection = CONNECTION_FIELDS.contains(&lower.as_str())
            || matches!(lower.as_str(), "content-length" | "expect");
        !concerns_connection && !named.contains(&lower)
    };
    headers.0.iter().filter(|(name, _)| is_kept(name)).cloned().collect()
}

/// Head of an answer that passes a replica's on.
pub(super) fn forwarded_head(
    head: &ResponseHead,
    delivery: Delivery,
    keeps_alive: bool,
) -> Vec<u8> {
    let mut fields = end_to_end(&head.headers);
    let mut push = |name: &str, value: String| fields.push((name.to_owned(), value.into_bytes()));
    match delivery {
        Delivery::Whole(length) => push("Content-Length", length.to_string()),
        Delivery::Chunked => push("Transfer-Encoding", "chunked".to_owned()),
        Delivery::UntilClose => {}
    }
    if !keeps_alive {
        push("Connection", "close".to_owned());
    }
    answer_head(head.status, &head.reason, &Headers(fields))
}

/// A whole answer of the process's own.
pub(super) fn answer_bytes(answer: &HttpResponse, keeps_alive: bool) -> Vec<u8> {
    let mut fields: Vec<(&str, String)> =
        answer.headers.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    if let Some(content_type) = answer.content_type {
        fields.push(("Content-Type", content_type.to_owned()));
    }
    simple_answer(answer.status, &fields, &answer.body, keeps_alive)
}

/// The same as an answer to a request, which may want no body.
pub(super) fn own_answer(answer: &HttpResponse, head: &RequestHead, keeps_alive: bool) -> Vec<u8> {
    let mut bytes = answer_bytes(answer, keeps_alive);
    if head.method == "HEAD" {
        bytes.truncate(bytes.len() - answer.body.len());
    }
    bytes
}
