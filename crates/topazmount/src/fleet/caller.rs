//! Calls to replicas and stores, on a connection that is kept where both sides allow it.

use super::dialect::HttpRequest;
use super::pool::ConnectionEnd;
use crate::frames::within;
use crate::http1::{
    BodyReader, ClientAnswer, Headers, Wire, connect, read_answer_head, request_bytes,
    response_framing,
};
use eyre::{Result, WrapErr};
use std::net::SocketAddr;
use std::time::Duration;

/// Makes calls to one address.
pub(super) struct Caller {
    address: SocketAddr,
    kept: Option<Wire>,
}

impl Caller {
    /// A caller of an address.
    ///
    /// # Errors
    /// When the address can't be read.
    pub(super) fn new(address: &str) -> Result<Self> {
        let address = address.parse().wrap_err_with(|| format!("the address {address}"))?;
        Ok(Caller { address, kept: None })
    }

    /// Whom it calls.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call and reads the whole answer of at most `most` bytes. The first call of a caller
    /// goes out once at most; a later one may go out twice, where its kept connection breaks.
    ///
    /// # Errors
    /// When no whole answer comes within `limit`.
    pub(super) async fn call(
        &mut self,
        req: HttpRequest,
        most: usize,
        limit: Duration,
    ) -> Result<ClientAnswer> {
        let mut fields = vec![("Host".to_owned(), self.address.to_string().into_bytes())];
        fields.extend(req.headers.into_iter().map(|(name, value)| (name, value.into_bytes())));
        let bytes = request_bytes(req.method, &req.target, &Headers(fields), &req.body);
        within(limit, async {
            if let Some(wire) = self.kept.take()
                && let Ok(answer) = self.exchange(wire, req.method, &bytes, most).await
            {
                return Ok(answer);
            }
            let wire = connect(self.address, limit).await?;
            self.exchange(wire, req.method, &bytes, most).await
        })
        .await
    }

    async fn exchange(
        &mut self,
        mut wire: Wire,
        method: &str,
        bytes: &[u8],
        most: usize,
    ) -> Result<ClientAnswer> {
        wire.write_all(bytes).await?;
        let head = read_answer_head(&mut wire).await?;
        let framing = response_framing(&head, method)?;
        let body = BodyReader::new(framing).read_all(&mut wire, most).await?;
        if ConnectionEnd::of(&head, framing).answer_end(&wire, true).is_clean() {
            self.kept = Some(wire);
        }
        Ok(ClientAnswer { head, body })
    }
}
