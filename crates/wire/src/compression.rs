//! Compression of large payloads.
//!
//! Lists of replicas and gateways are sent to all gateways at once after a restart of the fleet,
//! and contain many repeated services, zones and addresses.

use crate::session::{FrameError, MAX_FRAME};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::Read;

/// Minimum payload size for compression, in bytes.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// Maximum decompressed payload, in bytes.
const MAX_DECOMPRESSED_BYTES: u64 = 2 * MAX_FRAME as u64;

/// Formats of a payload, given by its first byte.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Compresses a payload if that makes it smaller, and prepends its format.
pub fn compress(payload: &[u8]) -> Vec<u8> {
    if payload.len() >= MIN_COMPRESSED_BYTES {
        let mut compressed = Vec::with_capacity(payload.len() + 1);
        compressed.push(DEFLATED);
        let mut encoder = DeflateEncoder::new(payload, Compression::fast());
        if encoder.read_to_end(&mut compressed).is_ok() && compressed.len() <= payload.len() {
            return compressed;
        }
    }
    without_compression(payload)
}

/// Prepends the format to a payload whose content is compressed already.
pub fn without_compression(payload: &[u8]) -> Vec<u8> {
    let mut stored = Vec::with_capacity(payload.len() + 1);
    stored.push(PLAIN);
    stored.extend_from_slice(payload);
    stored
}

/// Reverses [`compress`] and [`without_compression`].
///
/// # Errors
/// [`FrameError::Payload`] for invalid input, [`FrameError::Length`] if the payload is too large.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>, FrameError> {
    let Some((kind, rest)) = compressed.split_first() else {
        return Err(FrameError::Payload("empty".to_owned()));
    };
    match *kind {
        PLAIN => Ok(rest.to_vec()),
        DEFLATED => {
            let mut payload = Vec::new();
            let mut decoder = DeflateDecoder::new(rest).take(MAX_DECOMPRESSED_BYTES + 1);
            decoder
                .read_to_end(&mut payload)
                .map_err(|error| FrameError::Payload(error.to_string()))?;
            match payload.len() as u64 <= MAX_DECOMPRESSED_BYTES {
                true => Ok(payload),
                false => Err(FrameError::Length(payload.len())),
            }
        }
        other => Err(FrameError::Payload(format!("unknown compression format {other}"))),
    }
}
