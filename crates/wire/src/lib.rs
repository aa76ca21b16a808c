//! Frames between topazmount processes.
//!
//! A frame is `length: u32 LE | version: u8 | tag: 16 bytes | payload`. The payload is a
//! MessagePack value in the encoding of its [`ProtocolVersion`]. The tag is a keyed BLAKE3 hash of
//! a sequence number per direction and the payload, with a key derived from the cluster key and the
//! nonces of both sides. Frames of peers without the cluster key, replayed frames and frames of
//! other connections are therefore rejected. The crate performs no I/O.

mod codec;
mod compression;
mod session;

pub use codec::{decode_payload, encode_datagram, encode_payload};
pub use compression::{compress, decompress, without_compression};
pub use session::{
    ClusterKey, FrameError, HELLO_LENGTH, Hello, LENGTH_PREFIX, MAX_FRAME, Opener, ProtocolVersion,
    Role, Sealer, frame_length, open_datagram, seal_datagram, session_keys,
};
