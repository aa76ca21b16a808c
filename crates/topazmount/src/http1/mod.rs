//! HTTP/1.1 messages over a TCP stream, for forwarding without change.
//!
//! `httparse` reads heads and chunk sizes. Everything that decides how long a message is stands in
//! `framing`: a message whose length could be read in two ways is refused (RFC 9112, 6.3 and
//! 11.2), since a replica might read it the other way.

mod body;
mod client;
mod framing;
mod head;
mod response_encoder;
mod retry_after;
mod segments;
mod wire;
mod write;

pub use body::{BodyError, BodyReader};
pub use client::{ClientAnswer, connect, exchange, get, is_refusal, read_answer_head};
pub use framing::{Framing, request_framing, response_framing};
pub use head::{HeadError, Headers, RequestHead, ResponseHead, Status};
pub use response_encoder::{BodyDelivery, OutOfOrder, ResponseEncoder};
pub use retry_after::retry_after;
pub use segments::{LAST_SEGMENT, SegmentDecoder, segments};
pub use wire::Wire;
pub use write::{answer_head, chunk, request_bytes, simple_answer};

/// Closing chunk of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
