//! Heads of requests and responses.

use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// Most header fields in one head.
const MAX_FIELDS: usize = 128;

/// Why a head can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// It breaks the protocol's grammar.
    #[error("the head is malformed")]
    Malformed,
    /// The body's length is given twice, absurdly, or in a way that is not known.
    #[error("the length of the body is ambiguous")]
    Framing,
    /// The sender goes on in another protocol, which was not asked for (RFC 9110, 7.8).
    #[error("the head switches to another protocol")]
    SwitchesProtocol,
}

/// Header fields in their order; names keep their case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
    /// The first value of a field, where it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        let (_, value) = fields.next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// All values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let fields = self.0.iter().filter(move |(field, _)| field.eq_ignore_ascii_case(name));
        fields.map(|(_, value)| value.as_slice())
    }

    /// Whether a comma-separated field holds a word.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        self.all(name).any(|value| {
            let text = std::str::from_utf8(value).unwrap_or_default();
            text.split(',').any(|one| one.trim().eq_ignore_ascii_case(word))
        })
    }
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Target as sent: path and query.
    pub target: String,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Fields.
    pub headers: Headers,
}

impl RequestHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// One value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| match pair.split_once('=') {
            Some((key, value)) if key == name => Some(value),
            _ => None,
        })
    }

    /// The host without its port.
    pub fn host(&self) -> Option<&str> {
        let host = self.headers.get("host")?;
        Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
    }

    /// Whether the client keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        if self.minor_version == 0 {
            return self.headers.has_word("connection", "keep-alive");
        }
        !self.headers.has_word("connection", "close")
    }

    /// Reads a head from the begin of `bytes`; `None` when it is not whole yet. Returns its length
    /// too.
    ///
    /// # Errors
    /// [`HeadError::Malformed`], also for bare line feeds and folded fields.
    pub fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HeadError::Malformed),
        };
        check_lines(&bytes[..length])?;
        let head = RequestHead {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            minor_version: request.version.unwrap_or(1),
            headers: owned(request.headers),
        };
        if head.minor_version == 1 && head.headers.all("host").count() != 1 {
            return Err(HeadError::Malformed);
        }
        Ok(Some((head, length)))
    }
}

/// Status code of a response, from 100 to 599 (RFC 9110, 15).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status(u16);

impl Status {
    /// `None` if the code is out of range.
    pub fn new(code: u16) -> Option<Self> {
        (100..600).contains(&code).then_some(Status(code))
    }

    /// The code.
    pub fn code(self) -> u16 {
        self.0
    }

    /// Whether the connection goes on in another protocol.
    pub fn switches_protocol(self) -> bool {
        self.0 == 101
    }

    /// Whether another response follows to the same request.
    pub fn is_interim(self) -> bool {
        self.0 < 200
    }

    /// Whether the request succeeded.
    pub fn is_success(self) -> bool {
        (200..300).contains(&self.0)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: Status,
    /// Reason phrase.
    pub reason: String,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the sender closes the connection after this answer.
    pub fn closes(&self) -> bool {
        self.minor_version == 0 || self.headers.has_word("connection", "close")
    }

    /// Time for which the sender keeps the connection open at rest, where it says so (`Keep-Alive:
    /// timeout=SECONDS`).
    pub fn idle_time(&self) -> Option<Duration> {
        let words = self.headers.get("keep-alive")?.split(',');
        let named = words.filter_map(|word| word.trim().strip_prefix("timeout="));
        named.filter_map(|seconds| seconds.trim().parse().ok()).map(Duration::from_secs).min()
    }

    /// Reads a head from the begin of `bytes`; `None` when it is not whole yet. Returns its length
    /// too.
    ///
    /// # Errors
    /// [`HeadError::Malformed`], also for a status out of range, bare line feeds and folded fields.
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HeadError::Malformed),
        };
        check_lines(&bytes[..length])?;
        let status = response.code.and_then(Status::new).ok_or(HeadError::Malformed)?;
        let head = ResponseHead {
            status,
            reason: response.reason.unwrap_or_default().to_owned(),
            minor_version: response.version.unwrap_or(1),
            headers: owned(response.headers),
        };
        Ok(Some((head, length)))
    }
}

fn owned(fields: &[httparse::Header<'_>]) -> Headers {
    Headers(fields.iter().map(|field| (field.name.to_owned(), field.value.to_vec())).collect())
}

/// Every line of a head ends with carriage return and line feed, and none begins with a blank. A bare line feed
/// may be the end of a line (RFC 9112, 2.2) or a byte of a value, which would make the rest of it a field.
fn check_lines(head: &[u8]) -> Result<(), HeadError> {
    for (position, byte) in head.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let is_bare = position == 0 || head[position - 1] != b'\r';
        let is_folded = matches!(head.get(position + 1), Some(b' ' | b'\t'));
        if is_bare || is_folded {
            return Err(HeadError::Malformed);
        }
    }
    Ok(())
}
