//! Connections to back ends, kept for reuse.

use async_net::TcpStream;
use eyre::Result;
use futures_lite::future;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Idle connections kept per back end.
const MAX_IDLE: usize = 64;
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections by address.
#[derive(Default)]
pub struct HttpPool {
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl HttpPool {
    /// A connection, kept or new.
    ///
    /// # Errors
    /// When the back end can't be connected to in time; no byte was sent.
    pub async fn take(&self, address: SocketAddr) -> Result<TcpStream> {
        while let Some(stream) = self.pop(address) {
            if is_quiet(&stream).await {
                return Ok(stream);
            }
        }
        connect(address).await
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(stream);
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<TcpStream> {
        self.idle.lock().unwrap().get_mut(&address)?.pop()
    }
}

/// A new connection.
///
/// # Errors
/// When the back end can't be connected to in time.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream =
        crate::frames::within(CONNECT_TIMEOUT, async { Ok(TcpStream::connect(address).await?) })
            .await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether the other side has neither closed nor sent anything.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    future::poll_once(stream.peek(&mut byte)).await.is_none()
}
