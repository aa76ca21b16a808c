//! Frames between topazmount processes.
//!
//! A frame is `length: u32 LE | version: u8 | tag: 16 bytes | payload`. The payload is one
//! `rmp-serde` value, packed as its [`ProtocolVersion`] says. The tag is a keyed BLAKE3 hash over a per-direction sequence number and the
//! payload, under a key derived from the cluster key and both sides' nonces, so that a peer
//! without the cluster key, a replayed frame and a frame from another connection are all refused.
//! The crate performs no I/O: shells move the bytes.

mod codec;
mod compression;
mod session;

pub use codec::{decode_payload, encode_datagram, encode_payload};
pub use compression::{compress, decompress};
pub use session::{
    ClusterKey, FrameError, HELLO_LENGTH, Hello, LENGTH_PREFIX, MAX_FRAME, Opener, ProtocolVersion,
    Role, Sealer, frame_length, open_datagram, seal_datagram, session_keys,
};
