//! Connections to replicas that rest between two requests.

use crate::http1::{Framing, ResponseHead, Wire};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use topazmount_gateway::{IdleConnection, ResponseEnd};
use topazmount_types::Time;

/// Least time between two looks through all connections for those that have rested too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A connection and how it came to rest.
struct Resting {
    wire: Wire,
    since: Time,
    announced: Option<Duration>,
}

/// What an answer said of its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionEnd {
    is_framed: bool,
    closes: bool,
    announced: Option<Duration>,
}

impl ConnectionEnd {
    /// Reads an answer's head.
    pub(super) fn of(head: &ResponseHead, framing: Framing) -> Self {
        ConnectionEnd {
            is_framed: framing != Framing::UntilClose,
            closes: head.closes(),
            announced: head.idle_time(),
        }
    }

    /// What is left of the connection once the body was read.
    pub(super) fn answer_end(&self, wire: &Wire, is_request_sent: bool) -> ResponseEnd {
        ResponseEnd {
            is_request_sent,
            is_framed: self.is_framed,
            closes: self.closes || wire.has_ended(),
            has_extra_bytes: !wire.buffered().is_empty(),
        }
    }
}

/// What may rest.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestBounds {
    /// Connections to one replica; of more the oldest are closed.
    pub(super) most: usize,
    /// Time after which one is closed.
    pub(super) longest: Duration,
}

/// All connections at rest of one gateway.
#[derive(Default)]
pub(super) struct Pool {
    resting: Mutex<Places>,
}

#[derive(Default)]
struct Places {
    /// By the names of incarnations: one to an earlier incarnation carries nothing that is meant for the next.
    by_replica: HashMap<String, Vec<Resting>>,
    swept_at: Time,
}

impl Pool {
    /// Puts a connection to rest, and closes what is beyond the bounds.
    pub(super) fn put(
        &self,
        incarnation: &str,
        wire: Wire,
        end: ConnectionEnd,
        bounds: RestBounds,
        now: Time,
    ) {
        let mut places = self.resting.lock().unwrap();
        places.sweep(bounds.longest, now);
        let resting = places.by_replica.entry(incarnation.to_owned()).or_default();
        resting.push(Resting { wire, since: now, announced: end.announced });
        let surplus = resting.len().saturating_sub(bounds.most);
        resting.drain(..surplus);
    }

    /// Takes the connection to a replica that was used last and may be used, with its idle time.
    /// One on which anything came meanwhile, or that was closed, is dropped.
    pub(super) async fn take(
        &self,
        incarnation: &str,
        now: Time,
        may_use: impl Fn(IdleConnection) -> bool,
    ) -> Option<(Wire, Duration)> {
        loop {
            let Resting { mut wire, since, .. } = {
                let mut places = self.resting.lock().unwrap();
                let resting = places.by_replica.get_mut(incarnation)?;
                let last = resting.last()?;
                let connection = IdleConnection {
                    idle: now.since(last.since),
                    announced_timeout: last.announced,
                };
                if !may_use(connection) {
                    return None;
                }
                resting.pop()?
            };
            // Where nothing has come, reading waits.
            if futures_lite::future::poll_once(wire.fill()).await.is_none() {
                return Some((wire, now.since(since)));
            }
        }
    }

    /// Closes the connections to an incarnation that has ended.
    pub(super) fn close(&self, incarnation: &str) {
        self.resting.lock().unwrap().by_replica.remove(incarnation);
    }

    /// Number of connections at rest.
    pub(super) fn count(&self) -> usize {
        self.resting.lock().unwrap().by_replica.values().map(Vec::len).sum()
    }
}

impl Places {
    fn sweep(&mut self, longest: Duration, now: Time) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for resting in self.by_replica.values_mut() {
            resting
                .retain(|one| now.since(one.since) < one.announced.unwrap_or(longest).min(longest));
        }
        self.by_replica.retain(|_, resting| !resting.is_empty());
    }
}
