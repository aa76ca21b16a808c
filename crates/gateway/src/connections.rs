//! Decides which connections to replicas are pooled, and which requests may reuse one.
//!
//! A pooled connection saves a handshake, but the replica may have closed it, and then it is
//! unknown whether a request that was sent on it has run. A request that must run at most once is
//! therefore only sent on a recently used connection; a retryable one is sent again on a new
//! connection if a pooled one breaks.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::Time;

/// Share of a replica's announced idle timeout for which its connection is used, so that a request
/// arrives before the replica closes.
const ANNOUNCED_TIMEOUT_SHARE: f64 = 0.6;
/// Time after which the idle time learned from a stale connection doubles.
const STALE_DOUBLING_TIME: Duration = Duration::from_secs(10);

/// Settings of connection reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Whether connections are pooled.
    pub is_enabled: bool,
    /// Maximum idle time of a connection for a request that must run at most once.
    pub max_idle_non_retryable: Duration,
    /// Maximum idle time of a connection for a retryable request.
    pub max_idle: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        ConnectionSettings {
            is_enabled: true,
            max_idle_non_retryable: Duration::from_secs(1),
            max_idle: Duration::from_secs(8),
        }
    }
}

/// State of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// Whether the whole request was sent.
    pub is_request_sent: bool,
    /// Whether the response ended by its own framing rather than by the end of the connection.
    pub is_framed: bool,
    /// Whether either side closes the connection, explicitly or by its protocol version.
    pub closes: bool,
    /// Whether bytes followed the response.
    pub has_extra_bytes: bool,
}

impl ResponseEnd {
    /// Whether the connection can be reused: nothing is outstanding in either direction.
    pub fn is_clean(&self) -> bool {
        self.is_request_sent && self.is_framed && !self.closes && !self.has_extra_bytes
    }
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// Time since its last response.
    pub idle: Duration,
    /// Idle timeout that the replica announced, if any.
    pub announced_timeout: Option<Duration>,
}

/// Idle time at which a connection to a service was found stale.
#[derive(Clone, Copy, Debug)]
struct StaleConnection {
    idle: Duration,
    at: Time,
}

/// Decides on the reuse of connections. Invariant: a connection is reused only after a complete
/// response.
#[derive(Clone, Debug, Default)]
pub struct ConnectionReuse {
    cfg: ConnectionSettings,
    stale: HashMap<String, StaleConnection>,
}

impl ConnectionReuse {
    /// Changes the settings.
    pub fn set_settings(&mut self, cfg: ConnectionSettings) {
        self.cfg = cfg;
    }

    /// Whether a connection may be pooled after a response.
    pub fn may_pool(&self, end: ResponseEnd) -> bool {
        self.cfg.is_enabled && end.is_clean()
    }

    /// Maximum idle time of a connection to a service for a request.
    pub fn max_idle(&self, service: &str, is_retryable: bool, now: Time) -> Duration {
        let max_idle =
            if is_retryable { self.cfg.max_idle } else { self.cfg.max_idle_non_retryable };
        let Some(stale) = self.stale.get(service) else { return max_idle };
        let doublings = now.since(stale.at).as_secs_f64() / STALE_DOUBLING_TIME.as_secs_f64();
        max_idle.min(stale.idle.mul_f64(0.5 * 2f64.powf(doublings.min(16.0))))
    }

    /// Whether a request may be sent on an idle connection to a service.
    pub fn may_reuse(
        &self,
        service: &str,
        connection: IdleConnection,
        is_retryable: bool,
        now: Time,
    ) -> bool {
        let announced = connection
            .announced_timeout
            .map_or(Duration::MAX, |time| time.mul_f64(ANNOUNCED_TIMEOUT_SHARE));
        let max_idle = self.max_idle(service, is_retryable, now).min(announced);
        self.cfg.is_enabled && connection.idle < max_idle
    }

    /// Records that a connection was stale after an idle time.
    pub fn on_stale_connection(&mut self, service: &str, idle: Duration, now: Time) {
        let max_idle = self.max_idle(service, true, now);
        let idle = idle.min(max_idle);
        self.stale.insert(service.to_owned(), StaleConnection { idle, at: now });
    }
}
