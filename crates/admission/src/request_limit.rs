//! Limits that replicas name for the requests of all their callers together.
//!
//! A limit holds for the incarnation that named it, from its first answer that names it until an answer to a later
//! request does not.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{Start, Time};

/// What the clocks of a replica and of this process may be apart where a limit is weighed against a start.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);
/// Incarnations remembered; of more, those that spoke the longest ago are forgotten.
const MOST_REMEMBERED: usize = 4_096;

/// Requests a second that a replica takes from all its callers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestLimit {
    milli_per_second: u32,
}

impl RequestLimit {
    /// A limit of so many requests a second; fractions below a thousandth are cut off.
    pub fn per_second(rate: f64) -> Self {
        RequestLimit { milli_per_second: (rate * 1_000.0) as u32 }
    }

    /// Requests a second.
    pub fn rate(self) -> f64 {
        f64::from(self.milli_per_second) / 1_000.0
    }
}

/// What is believed anew of an incarnation's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It names this limit.
    Set(RequestLimit),
    /// It names none any more.
    Removed,
}

/// What is known of an incarnation's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// The limit; `None` where it names none any more.
    pub limit: Option<RequestLimit>,
    /// When that was said.
    pub reported_at: Time,
    /// Until when no grant is to be had.
    exhausted_until: Time,
}

/// The limits that incarnations named, by the hashes of their names.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    named: HashMap<u64, LimitRecord>,
}

impl RequestLimits {
    /// Takes what an answer says of its replica's limit, if it names one; the answer is to a request that was sent at
    /// `sent_at`.
    ///
    /// Answers overtake each other. One to a request that was sent before the known word came may be older than it, so
    /// that it lowers a limit but neither raises nor ends one.
    pub fn record(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let known = self.named.get(&incarnation).copied();
        let Some(known) = known else {
            return self.set(incarnation, Some(limit?), now);
        };
        let may_be_older = sent_at < known.reported_at;
        match limit {
            _ if may_be_older && known.limit.is_none() => None,
            Some(limit) if may_be_older && known.limit <= Some(limit) => None,
            None if may_be_older => None,
            _ => self.set(incarnation, limit, now),
        }
    }

    /// Takes what another process was told of an incarnation's limit, and when. Returns what changed.
    pub fn record_update(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        reported_at: Time,
    ) -> Option<LimitChange> {
        let is_news =
            self.named.get(&incarnation).is_none_or(|known| known.reported_at < reported_at);
        is_news.then(|| self.set(incarnation, limit, reported_at)).flatten()
    }

    fn set(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        reported_at: Time,
    ) -> Option<LimitChange> {
        self.bound(incarnation);
        let named = LimitRecord { limit, reported_at, exhausted_until: Time::ZERO };
        let before = self.named.insert(incarnation, named).and_then(|before| before.limit);
        match limit {
            _ if before == limit => None,
            Some(limit) => Some(LimitChange::Set(limit)),
            None => Some(LimitChange::Removed),
        }
    }

    /// The limit of an incarnation.
    pub fn limit(&self, incarnation: u64) -> Option<RequestLimit> {
        self.named.get(&incarnation)?.limit
    }

    /// What is known of an incarnation's limit, if it ever named one.
    pub fn get(&self, incarnation: u64) -> Option<LimitRecord> {
        self.named.get(&incarnation).copied()
    }

    /// Incarnations that name a limit.
    pub fn active(&self) -> impl Iterator<Item = (u64, LimitRecord)> {
        let limited = self.named.iter().filter(|(_, named)| named.limit.is_some());
        limited.map(|(incarnation, named)| (*incarnation, *named))
    }

    /// Notes that no grant for an incarnation is to be had until a moment.
    pub fn set_exhausted_until(&mut self, incarnation: u64, until: Time) {
        if let Some(named) = self.named.get_mut(&incarnation) {
            named.exhausted_until = until;
        }
    }

    /// Time until a grant for an incarnation may be had; `None` where one may be had now, or none is needed.
    pub fn exhausted_for(&self, incarnation: u64, now: Time) -> Option<Duration> {
        let named = self.named.get(&incarnation).filter(|named| named.limit.is_some())?;
        (now < named.exhausted_until).then(|| named.exhausted_until.since(now))
    }

    /// How many incarnations name a limit.
    pub fn count(&self) -> usize {
        self.active().count()
    }

    /// Forgets an incarnation that has ended, but for what was heard after the start of the next one, which answered then.
    pub fn on_replaced(&mut self, incarnation: u64, next: u64, start: Start) {
        let Some(named) = self.named.remove(&incarnation) else { return };
        if named.reported_at + CLOCK_TOLERANCE >= start.as_time() {
            self.named.entry(next).or_insert(named);
        }
    }

    fn bound(&mut self, incarnation: u64) {
        if self.named.len() < MOST_REMEMBERED || self.named.contains_key(&incarnation) {
            return;
        }
        let oldest = self.named.iter().min_by_key(|(_, named)| named.reported_at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.named.remove(&oldest);
        }
    }
}
