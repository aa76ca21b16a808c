//! The calling side.

use super::head::ResponseHead;
use super::wire::Wire;
use crate::frames::within;
use async_net::TcpStream;
use eyre::{Result, eyre};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest head of an answer.
const MAX_ANSWER_HEAD: usize = 64 * 1024;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Vec<u8>,
}

/// Opens a connection.
///
/// # Errors
/// When it does not come up in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Wire> {
    let stream = within(limit, async { Ok(TcpStream::connect(address).await?) }).await?;
    Ok(Wire::new(stream))
}

/// Whether nobody listens at an address: a connection is refused in this time.
pub async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    match connect(address, limit).await {
        Ok(_) => false,
        Err(error) => error
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused),
    }
}

/// Reads the next head that is no interim answer.
///
/// # Errors
/// When the connection ends, or what comes is no answer.
pub async fn read_answer_head(wire: &mut Wire) -> Result<ResponseHead> {
    loop {
        if let Some((head, length)) = ResponseHead::parse(wire.buffered())? {
            wire.consume(length);
            if !(100..200).contains(&head.status) {
                return Ok(head);
            }
            continue;
        }
        if wire.buffered().len() > MAX_ANSWER_HEAD {
            return Err(eyre!("the head of the answer is too large"));
        }
        if wire.fill().await? == 0 {
            return Err(eyre!("the connection ended before an answer"));
        }
    }
}
