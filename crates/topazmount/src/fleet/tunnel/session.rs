//! An authenticated connection between two gateways.

use crate::frames::{read_hello, within};
use async_net::TcpStream;
use eyre::{Result, ensure};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_wire::{
    ClusterKey, Hello, LENGTH_PREFIX, Opener, Role, Sealer, decode_payload, encode_payload,
    frame_length, session_keys,
};

/// Time limit for connecting and greeting, and for receiving a request.
const GREETING_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest message, in bytes.
const MAX_MESSAGE: usize = 4 * 1024;

/// A connection whose messages are sealed with keys of its own.
pub(super) struct Session {
    stream: TcpStream,
    sealer: Sealer,
    opener: Opener,
}

impl Session {
    /// Connects to a gateway and greets it.
    ///
    /// # Errors
    /// If it does not greet in time, or not in the latest version.
    pub(super) async fn connect(address: SocketAddr, key: &ClusterKey) -> Result<Self> {
        let greeting = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let own = Hello::new(rand::random());
            stream.write_all(&own.encode()).await?;
            let peer = read_hello(&mut stream).await?;
            ensure!(peer.version() == own.version(), "{address} greets in another version");
            let (sealer, opener) = session_keys(key, Role::Client, &own, &peer);
            Ok(Session { stream, sealer, opener })
        };
        within(GREETING_TIMEOUT, greeting).await
    }

    /// Greets a gateway that connected.
    ///
    /// # Errors
    /// If it does not greet in time, or not in the latest version.
    pub(super) async fn accept(mut stream: TcpStream, key: &ClusterKey) -> Result<Self> {
        let greeting = async {
            stream.set_nodelay(true)?;
            let peer = read_hello(&mut stream).await?;
            let own = Hello::new(rand::random());
            ensure!(peer.version() == own.version(), "the gateway greets in another version");
            stream.write_all(&own.encode()).await?;
            let (sealer, opener) = session_keys(key, Role::Server, &peer, &own);
            Ok(Session { stream, sealer, opener })
        };
        within(GREETING_TIMEOUT, greeting).await
    }

    /// Sends a message.
    ///
    /// # Errors
    /// If the connection broke.
    pub(super) async fn send<T: Serialize>(&mut self, message: &T) -> Result<()> {
        let frame = self.sealer.seal(&encode_payload(message)?)?;
        self.stream.write_all(&frame).await?;
        Ok(())
    }

    /// Receives a message.
    ///
    /// # Errors
    /// If the connection broke, or the message does not come in time or is invalid.
    pub(super) async fn receive<T: DeserializeOwned>(&mut self, timeout: Duration) -> Result<T> {
        within(timeout, async {
            let mut prefix = [0u8; LENGTH_PREFIX];
            self.stream.read_exact(&mut prefix).await?;
            let length = frame_length(prefix)?;
            ensure!(length <= MAX_MESSAGE, "a message of {length} bytes is too long");
            let mut frame = vec![0u8; length];
            self.stream.read_exact(&mut frame).await?;
            Ok(decode_payload(self.opener.open(&frame)?)?)
        })
        .await
    }

    /// Receives the first message of a gateway that connected.
    ///
    /// # Errors
    /// As [`Session::receive`].
    pub(super) async fn receive_request<T: DeserializeOwned>(&mut self) -> Result<T> {
        self.receive(GREETING_TIMEOUT).await
    }

    /// The connection, for unsealed bytes.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }
}
