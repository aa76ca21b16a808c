//! Bytes of messages that this process sends.

use super::head::{Headers, Status};
use std::io::Write;

/// Bytes of a request with a body of known length.
pub fn request_bytes(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + body.len());
    let _ = write!(bytes, "{method} {target} HTTP/1.1\r\n");
    push_fields(&mut bytes, headers);
    if !body.is_empty() || !matches!(method, "GET" | "HEAD" | "DELETE") {
        let _ = write!(bytes, "Content-Length: {}\r\n", body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes of an answer's head; the fields must give the framing.
pub fn answer_head(status: Status, reason: &str, headers: &Headers) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    let _ = write!(bytes, "HTTP/1.1 {status} {reason}\r\n");
    push_fields(&mut bytes, headers);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Bytes of a whole short answer.
pub fn simple_answer(
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
    keeps_alive: bool,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 + body.len());
    let _ = write!(bytes, "HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        let _ = write!(bytes, "{name}: {value}\r\n");
    }
    if !keeps_alive {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    let _ = write!(bytes, "Content-Length: {}\r\n\r\n", body.len());
    bytes.extend_from_slice(body);
    bytes
}

/// One chunk of a chunked body; must not be empty.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = Vec::with_capacity(bytes.len() + 16);
    let _ = write!(chunk, "{:x}\r\n", bytes.len());
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn push_fields(bytes: &mut Vec<u8>, headers: &Headers) {
    for (name, value) in &headers.0 {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
