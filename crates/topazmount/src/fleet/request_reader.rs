//! Reads one request from a connection, within limits; what can't be read has one list of refusals.

use super::http_service::within;
use crate::http1::{BodyError, BodyReader, HeadError, RequestHead, Wire, request_framing};
use std::time::{Duration, Instant};
use topazmount_types::ErrorKind;

/// Bounds on what a peer may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadLimits {
    /// Largest head in bytes.
    pub(super) max_head: usize,
    /// Largest body in bytes.
    pub(super) max_body: usize,
    /// Longest rest before the first byte of a request.
    pub(super) rest: Duration,
    /// Longest time for a head, from its first byte.
    pub(super) head: Duration,
    /// Longest time for a body.
    pub(super) body: Duration,
}

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// The peer closed, rested too long or broke off.
    Gone,
    /// It is answered with this kind, and the connection closed.
    Refused(ErrorKind),
}

/// Reads a head. The limits are asked for anew while the connection rests: they may change.
pub(super) async fn read_head(
    wire: &mut Wire,
    limits: impl Fn() -> ReadLimits,
) -> Result<RequestHead, Unread> {
    let mut first_byte: Option<Instant> = None;
    loop {
        let limits = limits();
        match RequestHead::parse(wire.buffered()) {
            Ok(Some((_, length))) if length > limits.max_head => {
                return Err(Unread::Refused(ErrorKind::HeaderTooLarge));
            }
            Ok(Some((head, length))) => {
                wire.consume(length);
                return Ok(head);
            }
            Ok(None) if wire.buffered().len() > limits.max_head => {
                return Err(Unread::Refused(ErrorKind::HeaderTooLarge));
            }
            Ok(None) => {}
            Err(HeadError::Malformed | HeadError::Framing) => {
                return Err(Unread::Refused(ErrorKind::InvalidRequest));
            }
        }
        if !wire.buffered().is_empty() {
            first_byte = first_byte.or_else(|| Some(Instant::now()));
        }
        let limit = match first_byte {
            Some(began) => limits.head.saturating_sub(began.elapsed()),
            None => limits.rest,
        };
        match within(limit, wire.fill()).await {
            Some(Ok(read)) if read > 0 => {}
            None if first_byte.is_some() => {
                return Err(Unread::Refused(ErrorKind::CallerTooSlow));
            }
            _ => return Err(Unread::Gone),
        }
    }
}

/// Reads the body that follows a head.
pub(super) async fn read_body(
    wire: &mut Wire,
    head: &RequestHead,
    limits: &ReadLimits,
) -> Result<Vec<u8>, Unread> {
    let framing = request_framing(head).map_err(|_| Unread::Refused(ErrorKind::InvalidRequest))?;
    if head.headers.has_word("expect", "100-continue") {
        let _ = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let mut reader = BodyReader::new(framing);
    match within(limits.body, reader.read_all(wire, limits.max_body)).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(BodyError::TooLarge)) => Err(Unread::Refused(ErrorKind::TooLarge)),
        Some(Err(BodyError::Malformed)) => Err(Unread::Refused(ErrorKind::InvalidRequest)),
        Some(Err(BodyError::Truncated)) => Err(Unread::Gone),
        None => Err(Unread::Refused(ErrorKind::CallerTooSlow)),
    }
}
