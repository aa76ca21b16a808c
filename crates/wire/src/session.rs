//! Handshake and frame authentication of a connection.

use thiserror::Error;

/// Encoding of payloads on a connection; both sides use the latest version that both support.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProtocolVersion {
    /// Types of legacy builds, without field names and compression.
    Legacy,
    /// With field names; large payloads are compressed.
    Named,
}

impl ProtocolVersion {
    /// The latest version that this build supports.
    pub const LATEST: ProtocolVersion = ProtocolVersion::Named;

    /// Number in handshakes and frames.
    pub fn number(self) -> u8 {
        match self {
            ProtocolVersion::Legacy => 1,
            ProtocolVersion::Named => 2,
        }
    }

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            ProtocolVersion::Legacy => "First",
            ProtocolVersion::Named => "Named",
        }
    }

    fn from_number(number: u8) -> Option<Self> {
        [ProtocolVersion::Legacy, ProtocolVersion::Named]
            .into_iter()
            .find(|version| version.number() == number)
    }
}

/// Length of the authentication tag, in bytes.
const TAG_LENGTH: usize = 16;
/// Size of the length prefix, in bytes.
pub const LENGTH_PREFIX: usize = 4;
/// Maximum frame length without its prefix, in bytes. A configuration snapshot must fit.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;
/// Length of an encoded [`Hello`], in bytes.
pub const HELLO_LENGTH: usize = MAGIC.len() + 1 + NONCE_LENGTH;

const MAGIC: &[u8; 4] = b"TPZM";
const NONCE_LENGTH: usize = 16;
const DATAGRAM_CONTEXT: &str = "topazmount 2026 datagram key";
const DERIVE_CONTEXT: &str = "topazmount 2026 frame session key";

/// Why a frame or a peer was rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The peer uses another protocol or an unsupported version.
    #[error("peer uses another protocol or version")]
    Version,
    /// The frame is longer than [`MAX_FRAME`] or shorter than its header.
    #[error("frame length {0} is out of range")]
    Length(usize),
    /// The tag does not match: wrong key, or a replayed or modified frame.
    #[error("frame authentication failed")]
    Authentication,
    /// The payload is not a value of the expected type.
    #[error("payload is malformed: {0}")]
    Payload(String),
}

/// Secret shared by all processes of one deployment.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key from the text of the key file.
    pub fn from_text(text: &str) -> Self {
        ClusterKey(*blake3::hash(text.trim().as_bytes()).as_bytes())
    }
}

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that connected.
    Client,
    /// The side that accepted.
    Server,
}

/// Handshake message of each side: protocol, version and a random nonce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    version: ProtocolVersion,
    nonce: [u8; NONCE_LENGTH],
}

impl Hello {
    /// Creates a handshake of the latest version with a random nonce.
    pub fn new(nonce: [u8; NONCE_LENGTH]) -> Self {
        Hello::with_version(ProtocolVersion::LATEST, nonce)
    }

    /// Creates a handshake of a version.
    pub fn with_version(version: ProtocolVersion, nonce: [u8; NONCE_LENGTH]) -> Self {
        Hello { version, nonce }
    }

    /// Protocol version.
    pub fn version(&self) -> ProtocolVersion {
        self.version
    }

    /// Encodes the handshake.
    pub fn encode(&self) -> [u8; HELLO_LENGTH] {
        let mut bytes = [0u8; HELLO_LENGTH];
        bytes[..4].copy_from_slice(MAGIC);
        bytes[4] = self.version.number();
        bytes[5..].copy_from_slice(&self.nonce);
        bytes
    }

    /// Decodes the handshake of a peer.
    ///
    /// # Errors
    /// [`FrameError::Version`] for any other protocol.
    pub fn decode(bytes: &[u8; HELLO_LENGTH]) -> Result<Self, FrameError> {
        if &bytes[..4] != MAGIC {
            return Err(FrameError::Version);
        }
        let version = ProtocolVersion::from_number(bytes[4]).ok_or(FrameError::Version)?;
        let mut nonce = [0u8; NONCE_LENGTH];
        nonce.copy_from_slice(&bytes[5..]);
        Ok(Hello { version, nonce })
    }
}

/// Authenticates outgoing frames.
pub struct Sealer {
    version: ProtocolVersion,
    key: [u8; 32],
    sequence: u64,
}

/// Verifies incoming frames.
pub struct Opener {
    version: ProtocolVersion,
    key: [u8; 32],
    sequence: u64,
}

