//! How long a message's body is.

use super::head::{HeadError, Headers, RequestHead, ResponseHead};

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none, or it has this many bytes.
    Length(u64),
    /// Chunks, the last one empty.
    Chunked,
    /// The end of the connection; only in responses.
    UntilClose,
}

/// Framing of a request's body.
///
/// # Errors
/// [`HeadError::Framing`] when it could be read in two ways.
pub fn request_framing(head: &RequestHead) -> Result<Framing, HeadError> {
    Ok(declared(&head.headers, head.minor_version)?.unwrap_or(Framing::Length(0)))
}

/// Framing of the response to a request of this method.
///
/// # Errors
/// [`HeadError::Framing`] when it could be read in two ways.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<Framing, HeadError> {
    let has_none = method == "HEAD" || matches!(head.status.code(), 100..200 | 204 | 304);
    let declared = declared(&head.headers, head.minor_version)?;
    Ok(if has_none { Framing::Length(0) } else { declared.unwrap_or(Framing::UntilClose) })
}

fn declared(headers: &Headers, minor_version: u8) -> Result<Option<Framing>, HeadError> {
    let mut lengths = headers.all("content-length");
    let mut codings = headers.all("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (None, None, None, None) => Ok(None),
        (Some(length), None, None, None) => parse_length(length).map(Some),
        (None, None, Some(coding), None) => {
            let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || minor_version == 0 {
                return Err(HeadError::Framing);
            }
            Ok(Some(Framing::Chunked))
        }
        _ => Err(HeadError::Framing),
    }
}

fn parse_length(value: &[u8]) -> Result<Framing, HeadError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Framing);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HeadError::Framing)?;
    text.parse().map(Framing::Length).map_err(|_| HeadError::Framing)
}
