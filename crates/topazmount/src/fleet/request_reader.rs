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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The peer disconnected or was idle too long.
    Disconnected,
    /// The request is invalid; an error of this kind is sent and the connection closed.
    Rejected(ErrorKind),
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
                return Err(ReadError::Rejected(ErrorKind::HeaderTooLarge));
            }
            Ok(Some((head, length))) => {
                wire.consume(length);
                return Ok(head);
            }
            Ok(None) if wire.buffered().len() > limits.max_head_bytes => {
                return Err(ReadError::Rejected(ErrorKind::HeaderTooLarge));
            }
            Ok(None) => {}
            Err(HeadError::Malformed | HeadError::Framing | HeadError::SwitchesProtocol) => {
                return Err(ReadError::Rejected(ErrorKind::InvalidRequest));
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
                return Err(ReadError::Rejected(ErrorKind::CallerTooSlow));
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
    let framing =
        request_framing(head).map_err(|_| ReadError::Rejected(ErrorKind::InvalidRequest))?;
    if head.headers.has_word("expect", "100-continue") {
        let _ = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let mut reader = BodyReader::new(framing);
    match with_timeout(limits.body_timeout, reader.read_all(wire, limits.max_body_bytes)).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(BodyError::TooLarge)) => Err(ReadError::Rejected(ErrorKind::TooLarge)),
        Some(Err(BodyError::Malformed)) => Err(ReadError::Rejected(ErrorKind::InvalidRequest)),
        Some(Err(BodyError::Truncated)) => Err(ReadError::Disconnected),
        None => Err(ReadError::Rejected(ErrorKind::CallerTooSlow)),
    }
}
