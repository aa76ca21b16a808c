//! Bodies that produce their bytes piece by piece.

use futures_lite::AsyncBufRead;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Copies what a buffered body has into `output`: its `poll_read`.
///
/// # Errors
/// The body's own.
pub fn poll_read_buffered<B: AsyncBufRead + Unpin>(
    body: &mut B,
    context: &mut Context<'_>,
    output: &mut [u8],
) -> Poll<io::Result<usize>> {
    let available = match Pin::new(&mut *body).poll_fill_buf(context) {
        Poll::Ready(Ok(available)) => available,
        Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
        Poll::Pending => return Poll::Pending,
    };
    let count = available.len().min(output.len());
    output[..count].copy_from_slice(&available[..count]);
    Pin::new(body).consume(count);
    Poll::Ready(Ok(count))
}
