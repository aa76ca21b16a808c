//! Reads one request from a connection, within limits.

use super::http_service::with_timeout;
use crate::http1::{BodyError, BodyReader, HeadError, RequestHead, Wire, request_framing};
use std::time::{Duration, Instant};
use topazmount_types::ErrorKind;

/// Limits on the size of a request and the time to read it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadLimits {
    /// Largest head.
    pub(super) max_head_bytes: usize,
    /// Largest body.
    pub(super) max_body_bytes: usize,
    /// Time limit for the first byte of a request.
    pub(super) idle_timeout: Duration,
    /// Time limit for the head, from its first byte.
    pub(super) head_timeout: Duration,
    /// Time limit for the body.
    pub(super) body_timeout: Duration,
}

/// Why a request could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The peer disconnected or was idle too long.
    Disconnected,
    /// The request is invalid; an error is sent and the connection closed.
    Rejected(Rejection),
}

/// An error for a request that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// Kind of the error.
    pub(super) kind: ErrorKind,
    /// What is wrong, for the log, with the values that decided it.
    pub(super) problem: String,
}

impl Rejection {
    fn error(kind: ErrorKind, problem: impl Into<String>) -> ReadError {
        ReadError::Rejected(Rejection { kind, problem: problem.into() })
    }

    fn large_head(read: usize, limit: usize) -> ReadError {
        let problem = format!("a head of {read} bytes or more, at most {limit}");
        Rejection::error(ErrorKind::HeaderTooLarge, problem)
    }
}

/// Reads a request head. The limits are read again while the connection is idle, since they may change.
pub(super) async fn read_head(
    wire: &mut Wire,
    limits: impl Fn() -> ReadLimits,
) -> Result<RequestHead, ReadError> {
    let mut first_byte: Option<Instant> = None;
    loop {
        let limits = limits();
        match RequestHead::parse(wire.buffered()) {
            Ok(Some((_, length))) if length > limits.max_head_bytes => {
                return Err(Rejection::large_head(length, limits.max_head_bytes));
            }
            Ok(Some((head, length))) => {
                wire.consume(length);
                return Ok(head);
            }
            Ok(None) if wire.buffered().len() > limits.max_head_bytes => {
                return Err(Rejection::large_head(wire.buffered().len(), limits.max_head_bytes));
            }
            Ok(None) => {}
            Err(
                error @ (HeadError::Malformed | HeadError::Framing | HeadError::SwitchesProtocol),
            ) => {
                return Err(Rejection::error(ErrorKind::InvalidRequest, error.to_string()));
            }
        }
        if !wire.buffered().is_empty() {
            first_byte = first_byte.or_else(|| Some(Instant::now()));
        }
        let limit = match first_byte {
            Some(started_at) => limits.head_timeout.saturating_sub(started_at.elapsed()),
            None => limits.idle_timeout,
        };
        match with_timeout(limit, wire.fill()).await {
            Some(Ok(read)) if read > 0 => {}
            None if first_byte.is_some() => {
                let problem = format!("no whole head within {:?}", limits.head_timeout);
                return Err(Rejection::error(ErrorKind::CallerTooSlow, problem));
            }
            _ => return Err(ReadError::Disconnected),
        }
    }
}

/// Reads the body that follows a request head.
pub(super) async fn read_body(
    wire: &mut Wire,
    head: &RequestHead,
    limits: &ReadLimits,
) -> Result<Vec<u8>, ReadError> {
    let framing = request_framing(head)
        .map_err(|error| Rejection::error(ErrorKind::InvalidRequest, error.to_string()))?;
    if head.headers.has_word("expect", "100-continue") {
        let _ = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let mut reader = BodyReader::new(framing);
    let body =
        with_timeout(limits.body_timeout, reader.read_all(wire, limits.max_body_bytes)).await;
    let Some(body) = body else {
        let problem = format!("no whole body within {:?}", limits.body_timeout);
        return Err(Rejection::error(ErrorKind::CallerTooSlow, problem));
    };
    body.map_err(|error| match error {
        BodyError::TooLarge => {
            let problem = format!("a body of over {} bytes", limits.max_body_bytes);
            Rejection::error(ErrorKind::TooLarge, problem)
        }
        BodyError::Malformed => Rejection::error(ErrorKind::InvalidRequest, error.to_string()),
        BodyError::Truncated => ReadError::Disconnected,
    })
}