/// Derives the keys of both directions. Both handshakes must have the same version.
pub fn session_keys(
    cluster: &ClusterKey,
    role: Role,
    client: &Hello,
    server: &Hello,
) -> (Sealer, Opener) {
    let to_server = direction_key(cluster, client, server, b"to-server");
    let to_client = direction_key(cluster, client, server, b"to-client");
    let (outgoing, incoming) = match role {
        Role::Client => (to_server, to_client),
        Role::Server => (to_client, to_server),
    };
    let version = client.version.min(server.version);
    (Sealer { version, key: outgoing, sequence: 0 }, Opener { version, key: incoming, sequence: 0 })
}

fn direction_key(cluster: &ClusterKey, client: &Hello, server: &Hello, label: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key(DERIVE_CONTEXT);
    hasher.update(&cluster.0);
    hasher.update(&client.nonce);
    hasher.update(&server.nonce);
    hasher.update(label);
    *hasher.finalize().as_bytes()
}

fn tag(key: &[u8; 32], sequence: u64, payload: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Creates an authenticated datagram. Datagrams can be lost, repeated and reordered; there is no
/// replay protection.
pub fn seal_datagram(cluster: &ClusterKey, version: ProtocolVersion, payload: &[u8]) -> Vec<u8> {
    let tag = tag(&datagram_key(cluster), 0, payload);
    let mut datagram = Vec::with_capacity(1 + TAG_LENGTH + payload.len());
    datagram.push(version.number());
    datagram.extend_from_slice(&tag.as_bytes()[..TAG_LENGTH]);
    datagram.extend_from_slice(payload);
    datagram
}

/// Verifies a datagram and returns its version and payload.
///
/// # Errors
/// [`FrameError`] if the datagram is invalid.
pub fn open_datagram<'a>(
    cluster: &ClusterKey,
    datagram: &'a [u8],
) -> Result<(ProtocolVersion, &'a [u8]), FrameError> {
    let number = *datagram.first().ok_or(FrameError::Length(0))?;
    let version = ProtocolVersion::from_number(number).ok_or(FrameError::Version)?;
    let opener = Opener { version, key: datagram_key(cluster), sequence: 0 };
    Ok((version, opener.check(datagram)?))
}

fn datagram_key(cluster: &ClusterKey) -> [u8; 32] {
    blake3::derive_key(DATAGRAM_CONTEXT, &cluster.0)
}

impl Sealer {
    /// Creates a frame with its length prefix.
    ///
    /// # Errors
    /// [`FrameError::Length`] when the payload exceeds [`MAX_FRAME`].
    pub fn seal(&mut self, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
        let length = 1 + TAG_LENGTH + payload.len();
        if length > MAX_FRAME {
            return Err(FrameError::Length(length));
        }
        let tag = tag(&self.key, self.sequence, payload);
        self.sequence += 1;
        let mut frame = Vec::with_capacity(LENGTH_PREFIX + length);
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.push(self.version.number());
        frame.extend_from_slice(&tag.as_bytes()[..TAG_LENGTH]);
        frame.extend_from_slice(payload);
        Ok(frame)
    }
}

impl Opener {
    /// Verifies a frame without its length prefix and returns its payload.
    ///
    /// # Errors
    /// [`FrameError`] if the frame is invalid; the connection must then be closed.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], FrameError> {
        let payload = self.check(frame)?;
        self.sequence += 1;
        Ok(payload)
    }

    fn check<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8], FrameError> {
        if frame.len() < 1 + TAG_LENGTH {
            return Err(FrameError::Length(frame.len()));
        }
        if frame[0] != self.version.number() {
            return Err(FrameError::Version);
        }
        let (received, payload) = frame[1..].split_at(TAG_LENGTH);
        let expected = tag(&self.key, self.sequence, payload);
        let difference = received
            .iter()
            .zip(&expected.as_bytes()[..TAG_LENGTH])
            .fold(0u8, |difference, (left, right)| difference | (left ^ right));
        if difference != 0 {
            return Err(FrameError::Authentication);
        }
        Ok(payload)
    }
}

/// Decodes a length prefix.
///
/// # Errors
/// [`FrameError::Length`] if the frame would exceed [`MAX_FRAME`] or can't contain its header.
pub fn frame_length(prefix: [u8; LENGTH_PREFIX]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(prefix) as usize;
    if !(1 + TAG_LENGTH..=MAX_FRAME).contains(&length) {
        return Err(FrameError::Length(length));
    }
    Ok(length)
}
