//! HTTP client for one replica or store that reuses its connection.

use super::dialect::HttpRequest;
use super::pool::KeepAliveHint;
use crate::frames::within;
use crate::http1::{ClientAnswer, Headers, Wire, connect, exchange, request_bytes};
use eyre::{Result, WrapErr};
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP client for one address.
pub(super) struct HttpClient {
    address: SocketAddr,
    idle_connection: Option<Wire>,
}

impl HttpClient {
    /// Creates a client for an address.
    ///
    /// # Errors
    /// If the address is invalid.
    pub(super) fn new(address: &str) -> Result<Self> {
        let address = address.parse().wrap_err_with(|| format!("invalid address {address}"))?;
        Ok(HttpClient { address, idle_connection: None })
    }

    /// Address that is called.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and reads the complete response, with a body of at most `max_bytes`. The first call
    /// of a client is sent once; a later one is sent again if the idle connection breaks.
    ///
    /// # Errors
    /// If no complete response arrives within `timeout`.
    pub(super) async fn call(
        &mut self,
        request: HttpRequest,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<ClientAnswer> {
        let mut headers = vec![("Host".to_owned(), self.address.to_string().into_bytes())];
        headers.extend(request.headers.into_iter().map(|(name, value)| (name, value.into_bytes())));
        let bytes =
            request_bytes(request.method, &request.target, &Headers(headers), &request.body);
        within(timeout, async {
            if let Some(wire) = self.idle_connection.take()
                && let Ok(response) = self.exchange(wire, request.method, &bytes, max_bytes).await
            {
                return Ok(response);
            }
            let wire = connect(self.address, None, timeout).await?;
            self.exchange(wire, request.method, &bytes, max_bytes).await
        })
        .await
    }

    async fn exchange(
        &mut self,
        mut wire: Wire,
        method: &str,
        bytes: &[u8],
        max_bytes: usize,
    ) -> Result<ClientAnswer> {
        let answer = exchange(&mut wire, method, bytes, max_bytes).await?;
        let keep_alive = KeepAliveHint::from_head(&answer.head, answer.framing);
        if keep_alive.response_end(&wire, true).is_clean() {
            self.idle_connection = Some(wire);
        }
        Ok(answer)
    }
}
