//! Decides which connections to replicas are pooled, and which requests may reuse one.
//!
//! A pooled connection saves a handshake, but it may have been closed, or may pass no data any
//! more, and then it is unknown whether a request that was sent on it has run. A request that must
//! run at most once can't be sent again, so it is only sent on a new connection, whose handshake
//! has just shown that it works. A retryable one is sent again if a pooled connection breaks.

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
    /// Maximum idle time of a pooled connection.
    pub max_idle: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        ConnectionSettings { is_enabled: true, max_idle: Duration::from_secs(8) }
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

    /// Maximum idle time of a connection to a service.
    pub fn max_idle(&self, service: &str, now: Time) -> Duration {
        let max_idle = self.cfg.max_idle;
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
        let max_idle = self.max_idle(service, now).min(announced);
        is_retryable && self.cfg.is_enabled && connection.idle < max_idle
    }

    /// Records that a connection was stale after an idle time.
    pub fn on_stale_connection(&mut self, service: &str, idle: Duration, now: Time) {
        let max_idle = self.max_idle(service, now);
        let idle = idle.min(max_idle);
        self.stale.insert(service.to_owned(), StaleConnection { idle, at: now });
    }
}
