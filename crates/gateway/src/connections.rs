//! Which connections to replicas are kept, and which requests may be sent on a kept one.
//!
//! A kept connection saves a handshake, and costs certainty: a replica may have forgotten it or may
//! be gone, and then nothing tells whether a request that was sent on it has run. So a request that
//! must run at most once is sent only on a connection that was in use a moment ago; one that may be
//! repeated is sent again on a new connection when a kept one breaks.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::Time;

/// Part of the idle time that a replica announces for which its connection is used: what is sent
/// must arrive before the replica closes.
const ANNOUNCED_SHARE: f64 = 0.6;
/// Time after which a replica's early forgetting is believed half as strictly.
const FORGIVENESS: Duration = Duration::from_secs(10);

/// Settings of kept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Whether any are kept.
    pub is_enabled: bool,
    /// Longest idle time before a request that must run at most once.
    pub max_idle_non_retryable: Duration,
    /// Longest idle time before a request that may be repeated.
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

/// How an answer left its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// Whether the replica was sent the whole request.
    pub is_request_sent: bool,
    /// Whether the answer ended before the connection did, as its own framing says.
    pub is_framed: bool,
    /// Whether either side said that it closes, or speaks a version that does.
    pub closes: bool,
    /// Whether bytes came after the answer.
    pub has_extra_bytes: bool,
}

impl ResponseEnd {
    /// Whether the connection is as good as new: nothing is due on it, in either direction.
    pub fn is_clean(&self) -> bool {
        self.is_request_sent && self.is_framed && !self.closes && !self.has_extra_bytes
    }
}

/// A connection at rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// Time since its last answer.
    pub idle: Duration,
    /// Idle time after which the replica says that it closes, if it says so.
    pub announced_timeout: Option<Duration>,
}

/// Shortest idle time at which replicas of a service had forgotten a connection.
#[derive(Clone, Copy, Debug)]
struct Forgotten {
    idle: Duration,
    at: Time,
}

/// Decides on kept connections. Invariant: a connection is used again only after a whole answer
/// whose end is beyond doubt.
#[derive(Clone, Debug, Default)]
pub struct ConnectionReuse {
    cfg: ConnectionSettings,
    forgotten: HashMap<String, Forgotten>,
}

impl ConnectionReuse {
    /// Changes the settings.
    pub fn set_settings(&mut self, cfg: ConnectionSettings) {
        self.cfg = cfg;
    }

    /// Whether a connection may be kept after an answer.
    pub fn may_pool(&self, end: ResponseEnd) -> bool {
        self.cfg.is_enabled && end.is_clean()
    }

    /// Longest idle time of a connection to a service that a request may be sent on.
    pub fn max_idle(&self, service: &str, is_repeatable: bool, now: Time) -> Duration {
        let most = if is_repeatable { self.cfg.max_idle } else { self.cfg.max_idle_non_retryable };
        let Some(forgotten) = self.forgotten.get(service) else { return most };
        let halves = now.since(forgotten.at).as_secs_f64() / FORGIVENESS.as_secs_f64();
        most.min(forgotten.idle.mul_f64(0.5 * 2f64.powf(halves.min(16.0))))
    }

    /// Whether a request may be sent on a kept connection to a service.
    pub fn may_reuse(
        &self,
        service: &str,
        connection: IdleConnection,
        is_repeatable: bool,
        now: Time,
    ) -> bool {
        let announced = connection
            .announced_timeout
            .map_or(Duration::MAX, |time| time.mul_f64(ANNOUNCED_SHARE));
        let most = self.max_idle(service, is_repeatable, now).min(announced);
        self.cfg.is_enabled && connection.idle < most
    }

    /// Notes that a replica had forgotten a connection after an idle time.
    pub fn on_stale_connection(&mut self, service: &str, idle: Duration, now: Time) {
        let before = self.max_idle(service, true, now);
        let idle = idle.min(before);
        self.forgotten.insert(service.to_owned(), Forgotten { idle, at: now });
    }
}
