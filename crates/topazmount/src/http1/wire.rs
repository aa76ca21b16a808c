//! A TCP stream with what was read from it and not used yet.

use super::segments::SegmentDecoder;
use async_net::TcpStream;
use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWriteExt};
use std::io;
use std::pin::Pin;
use std::task::{Poll, ready};

/// Bytes asked for at a time.
const READ_SIZE: usize = 8 * 1024;
/// Most bytes that are taken in from a peer whose turn it is not.
const READ_AHEAD: usize = 64 * 1024;

/// A connection. Its read and write sides may be used at the same time through
/// [`Wire::writer`].
pub struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
    has_ended: bool,
    /// Set if the peer sends segments.
    segments: Option<SegmentDecoder>,
}

impl Wire {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        // Small writes must not wait for the peer's acknowledgements; a failure only costs time.
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new(), has_ended: false, segments: None }
    }

    /// Wraps a stream on which the peer sends segments. A connection that ends before the last one
    /// counts as broken.
    pub fn from_segments(stream: TcpStream) -> Self {
        Wire { segments: Some(SegmentDecoder::default()), ..Wire::new(stream) }
    }

    /// Whether the peer sends segments.
    pub fn has_segments(&self) -> bool {
        self.segments.is_some()
    }

    /// What was read and not used.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the peer has closed its side.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Drops the first bytes of the buffer.
    pub fn consume(&mut self, length: usize) {
        self.buffer.drain(..length.min(self.buffer.len()));
    }

    /// Takes up to `most` bytes out of the buffer.
    pub fn take(&mut self, most: usize) -> Vec<u8> {
        let length = most.min(self.buffer.len());
        if length == self.buffer.len() {
            return std::mem::take(&mut self.buffer);
        }
        self.buffer.drain(..length).collect()
    }

    /// Reads more into the buffer; 0 means that the peer closed its side.
    ///
    /// # Errors
    /// Any failure of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let result = self.read_some().await;
        self.has_ended |= !matches!(result, Ok(read) if read > 0);
        result
    }

    /// Waits until the peer is gone, keeping what it sends meanwhile. Never ends for a peer that
    /// sends more than a bound ahead of its turn. May be dropped at any time: a read that is
    /// waiting has taken no byte.
    pub async fn gone(&mut self) {
        while !self.has_ended && self.buffer.len() < READ_AHEAD {
            let _ = self.fill().await;
        }
        if !self.has_ended {
            futures_lite::future::pending::<()>().await;
        }
    }

    /// Reads once. The chunk is on the stack of a try and no part of the future: each connection at rest would hold it
    /// otherwise, several times over where futures hold futures, and 3,000 replicas rest at one control member. A read that
    /// is given up leaves no trace.
    async fn read_some(&mut self) -> io::Result<usize> {
        let Wire { stream, buffer, segments, .. } = self;
        poll_fn(|cx| {
            loop {
                if segments.as_ref().is_some_and(SegmentDecoder::is_ended) {
                    return Poll::Ready(Ok(0));
                }
                let mut chunk = [0u8; READ_SIZE];
                let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut chunk))?;
                let Some(decoder) = segments else {
                    buffer.extend_from_slice(&chunk[..read]);
                    return Poll::Ready(Ok(read));
                };
                if read == 0 {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                let length = buffer.len();
                decoder.decode(&chunk[..read], buffer)?;
                if buffer.len() > length {
                    return Poll::Ready(Ok(buffer.len() - length));
                }
            }
        })
        .await
    }

    /// The write side.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Writes everything.
    ///
    /// # Errors
    /// Any failure of the connection.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes the write side, so that the peer sees the end of what was sent.
    pub fn finish(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Closes the connection so that the peer sees a reset and not the end of an answer.
    pub fn abort(&self) {
        let socket =
            rustix::net::sockopt::set_socket_linger(&self.stream, Some(std::time::Duration::ZERO));
        // Where that fails the peer still misses the end of the body.
        let _ = socket;
    }
}
