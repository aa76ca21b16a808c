//! A small HTTP server for stand-ins, with streamed bodies.

use async_channel::Receiver;
use async_net::{TcpListener, TcpStream};
use eyre::Result;
use futures_lite::{AsyncBufRead, AsyncRead, FutureExt, Stream};
use http_types::{Request, Response, StatusCode};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use topazmount::Executor;
use topazmount::body::poll_read_buffered;

/// Answers requests at `address` for as long as the executor runs.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve<H, F>(executor: &Executor, address: SocketAddr, handler: H) -> Result<SocketAddr>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let spawner = executor.clone();
    let accepting = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            spawner.spawn(serve_connection(stream, handler)).detach();
        }
    };
    executor.spawn(accepting).detach();
    Ok(address)
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let endpoint = |request| {
        let answering = handler(request);
        async move { http_types::Result::Ok(answering.await) }
    };
    // A connection that breaks needs no report: the other side sees it too.
    let _ = async_h1::accept(stream, endpoint).await;
}

/// An answer with a JSON body.
pub fn json_answer(status: u16, body: String) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(body);
    response.set_content_type(http_types::mime::JSON);
    response
}

/// A body that is sent piece by piece as it arrives on a channel.
pub struct ChannelBody<G> {
    pieces: Pin<Box<Receiver<Vec<u8>>>>,
    piece: Vec<u8>,
    read: usize,
    /// Dropped with the body, when it was sent or the reader went away.
    _guard: Box<G>,
}

impl<G> ChannelBody<G> {
    /// A body of the pieces of a channel.
    pub fn new(pieces: Receiver<Vec<u8>>, guard: G) -> Self {
        ChannelBody {
            pieces: Box::pin(pieces),
            piece: Vec::new(),
            read: 0,
            _guard: Box::new(guard),
        }
    }
}

impl<G> AsyncBufRead for ChannelBody<G> {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.read == this.piece.len() {
            match this.pieces.as_mut().poll_next(context) {
                Poll::Ready(Some(piece)) => {
                    this.piece = piece;
                    this.read = 0;
                }
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(&this.piece[this.read..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().read += amount;
    }
}

impl<G> AsyncRead for ChannelBody<G> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self.get_mut(), context, output)
    }
}

/// Waits for a time or for a signal on a channel, whichever comes first.
pub async fn wait_until(deadline: Option<std::time::Instant>, signal: &Receiver<()>) {
    let timer = async {
        match deadline {
            Some(deadline) => drop(async_io::Timer::at(deadline).await),
            None => futures_lite::future::pending().await,
        }
    };
    let woken = async {
        let _ = signal.recv().await;
    };
    timer.or(woken).await;
}
