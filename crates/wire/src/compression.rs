//! Compression of large payloads.
//!
//! Lists of replicas and gateways repeat their services, zones and the begins of addresses. After a loss of all power each
//! gateway is sent the whole list: of 3,005 replicas, to 300 gateways, half of them behind a link of 60 Mbit/s.

use crate::session::{FrameError, MAX_FRAME};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::Read;

/// Payloads below this are sent as they are: little is won, and most of them are.
const SMALLEST_PACKED: usize = 1_024;
/// Largest payload after unpacking, in bytes: twice what a frame may carry unpacked.
const MAX_UNPACKED: u64 = 2 * MAX_FRAME as u64;

/// First byte of a payload, which says how the rest is to be read.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Packs a payload.
pub fn compress(payload: &[u8]) -> Vec<u8> {
    let mut packed = Vec::with_capacity(payload.len() + 1);
    if payload.len() >= SMALLEST_PACKED {
        packed.push(DEFLATED);
        let mut encoder = DeflateEncoder::new(payload, Compression::fast());
        if encoder.read_to_end(&mut packed).is_ok() && packed.len() <= payload.len() {
            return packed;
        }
        packed.clear();
    }
    packed.push(PLAIN);
    packed.extend_from_slice(payload);
    packed
}

/// Unpacks a payload.
///
/// # Errors
/// [`FrameError::Payload`] when it was not packed by [`pack`], or would be larger than any that is sent.
pub fn decompress(packed: &[u8]) -> Result<Vec<u8>, FrameError> {
    let Some((kind, rest)) = packed.split_first() else {
        return Err(FrameError::Payload("it is empty".to_owned()));
    };
    match *kind {
        PLAIN => Ok(rest.to_vec()),
        DEFLATED => {
            let mut payload = Vec::new();
            let mut decoder = DeflateDecoder::new(rest).take(MAX_UNPACKED + 1);
            decoder
                .read_to_end(&mut payload)
                .map_err(|error| FrameError::Payload(error.to_string()))?;
            match payload.len() as u64 <= MAX_UNPACKED {
                true => Ok(payload),
                false => Err(FrameError::Length(payload.len())),
            }
        }
        other => Err(FrameError::Payload(format!("it is packed in an unknown way, {other}"))),
    }
}
