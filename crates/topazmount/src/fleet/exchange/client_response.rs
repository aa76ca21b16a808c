//! Sends the response to a client. All bytes to the client of a request pass through here.

use crate::http1::{BodyDelivery, OutOfOrder, ResponseEncoder};
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use std::io;

/// The response to a request, and the write side of its client's connection.
pub(in crate::fleet) struct ClientResponse {
    stream: TcpStream,
    encoder: ResponseEncoder,
}

impl ClientResponse {
    pub(in crate::fleet) fn new(stream: TcpStream) -> Self {
        ClientResponse { stream, encoder: ResponseEncoder::default() }
    }

    /// Whether the client may have received a part of the response.
    pub(super) fn has_started(&self) -> bool {
        self.encoder.has_started()
    }

    pub(super) fn add_head(
        &mut self,
        head: &[u8],
        delivery: BodyDelivery,
    ) -> Result<(), OutOfOrder> {
        self.encoder.add_head(head, delivery)
    }

    pub(super) fn add_body(&mut self, part: &[u8]) -> Result<(), OutOfOrder> {
        self.encoder.add_body(part)
    }

    /// Whether there are bytes to send.
    pub(super) fn has_pending(&self) -> bool {
        !self.encoder.pending().is_empty()
    }

    /// Sends the pending bytes.
    pub(super) async fn flush(&mut self) -> io::Result<()> {
        let bytes = self.encoder.take();
        self.stream.write_all(&bytes).await
    }

    /// Sends a whole response.
    pub(super) async fn send_whole(&mut self, response: &[u8]) -> io::Result<()> {
        self.encoder.add_whole(response).map_err(io::Error::other)?;
        self.flush().await
    }

    /// Ends the body and sends the pending bytes.
    pub(super) async fn finish(&mut self) -> io::Result<()> {
        self.encoder.end().map_err(io::Error::other)?;
        self.flush().await
    }
}
