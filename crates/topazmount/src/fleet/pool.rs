//! Pool of idle connections to replicas.

use crate::http1::{Framing, ResponseHead, Wire};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use topazmount_gateway::{IdleConnection, ResponseEnd};
use topazmount_types::Time;

/// Minimum time between two sweeps that close connections which were idle too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An idle connection.
struct PooledConnection {
    wire: Wire,
    idle_since: Time,
    /// Idle timeout that the replica announced.
    announced: Option<Duration>,
}

/// What a response head says about reuse of its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeepAliveHint {
    is_framed: bool,
    closes: bool,
    announced: Option<Duration>,
}

impl KeepAliveHint {
    /// Reads a response head.
    pub(super) fn from_head(head: &ResponseHead, framing: Framing) -> Self {
        KeepAliveHint {
            is_framed: framing != Framing::UntilClose,
            closes: head.closes(),
            announced: head.idle_time(),
        }
    }

    /// State of the connection after the body was read.
    pub(super) fn response_end(&self, wire: &Wire, is_request_sent: bool) -> ResponseEnd {
        ResponseEnd {
            is_request_sent,
            is_framed: self.is_framed,
            closes: self.closes || wire.has_ended(),
            has_extra_bytes: !wire.buffered().is_empty(),
        }
    }
}

/// Limits of the pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolLimits {
    /// Maximum number of idle connections to a replica; the oldest ones beyond it are closed.
    pub(super) max_connections: usize,
    /// Maximum idle time of a connection.
    pub(super) max_idle: Duration,
}

/// All idle connections of a gateway.
#[derive(Default)]
pub(super) struct Pool {
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    /// Connections by incarnation name, so that none to an earlier incarnation is used for the next.
    by_replica: HashMap<String, Vec<PooledConnection>>,
    swept_at: Time,
}

impl Pool {
    /// Adds a connection and closes the ones beyond the limits.
    pub(super) fn put(
        &self,
        incarnation: &str,
        wire: Wire,
        keep_alive: KeepAliveHint,
        limits: PoolLimits,
        now: Time,
    ) {
        let mut state = self.state.lock().unwrap();
        state.sweep(limits.max_idle, now);
        let connections = state.by_replica.entry(incarnation.to_owned()).or_default();
        connections.push(PooledConnection {
            wire,
            idle_since: now,
            announced: keep_alive.announced,
        });
        let surplus = connections.len().saturating_sub(limits.max_connections);
        connections.drain(..surplus);
    }

    /// Takes the most recently used connection to a replica, with its idle time, if it may be used.
    /// Connections that were closed or on which data arrived while idle are dropped.
    pub(super) async fn take(
        &self,
        incarnation: &str,
        now: Time,
        may_use: impl Fn(IdleConnection) -> bool,
    ) -> Option<(Wire, Duration)> {
        loop {
            let PooledConnection { mut wire, idle_since, .. } = {
                let mut state = self.state.lock().unwrap();
                let connections = state.by_replica.get_mut(incarnation)?;
                let last = connections.last()?;
                let connection = IdleConnection {
                    idle: now.since(last.idle_since),
                    announced_timeout: last.announced,
                };
                if !may_use(connection) {
                    return None;
                }
                connections.pop()?
            };
            // The read is pending if the connection is open and no data has arrived.
            if futures_lite::future::poll_once(wire.fill()).await.is_none() {
                return Some((wire, now.since(idle_since)));
            }
        }
    }

    /// Closes the idle connections to an incarnation.
    pub(super) fn close(&self, incarnation: &str) {
        self.state.lock().unwrap().by_replica.remove(incarnation);
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        self.state.lock().unwrap().by_replica.clear();
    }

    /// Number of idle connections.
    pub(super) fn count(&self) -> usize {
        self.state.lock().unwrap().by_replica.values().map(Vec::len).sum()
    }
}

impl PoolState {
    fn sweep(&mut self, max_idle: Duration, now: Time) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for connections in self.by_replica.values_mut() {
            connections.retain(|connection| {
                now.since(connection.idle_since)
                    < connection.announced.unwrap_or(max_idle).min(max_idle)
            });
        }
        self.by_replica.retain(|_, connections| !connections.is_empty());
    }
}
