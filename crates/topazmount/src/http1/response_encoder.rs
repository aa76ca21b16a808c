//! The bytes of the one response to a request.

use super::LAST_CHUNK;
use super::write::chunk;
use std::error::Error;
use std::fmt;

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDelivery {
    /// By its length.
    Length(usize),
    /// Chunked transfer encoding.
    Chunked,
    /// By the end of the connection, for HTTP/1.0 clients.
    UntilClose,
}

/// Bytes that have no place at this point of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfOrder {
    /// A head, after the response has started.
    SecondHead,
    /// A part of a body, before the response has started.
    BodyBeforeHead,
    /// A part of a body, after the response has ended.
    BodyAfterEnd,
}

impl fmt::Display for OutOfOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OutOfOrder::SecondHead => "a head within a response",
            OutOfOrder::BodyBeforeHead => "a body before the head of its response",
            OutOfOrder::BodyAfterEnd => "a body after the end of its response",
        })
    }
}

impl Error for OutOfOrder {}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    NotStarted,
    InBody(BodyDelivery),
    Ended,
}

/// Encodes one response and collects its bytes until they are taken. There is one head, and nothing
/// follows the end of the body.
#[derive(Debug, Default)]
pub struct ResponseEncoder {
    state: State,
    bytes: Vec<u8>,
}

impl ResponseEncoder {
    /// Whether a head was added. The client may have received a part of the response.
    pub fn has_started(&self) -> bool {
        self.state != State::NotStarted
    }

    /// Adds a whole response, with its head.
    ///
    /// # Errors
    /// If the response has started.
    pub fn add_whole(&mut self, response: &[u8]) -> Result<(), OutOfOrder> {
        self.start(response, State::Ended)
    }

    /// Adds the head of a response whose body follows in parts.
    ///
    /// # Errors
    /// If the response has started.
    pub fn add_head(&mut self, head: &[u8], delivery: BodyDelivery) -> Result<(), OutOfOrder> {
        self.start(head, State::InBody(delivery))
    }

    /// Adds a part of the body.
    ///
    /// # Errors
    /// If the response has not started, or has ended.
    pub fn add_body(&mut self, part: &[u8]) -> Result<(), OutOfOrder> {
        match self.delivery()? {
            // An empty chunk would end the body.
            BodyDelivery::Chunked if part.is_empty() => {}
            BodyDelivery::Chunked => self.bytes.extend_from_slice(&chunk(part)),
            BodyDelivery::Length(_) | BodyDelivery::UntilClose => {
                self.bytes.extend_from_slice(part)
            }
        }
        Ok(())
    }

    /// Ends the body.
    ///
    /// # Errors
    /// If the response has not started, or has ended.
    pub fn end(&mut self) -> Result<(), OutOfOrder> {
        if self.delivery()? == BodyDelivery::Chunked {
            self.bytes.extend_from_slice(LAST_CHUNK);
        }
        self.state = State::Ended;
        Ok(())
    }

    /// Bytes that were added and not taken.
    pub fn pending(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes the pending bytes.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    fn start(&mut self, bytes: &[u8], next: State) -> Result<(), OutOfOrder> {
        if self.has_started() {
            return Err(OutOfOrder::SecondHead);
        }
        self.state = next;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn delivery(&self) -> Result<BodyDelivery, OutOfOrder> {
        match self.state {
            State::NotStarted => Err(OutOfOrder::BodyBeforeHead),
            State::InBody(delivery) => Ok(delivery),
            State::Ended => Err(OutOfOrder::BodyAfterEnd),
        }
    }
}
