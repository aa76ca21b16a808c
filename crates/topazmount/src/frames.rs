//! Frames over a TCP stream: greeting, then sealed frames in both directions.

use crate::message_meter::FrameCost;
use async_net::TcpStream;
use eyre::{Result, WrapErr, eyre};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use topazmount_wire::{
    ClusterKey, HELLO_LENGTH, Hello, LENGTH_PREFIX, Opener, Role, Sealer, decode_payload,
    encode_payload, frame_length, pack, session_keys, unpack,
};

/// Time for a peer to accept a connection and greet.
pub const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sending half.
pub struct FrameWriter {
    stream: TcpStream,
    sealer: Sealer,
}

/// Receiving half.
pub struct FrameReader {
    stream: TcpStream,
    opener: Opener,
}

impl FrameWriter {
    /// Sends one value.
    ///
    /// # Errors
    /// When the value is too large or the connection broke.
    pub async fn send<T: Serialize>(&mut self, value: &T) -> Result<FrameCost> {
        let began = Instant::now();
        let frame = self.sealer.seal(&pack(&encode_payload(value)?))?;
        let cost = FrameCost { bytes: frame.len(), busy: began.elapsed() };
        self.stream.write_all(&frame).await?;
        Ok(cost)
    }
}

impl FrameReader {
    /// Receives one value.
    ///
    /// # Errors
    /// When the connection broke, or the peer broke the protocol; the connection must be dropped.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        Ok(self.receive_with_cost().await?.0)
    }

    /// Receives one value, and tells what it cost.
    ///
    /// # Errors
    /// As [`FrameReader::receive`].
    pub async fn receive_with_cost<T: DeserializeOwned>(&mut self) -> Result<(T, FrameCost)> {
        let mut prefix = [0u8; LENGTH_PREFIX];
        self.stream.read_exact(&mut prefix).await?;
        let mut frame = vec![0u8; frame_length(prefix)?];
        self.stream.read_exact(&mut frame).await?;
        let began = Instant::now();
        let bytes = prefix.len() + frame.len();
        let value = decode_payload(&unpack(self.opener.open(&frame)?)?)?;
        Ok((value, FrameCost { bytes, busy: began.elapsed() }))
    }
}

/// How long a peer may take to accept a connection. A machine without power, or behind a cut, says
/// nothing, and the kernel repeats a lost opening packet only after a second: tries begin short, so
/// that one which is back is met soon, and grow, so that a slow link is met as well.
#[derive(Clone, Copy, Debug)]
pub struct ConnectLimit(Duration);

impl Default for ConnectLimit {
    fn default() -> Self {
        ConnectLimit(Duration::from_millis(250))
    }
}

impl ConnectLimit {
    /// The limit of the next try.
    pub fn get(self) -> Duration {
        self.0
    }

    /// Notes a failed try.
    pub fn failed(&mut self) {
        self.0 = (self.0 * 3 / 2).min(GREETING_TIMEOUT);
    }

    /// Notes a try that succeeded.
    pub fn succeeded(&mut self) {
        *self = ConnectLimit::default();
    }
}

/// Connects to a peer and greets it.
///
/// # Errors
/// When the peer does not answer in time or speaks another protocol.
pub async fn connect(
    address: SocketAddr,
    key: &ClusterKey,
    limit: ConnectLimit,
) -> Result<(FrameWriter, FrameReader)> {
    within(limit.get(), async {
        let stream = TcpStream::connect(address).await?;
        greet(stream, key, Role::Client).await
    })
    .await
    .wrap_err_with(|| format!("connecting to {address}"))
}

/// Greets a peer that connected.
///
/// # Errors
/// When the peer does not greet in time or speaks another protocol.
pub async fn accept(stream: TcpStream, key: &ClusterKey) -> Result<(FrameWriter, FrameReader)> {
    within(GREETING_TIMEOUT, greet(stream, key, Role::Server)).await
}

async fn greet(
    mut stream: TcpStream,
    key: &ClusterKey,
    role: Role,
) -> Result<(FrameWriter, FrameReader)> {
    stream.set_nodelay(true)?;
    let own = Hello::new(rand::random());
    stream.write_all(&own.encode()).await?;
    let mut bytes = [0u8; HELLO_LENGTH];
    stream.read_exact(&mut bytes).await?;
    let peer = Hello::decode(&bytes)?;
    let (client, server) = match role {
        Role::Client => (own, peer),
        Role::Server => (peer, own),
    };
    let (sealer, opener) = session_keys(key, role, &client, &server);
    let reader = FrameReader { stream: stream.clone(), opener };
    Ok((FrameWriter { stream, sealer }, reader))
}

/// Runs a future with a time limit.
///
/// # Errors
/// The future's own, or that the time is up.
pub async fn within<T>(
    limit: Duration,
    future: impl std::future::Future<Output = Result<T>>,
) -> Result<T> {
    futures_lite::future::or(future, async {
        async_io::Timer::after(limit).await;
        Err(eyre!("no answer within {limit:?}"))
    })
    .await
}
