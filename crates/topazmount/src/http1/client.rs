//! The calling side.

use super::body::BodyReader;
use super::framing::{Framing, response_framing};
use super::head::{HeadError, Headers, ResponseHead};
use super::wire::Wire;
use super::write::request_bytes;
use crate::frames::within;
use async_io::Async;
use async_net::TcpStream;
use eyre::{Report, Result, eyre};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Largest head of an answer.
const MAX_ANSWER_HEAD: usize = 64 * 1024;
/// Interim responses before an answer that are skipped.
const MAX_INTERIM_RESPONSES: usize = 16;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// Head.
    pub head: ResponseHead,
    /// Framing of the body.
    pub framing: Framing,
    /// Body.
    pub body: Vec<u8>,
}

impl ClientAnswer {
    /// Whether the answer itself says where its body ends. One that ends with its connection may have been cut
    /// off by the end of its sender.
    pub fn is_delimited(&self) -> bool {
        self.framing != Framing::UntilClose
    }
}

/// Opens a connection from a local address; `None` lets the system choose it.
///
/// # Errors
/// When it does not come up in time.
pub async fn connect(address: SocketAddr, local: Option<IpAddr>, limit: Duration) -> Result<Wire> {
    let connecting = async {
        Ok(match local {
            Some(local) => connect_from(local, address).await?,
            None => TcpStream::connect(address).await?,
        })
    };
    Ok(Wire::new(within(limit, connecting).await?))
}

async fn connect_from(local: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(local, 0).into())?;
    if let Err(error) = socket.connect(&address.into())
        && error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error())
    {
        return Err(error);
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(TcpStream::from(stream)),
    }
}

/// Whether connecting failed because nobody listens at the address.
pub fn is_refusal(error: &Report) -> bool {
    error
        .downcast_ref::<io::Error>()
        .is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Reads the next head that is no interim answer.
///
/// # Errors
/// When the connection ends, or what comes is no answer.
pub async fn read_answer_head(wire: &mut Wire) -> Result<ResponseHead> {
    let mut interim = 0;
    loop {
        if let Some((head, length)) = ResponseHead::parse(wire.buffered())? {
            wire.consume(length);
            if head.status.switches_protocol() {
                return Err(HeadError::SwitchesProtocol.into());
            }
            if !head.status.is_interim() {
                return Ok(head);
            }
            interim += 1;
            if interim > MAX_INTERIM_RESPONSES {
                return Err(eyre!("{interim} interim responses came before an answer"));
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

/// Sends a request and reads the whole answer, with a body of at most `max_bytes`.
///
/// # Errors
/// When the connection ends first, or what comes is no answer or too large.
pub async fn exchange(
    wire: &mut Wire,
    method: &str,
    request: &[u8],
    max_bytes: usize,
) -> Result<ClientAnswer> {
    wire.write_all(request).await?;
    let head = read_answer_head(wire).await?;
    let framing = response_framing(&head, method)?;
    let body = BodyReader::new(framing).read_all(wire, max_bytes).await?;
    Ok(ClientAnswer { head, framing, body })
}

/// Gets a document of at most `max_bytes` on a connection of its own.
///
/// # Errors
/// When it does not arrive whole, with status 200, within `limit`.
pub async fn get(
    address: SocketAddr,
    target: &str,
    max_bytes: usize,
    limit: Duration,
) -> Result<Vec<u8>> {
    within(limit, async {
        let mut wire = connect(address, None, limit).await?;
        let headers = Headers(vec![("Host".to_owned(), address.to_string().into_bytes())]);
        let request = request_bytes("GET", target, &headers, b"");
        let answer = exchange(&mut wire, "GET", &request, max_bytes).await?;
        if answer.head.status.code() != 200 || !answer.is_delimited() {
            return Err(eyre!("status {}, {:?}", answer.head.status, answer.framing));
        }
        Ok(answer.body)
    })
    .await
}
