//! Encodes responses to clients.

use super::dialect::HttpResponse;
use crate::http1::{BodyDelivery, Headers, RequestHead, ResponseHead, answer_head, simple_answer};

/// Hop-by-hop headers (RFC 9110, 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
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

/// Headers without the hop-by-hop ones, `Content-Length` and `Expect`.
pub(super) fn end_to_end_headers(headers: &Headers) -> Vec<(String, Vec<u8>)> {
    let listed: Vec<String> = headers
        .all("connection")
        .filter_map(|value| std::str::from_utf8(value).ok())
        .flat_map(|text| text.split(','))
        .map(|word| word.trim().to_ascii_lowercase())
        .collect();
    let is_end_to_end = |name: &str| {
        let lower = name.to_ascii_lowercase();
        let is_hop_by_hop = CONNECTION_HEADERS.contains(&lower.as_str())
            || matches!(lower.as_str(), "content-length" | "expect");
        !is_hop_by_hop && !listed.contains(&lower)
    };
    headers.0.iter().filter(|(name, _)| is_end_to_end(name)).cloned().collect()
}

/// Head of a response that forwards a replica's.
pub(super) fn forwarded_head(
    head: &ResponseHead,
    delivery: BodyDelivery,
    keeps_alive: bool,
) -> Vec<u8> {
    let mut headers = end_to_end_headers(&head.headers);
    let mut push = |name: &str, value: String| headers.push((name.to_owned(), value.into_bytes()));
    match delivery {
        BodyDelivery::Length(length) => push("Content-Length", length.to_string()),
        BodyDelivery::Chunked => push("Transfer-Encoding", "chunked".to_owned()),
        BodyDelivery::UntilClose => {}
    }
    if !keeps_alive {
        push("Connection", "close".to_owned());
    }
    answer_head(head.status, &head.reason, &Headers(headers))
}

/// Encodes a response of this process.
pub(super) fn response_bytes(response: &HttpResponse, keeps_alive: bool) -> Vec<u8> {
    let mut headers: Vec<(&str, String)> =
        response.headers.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    if let Some(content_type) = response.content_type {
        headers.push(("Content-Type", content_type.to_owned()));
    }
    simple_answer(response.status, &headers, &response.body, keeps_alive)
}

/// Encodes a response of this process to a request; without the body for `HEAD`.
pub(super) fn response_to(
    response: &HttpResponse,
    head: &RequestHead,
    keeps_alive: bool,
) -> Vec<u8> {
    let mut bytes = response_bytes(response, keeps_alive);
    if head.method == "HEAD" {
        bytes.truncate(bytes.len() - response.body.len());
    }
    bytes
}
