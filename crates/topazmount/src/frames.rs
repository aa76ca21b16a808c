//! Frames over a TCP stream: greeting, then sealed frames in both directions.

use crate::message_meter::FrameCost;
use async_net::TcpStream;
use eyre::{Result, WrapErr, eyre};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use topazmount_control::{Frame, LegacyLink};
use topazmount_wire::{
    ClusterKey, HELLO_LENGTH, Hello, LENGTH_PREFIX, Opener, ProtocolVersion, Role, Sealer,
    compress, decode_payload, decompress, encode_payload, frame_length, session_keys,
    without_compression,
};

/// Time for a peer to accept a connection and greet.
pub const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a connection to a process that speaks the first form has carried; none on others.
type FirstForm = Option<Arc<Mutex<LegacyLink>>>;

/// Sending half.
pub struct FrameWriter {
    stream: TcpStream,
    sealer: Sealer,
    first_form: FirstForm,
}

/// Receiving half.
pub struct FrameReader {
    stream: TcpStream,
    opener: Opener,
    first_form: FirstForm,
}

/// The payload of a frame in the latest form.
///
/// # Errors
/// When the frame can't be encoded.
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>> {
    let payload = encode_payload(frame)?;
    Ok(if frame.is_packed() { without_compression(&payload) } else { compress(&payload) })
}

/// Reverses [`encode_frame`].
///
/// # Errors
/// When the payload is no frame.
pub fn decode_frame(payload: &[u8]) -> Result<Frame> {
    Ok(decode_payload(&decompress(payload)?)?)
}

impl FrameWriter {
    /// Sends one frame. One that the other side's build does not have is passed over.
    ///
    /// # Errors
    /// When the frame is too large or the connection broke.
    pub async fn send(&mut self, frame: &Frame) -> Result<FrameCost> {
        let began = Instant::now();
        let payload = match &self.first_form {
            None => Some(encode_frame(frame)?),
            Some(link) => link
                .lock()
                .unwrap()
                .outgoing(frame)
                .map(|frame| encode_payload(&frame))
                .transpose()?,
        };
        let Some(payload) = payload else {
            log::debug!("link: event=passed_over kind={}", frame.kind());
            return Ok(FrameCost::default());
        };
        let frame = self.sealer.seal(&payload)?;
        let cost = FrameCost { bytes: frame.len(), busy: began.elapsed() };
        self.stream.write_all(&frame).await?;
        Ok(cost)
    }
}

impl FrameReader {
    /// The form that the other side speaks.
    pub fn form(&self) -> ProtocolVersion {
        if self.first_form.is_some() { ProtocolVersion::Legacy } else { ProtocolVersion::Named }
    }

    /// Receives one frame.
    ///
    /// # Errors
    /// When the connection broke, or the peer broke the protocol; the connection must be dropped.
    pub async fn receive(&mut self) -> Result<Frame> {
        Ok(self.receive_with_cost().await?.0)
    }

    /// Receives one frame, and tells what it cost.
    ///
    /// # Errors
    /// As [`FrameReader::receive`].
    pub async fn receive_with_cost(&mut self) -> Result<(Frame, FrameCost)> {
        let mut prefix = [0u8; LENGTH_PREFIX];
        self.stream.read_exact(&mut prefix).await?;
        let mut frame = vec![0u8; frame_length(prefix)?];
        self.stream.read_exact(&mut frame).await?;
        let began = Instant::now();
        let bytes = prefix.len() + frame.len();
        let payload = self.opener.open(&frame)?;
        let frame = match &self.first_form {
            None => decode_frame(payload)?,
            Some(link) => link.lock().unwrap().incoming(decode_payload(payload)?),
        };
        Ok((frame, FrameCost { bytes, busy: began.elapsed() }))
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

/// Connects to a peer and greets it, in the form that it speaks: one that greets in an older form is greeted anew.
///
/// # Errors
/// When the peer does not answer in time or speaks another protocol.
pub async fn connect(
    address: SocketAddr,
    key: &ClusterKey,
    limit: ConnectLimit,
) -> Result<(FrameWriter, FrameReader)> {
    let greeted = within(limit.get(), async {
        let newest = greet_in(ProtocolVersion::LATEST, address, key).await?;
        match newest {
            Greeted::Alike(halves) => Ok(*halves),
            Greeted::Older(form) => match greet_in(form, address, key).await? {
                Greeted::Alike(halves) => Ok(*halves),
                Greeted::Older(_) => Err(eyre!("it greets in another form each time")),
            },
        }
    });
    greeted.await.wrap_err_with(|| format!("connecting to {address}"))
}

/// What came of greeting a peer in a form.
enum Greeted {
    /// It greeted in the same form.
    Alike(Box<(FrameWriter, FrameReader)>),
    /// It speaks an older one.
    Older(ProtocolVersion),
}

async fn greet_in(form: ProtocolVersion, address: SocketAddr, key: &ClusterKey) -> Result<Greeted> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let own = Hello::with_version(form, rand::random());
    stream.write_all(&own.encode()).await?;
    let peer = read_hello(&mut stream).await?;
    if peer.version() < form {
        return Ok(Greeted::Older(peer.version()));
    }
    Ok(Greeted::Alike(Box::new(halves(stream, key, Role::Client, &own, &peer))))
}

/// Greets a peer that connected, in its form.
///
/// # Errors
/// When the peer does not greet in time or speaks another protocol.
pub async fn accept(stream: TcpStream, key: &ClusterKey) -> Result<(FrameWriter, FrameReader)> {
    let greeting = async {
        let mut stream = stream;
        stream.set_nodelay(true)?;
        let peer = read_hello(&mut stream).await?;
        let own = Hello::with_version(peer.version(), rand::random());
        stream.write_all(&own.encode()).await?;
        Ok(halves(stream, key, Role::Server, &own, &peer))
    };
    within(GREETING_TIMEOUT, greeting).await
}

/// Reads the greeting of a peer.
pub(crate) async fn read_hello(stream: &mut TcpStream) -> Result<Hello> {
    let mut bytes = [0u8; HELLO_LENGTH];
    stream.read_exact(&mut bytes).await?;
    Ok(Hello::decode(&bytes)?)
}

fn halves(
    stream: TcpStream,
    key: &ClusterKey,
    role: Role,
    own: &Hello,
    peer: &Hello,
) -> (FrameWriter, FrameReader) {
    let (client, server) = match role {
        Role::Client => (own, peer),
        Role::Server => (peer, own),
    };
    let (sealer, opener) = session_keys(key, role, client, server);
    let first_form = (own.version() == ProtocolVersion::Legacy).then(Arc::default);
    let reader = FrameReader { stream: stream.clone(), opener, first_form: first_form.clone() };
    (FrameWriter { stream, sealer, first_form }, reader)
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
