//! Payload encoding with a well-kept library.

use crate::FrameError;
use serde::{Serialize, de::DeserializeOwned};

/// Encodes one value with the names of its fields, so that a process of another version passes over those that it does not
/// know. Fields without names are read too: that is how versions before sent them, and how datagrams are sent.
///
/// # Errors
/// [`FrameError::Payload`] when the value can't be represented.
pub fn encode_payload<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    rmp_serde::to_vec_named(value).map_err(|error| FrameError::Payload(error.to_string()))
}

/// Encodes one value for a datagram, whose size is bounded: without the names of its fields. A process that does not know one of
/// them passes over the whole datagram, which may be lost anyway.
///
/// # Errors
/// [`FrameError::Payload`] when the value can't be represented.
pub fn encode_datagram<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    rmp_serde::to_vec(value).map_err(|error| FrameError::Payload(error.to_string()))
}

/// Decodes one value; trailing bytes are refused.
///
/// # Errors
/// [`FrameError::Payload`] when the bytes are not exactly one value of the type.
pub fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let mut reader = std::io::Cursor::new(bytes);
    let value = rmp_serde::from_read(&mut reader)
        .map_err(|error| FrameError::Payload(error.to_string()))?;
    if reader.position() as usize != bytes.len() {
        return Err(FrameError::Payload("trailing bytes".to_owned()));
    }
    Ok(value)
}
