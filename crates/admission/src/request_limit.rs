//! Request rate limits that replicas set for all their callers together.
//!
//! A limit holds for the incarnation that set it, from the first response that states it until a
//! response to a later request does not.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{Start, Time};

/// Clock skew tolerated where the time of a limit is compared with a replica's start time.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);
/// Maximum number of incarnations with a record; beyond it the oldest record is evicted.
const MAX_RECORDS: usize = 4_096;

/// Requests per second that a replica accepts from all its callers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestLimit {
    milli_per_second: u32,
}

impl RequestLimit {
    /// Creates a limit in requests per second, truncated to thousandths.
    pub fn per_second(rate: f64) -> Self {
        RequestLimit { milli_per_second: (rate * 1_000.0) as u32 }
    }

    /// Requests per second.
    pub fn rate(self) -> f64 {
        f64::from(self.milli_per_second) / 1_000.0
    }
}

/// Change of an incarnation's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The incarnation set this limit.
    Set(RequestLimit),
    /// The incarnation no longer has a limit.
    Removed,
}

/// Last known limit of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// The limit; `None` when it was removed.
    pub limit: Option<RequestLimit>,
    /// When it was reported.
    pub reported_at: Time,
    /// Until when no grant is available.
    exhausted_until: Time,
}

/// Limits of incarnations, by the hashes of their names.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    records: HashMap<u64, LimitRecord>,
}

impl RequestLimits {
    /// Records the limit in a response to a request that was sent at `sent_at`, if there is one.
    ///
    /// Responses can arrive out of order. One to a request that was sent before the current record
    /// was made may be older than the record: it may lower the limit, but neither raises nor
    /// removes it.
    pub fn record(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let known = self.records.get(&incarnation).copied();
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

    /// Records a limit that another process received at `reported_at`. Returns the change, if any.
    pub fn record_update(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        reported_at: Time,
    ) -> Option<LimitChange> {
        let is_newer =
            self.records.get(&incarnation).is_none_or(|known| known.reported_at < reported_at);
        is_newer.then(|| self.set(incarnation, limit, reported_at)).flatten()
    }

    fn set(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        reported_at: Time,
    ) -> Option<LimitChange> {
        self.evict_for(incarnation);
        let record = LimitRecord { limit, reported_at, exhausted_until: Time::ZERO };
        let before = self.records.insert(incarnation, record).and_then(|before| before.limit);
        match limit {
            _ if before == limit => None,
            Some(limit) => Some(LimitChange::Set(limit)),
            None => Some(LimitChange::Removed),
        }
    }

    /// The limit of an incarnation.
    pub fn limit(&self, incarnation: u64) -> Option<RequestLimit> {
        self.records.get(&incarnation)?.limit
    }

    /// Record of an incarnation, if it ever had a limit.
    pub fn get(&self, incarnation: u64) -> Option<LimitRecord> {
        self.records.get(&incarnation).copied()
    }

    /// Incarnations that have a limit.
    pub fn active(&self) -> impl Iterator<Item = (u64, LimitRecord)> {
        let limited = self.records.iter().filter(|(_, record)| record.limit.is_some());
        limited.map(|(incarnation, record)| (*incarnation, *record))
    }

    /// Records that no grant for an incarnation is available until a time.
    pub fn set_exhausted_until(&mut self, incarnation: u64, until: Time) {
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.exhausted_until = until;
        }
    }

    /// Time until a grant for an incarnation is available; `None` if one is available now, or none
    /// is needed.
    pub fn exhausted_for(&self, incarnation: u64, now: Time) -> Option<Duration> {
        let record = self.records.get(&incarnation).filter(|record| record.limit.is_some())?;
        (now < record.exhausted_until).then(|| record.exhausted_until.since(now))
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of incarnations that have a limit.
    pub fn count(&self) -> usize {
        self.active().count()
    }

    /// Removes the record of an incarnation that has ended. A limit received after the start of the
    /// next incarnation is moved to that one.
    pub fn on_replaced(&mut self, incarnation: u64, next: u64, start: Start) {
        let Some(record) = self.records.remove(&incarnation) else { return };
        if record.reported_at + CLOCK_TOLERANCE >= start.as_time() {
            self.records.entry(next).or_insert(record);
        }
    }

    fn evict_for(&mut self, incarnation: u64) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&incarnation) {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, record)| record.reported_at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.records.remove(&oldest);
        }
    }
}
