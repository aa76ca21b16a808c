//! Reading a body by its framing.

use super::framing::Framing;
use super::wire::Wire;
use thiserror::Error;

/// Longest line of a chunk's size.
const MAX_SIZE_LINE: usize = 256;
/// End of the line of a chunk's size, or of a trailer.
const LINE_END: &[u8] = b"\r\n";
/// Longest trailer section.
const MAX_TRAILERS: usize = 8 * 1024;

/// Why a body is not whole.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The connection ended first.
    #[error("the connection ended in the middle of the body")]
    Truncated,
    /// The chunks break the grammar.
    #[error("the body is malformed")]
    Malformed,
    /// It exceeds its bound.
    #[error("the body is too large")]
    TooLarge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes are left.
    Counted(u64),
    /// A chunk's size comes next.
    Size,
    /// So many bytes of a chunk are left, then a line end.
    Chunk(u64),
    /// Trailers come next, after so many bytes of them.
    Trailers(usize),
    /// Everything until the end of the connection.
    UntilClose,
    Done,
}

/// Reads one body. Holds no bytes of its own: what is not used stays in the connection's buffer.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// A reader of a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Counted(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state }
    }

    /// Whether the body has been read whole.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The next bytes; `None` at the end of the body.
    ///
    /// # Errors
    /// [`BodyError`]; the connection is of no further use.
    pub async fn next(&mut self, wire: &mut Wire) -> Result<Option<Vec<u8>>, BodyError> {
        loop {
            if let Some(bytes) = self.step(wire)? {
                return Ok(Some(bytes));
            }
            if self.is_done() {
                return Ok(None);
            }
            match wire.fill().await {
                Ok(0) if self.state == State::UntilClose => self.state = State::Done,
                Ok(0) | Err(_) => return Err(BodyError::Truncated),
                Ok(_) => {}
            }
        }
    }

    /// Reads the whole body of at most `most` bytes.
    ///
    /// # Errors
    /// [`BodyError`]; the connection is of no further use.
    pub async fn read_all(&mut self, wire: &mut Wire, most: usize) -> Result<Vec<u8>, BodyError> {
        self.read_while(wire, |length| length <= most).await
    }

    /// Reads the whole body while its length, which is known in advance or grows, may be held.
    ///
    /// # Errors
    /// [`BodyError`]; the connection is of no further use.
    pub async fn read_while(
        &mut self,
        wire: &mut Wire,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> Result<Vec<u8>, BodyError> {
        if let State::Counted(length) = self.state
            && !usize::try_from(length).is_ok_and(&mut may_hold)
        {
            return Err(BodyError::TooLarge);
        }
        let mut body = Vec::new();
        while let Some(bytes) = self.next(wire).await? {
            if !may_hold(body.len() + bytes.len()) {
                return Err(BodyError::TooLarge);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }

    /// Uses what is buffered; `None` when there is too little of it or the body has ended.
    fn step(&mut self, wire: &mut Wire) -> Result<Option<Vec<u8>>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose if wire.buffered().is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(wire.take(usize::MAX))),
                State::Counted(left) => {
                    let bytes = take_counted(wire, left);
                    let left = left - bytes.len() as u64;
                    self.state = if left == 0 { State::Done } else { State::Counted(left) };
                    return Ok((!bytes.is_empty()).then_some(bytes));
                }
                State::Chunk(0) => {
                    if wire.buffered().len() < 2 {
                        return Ok(None);
                    }
                    if &wire.buffered()[..2] != b"\r\n" {
                        return Err(BodyError::Malformed);
                    }
                    wire.consume(2);
                    self.state = State::Size;
                }
                State::Chunk(left) => {
                    let bytes = take_counted(wire, left);
                    self.state = State::Chunk(left - bytes.len() as u64);
                    return Ok((!bytes.is_empty()).then_some(bytes));
                }
                State::Size => match read_size(wire)? {
                    Some(0) => self.state = State::Trailers(0),
                    Some(size) => self.state = State::Chunk(size),
                    None => return Ok(None),
                },
                State::Trailers(skipped) => match skip_trailer(wire, skipped)? {
                    Some(0) => self.state = State::Done,
                    Some(length) => self.state = State::Trailers(skipped + length),
                    None => return Ok(None),
                },
            }
        }
    }
}

fn take_counted(wire: &mut Wire, left: u64) -> Vec<u8> {
    wire.take(usize::try_from(left).unwrap_or(usize::MAX))
}

fn read_size(wire: &mut Wire) -> Result<Option<u64>, BodyError> {
    let buffered = wire.buffered();
    // `httparse` reads a line without digits as 0.
    if buffered.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(BodyError::Malformed);
    }
    match httparse::parse_chunk_size(buffered) {
        Ok(httparse::Status::Complete((length, size))) => {
            if has_control_byte(&buffered[..length - LINE_END.len()]) {
                return Err(BodyError::Malformed);
            }
            wire.consume(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if wire.buffered().len() < MAX_SIZE_LINE => Ok(None),
        _ => Err(BodyError::Malformed),
    }
}

/// Whether a line holds a control byte other than a tab. `httparse` allows them in chunk extensions, where a line
/// feed would end the line for other readers.
fn has_control_byte(line: &[u8]) -> bool {
    line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t')
}

/// Drops a trailer field after others of so many bytes. Returns its length; 0 at the end of the section, `None` if
/// it has not arrived whole.
fn skip_trailer(wire: &mut Wire, skipped: usize) -> Result<Option<usize>, BodyError> {
    let buffered = wire.buffered();
    let end = buffered.windows(LINE_END.len()).position(|window| window == LINE_END);
    if skipped + end.unwrap_or(buffered.len()) > MAX_TRAILERS {
        return Err(BodyError::Malformed);
    }
    let Some(end) = end else { return Ok(None) };
    wire.consume(end + LINE_END.len());
    Ok(Some(if end == 0 { 0 } else { end + LINE_END.len() }))
}
