//! Payload encoding with a well-kept library.

use crate::FrameError;
use serde::{Serialize, de::DeserializeOwned};

/// Encodes one value.
///
/// # Errors
/// [`FrameError::Payload`] when the value can't be represented.
pub fn encode_payload<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
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
