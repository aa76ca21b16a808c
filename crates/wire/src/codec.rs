//! Encoding of payloads with MessagePack.

use crate::FrameError;
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a value with field names, so that other versions can ignore unknown fields. Decoding
/// also accepts values without field names, as sent by legacy builds and in datagrams.
///
/// # Errors
/// [`FrameError::Payload`] if the value can't be encoded.
pub fn encode_payload<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    rmp_serde::to_vec_named(value).map_err(|error| FrameError::Payload(error.to_string()))
}

/// Encodes a value without field names, for datagrams of bounded size. A process that does not know
/// a field drops the whole datagram.
///
/// # Errors
/// [`FrameError::Payload`] if the value can't be encoded.
pub fn encode_datagram<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    rmp_serde::to_vec(value).map_err(|error| FrameError::Payload(error.to_string()))
}

/// Decodes a value; trailing bytes are an error.
///
/// # Errors
/// [`FrameError::Payload`] if the bytes are not exactly one value of the type.
pub fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let mut reader = std::io::Cursor::new(bytes);
    let value = rmp_serde::from_read(&mut reader)
        .map_err(|error| FrameError::Payload(error.to_string()))?;
    if reader.position() as usize != bytes.len() {
        return Err(FrameError::Payload("trailing bytes".to_owned()));
    }
    Ok(value)
}
