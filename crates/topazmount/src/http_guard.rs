//! A stream between a socket and the HTTP library that keeps requests apart.
//!
//! `async-h1` reads ahead and drops what it has read beyond a request, sets no limit to a slow
//! sender, and closes without a word on a malformed head. The guard hands over exactly one head and
//! its body at a time, so that pipelined requests survive, refuses ambiguous framing before any
//! handler sees it, and remembers why, so that the shell can answer.

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use topazmount_types::ErrorKind;

/// Longest request head in bytes; the library's own bound.
const MAX_HEAD: usize = 8 * 1024;
/// Bytes read from the socket at a time.
const READ_SIZE: usize = 16 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In a head; the library has not been given any of it.
    Head,
    /// In a head that is whole and sound: these bytes of it are still to be handed over.
    HandingHead(usize),
    /// In a body of known length; bytes left.
    Body(usize),
    /// In a chunked body; the connection ends with it.
    Chunked,
}

struct State {
    buffer: Vec<u8>,
    place: Place,
    /// What follows the head that is being handed over.
    after_head: Place,
    is_closed: bool,
    violation: Option<(ErrorKind, &'static str)>,
    deadline: Option<async_io::Timer>,
}

/// A connection to a caller.
#[derive(Clone)]
pub struct GuardedStream {
    socket: TcpStream,
    receive_timeout: Duration,
    state: Arc<Mutex<State>>,
}

/// Framing of a request, as its head declares it.
fn body_of(head: &[u8]) -> Result<Place, &'static str> {
    let mut length: Option<usize> = None;
    let mut is_chunked = false;
    for line in head.split(|byte| *byte == b'\n').skip(1) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            continue;
        };
        let name = line[..colon].to_ascii_lowercase();
        if name != b"content-length" && name != b"transfer-encoding" {
            continue;
        }
        let value = std::str::from_utf8(&line[colon + 1..]).unwrap_or_default().trim();
        if name == b"transfer-encoding" {
            if is_chunked || !value.eq_ignore_ascii_case("chunked") {
                return Err("the transfer encoding is not supported");
            }
            is_chunked = true;
        } else {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let parsed = value.parse().ok().filter(|_| digits);
            let parsed = parsed.ok_or("the content length is not a number")?;
            if length.replace(parsed).is_some() {
                return Err("the content length is given twice");
            }
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => Err("a content length and a transfer encoding are both given"),
        (_, true) => Ok(Place::Chunked),
        (length, false) => Ok(Place::Body(length.unwrap_or(0))),
    }
}

impl GuardedStream {
    /// Guards a socket; each head and body must arrive within `receive_timeout` of its first byte.
    pub fn new(socket: TcpStream, receive_timeout: Duration) -> Self {
        let state = State {
            buffer: Vec::new(),
            place: Place::Head,
            after_head: Place::Head,
            is_closed: false,
            violation: None,
            deadline: None,
        };
        GuardedStream { socket, receive_timeout, state: Arc::new(Mutex::new(state)) }
    }

    /// Why the connection must be closed, if the caller broke the protocol.
    pub fn violation(&self) -> Option<(ErrorKind, &'static str)> {
        self.state.lock().unwrap().violation
    }

    /// Whether a further request may follow on this connection.
    pub fn may_continue(&self) -> bool {
        self.state.lock().unwrap().place != Place::Chunked
    }

    /// The socket.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }
}

impl State {
    /// Bytes at the front of the buffer that may be handed over now.
    fn available(&mut self) -> Result<usize, (ErrorKind, &'static str)> {
        if self.place == Place::Body(0) {
            self.place = Place::Head;
            self.deadline = None;
        }
        if self.place == Place::Head {
            if let Some(end) = find(&self.buffer, HEAD_END) {
                let length = end + HEAD_END.len();
                let framing = body_of(&self.buffer[..length]);
                self.after_head = framing.map_err(|reason| (ErrorKind::InvalidRequest, reason))?;
                self.place = Place::HandingHead(length);
            } else if self.buffer.len() > MAX_HEAD {
                return Err((ErrorKind::HeaderTooLarge, "the request header is too large"));
            }
        }
        Ok(match self.place {
            Place::Head => 0,
            Place::HandingHead(left) | Place::Body(left) => left.min(self.buffer.len()),
            Place::Chunked => self.buffer.len(),
        })
    }

    /// Takes bytes that were handed over out of the buffer.
    fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
        self.place = match self.place {
            Place::HandingHead(left) if left == count => self.after_head,
            Place::HandingHead(left) => Place::HandingHead(left - count),
            Place::Body(left) => Place::Body(left - count),
            other => other,
        };
    }

    fn fail(&mut self, violation: (ErrorKind, &'static str)) -> io::Error {
        self.violation = Some(violation);
        io::Error::new(io::ErrorKind::InvalidData, violation.1)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = this.state.lock().unwrap();
        if output.is_empty() {
            return Poll::Ready(Ok(0));
        }
        loop {
            let available = match state.available() {
                Ok(available) => available,
                Err(violation) => return Poll::Ready(Err(state.fail(violation))),
            };
            if available > 0 {
                return Poll::Ready(Ok(hand_over(&mut state, available, output)));
            }
            if state.is_closed {
                return Poll::Ready(Ok(0));
            }
            let start = state.buffer.len();
            state.buffer.resize(start + READ_SIZE, 0);
            let read = Pin::new(&mut this.socket).poll_read(context, &mut state.buffer[start..]);
            let count = match &read {
                Poll::Ready(Ok(count)) => *count,
                _ => 0,
            };
            state.buffer.truncate(start + count);
            match read {
                Poll::Ready(Ok(0)) => state.is_closed = true,
                Poll::Ready(Ok(_)) if state.deadline.is_none() => {
                    state.deadline = Some(async_io::Timer::after(this.receive_timeout));
                }
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return poll_deadline(&mut state, context),
            }
        }
    }
}

fn hand_over(state: &mut State, available: usize, output: &mut [u8]) -> usize {
    let count = available.min(output.len());
    output[..count].copy_from_slice(&state.buffer[..count]);
    state.consume(count);
    count
}

fn poll_deadline(state: &mut State, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let Some(deadline) = &mut state.deadline else {
        return Poll::Pending;
    };
    if deadline.poll(context).is_pending() {
        return Poll::Pending;
    }
    let violation = (ErrorKind::CallerTooSlow, "the request did not arrive in time");
    Poll::Ready(Err(state.fail(violation)))
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().socket).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_close(context)
    }
}
