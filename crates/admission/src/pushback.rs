//! Pushback of replicas: they ask their callers to back off for a while, or to go elsewhere because
//! they are leaving.
//!
//! A backoff concerns only the process that received it; leaving concerns all callers. Either holds
//! for the incarnation that sent it. Neither heartbeats nor the control group's list end it: they may be late and carry no load.

use crate::RequestLimit;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{Start, Time};

/// Clock skew tolerated where the time of a backoff is compared with a replica's start time. Not
/// used for leaving, which would exclude the next incarnation for long if attributed to it by
/// mistake.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);
/// How long a leaving state that was recorded for an earlier incarnation applies to the next one,
/// counted from its receipt. With clocks seconds apart it may have come from the earlier one.
const MAX_CARRIED_LEAVING: Duration = Duration::from_secs(10);
/// Maximum number of incarnations with a record; beyond it the oldest records are evicted.
const MAX_RECORDS: usize = 4_096;

/// Pushback in one response of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pushback {
    /// Time from the response during which the replica wants no requests from this process.
    #[serde(rename = "rest")]
    pub backoff: Option<Duration>,
    /// Whether the replica reports that it is leaving.
    pub is_leaving: bool,
    /// Requests per second that it accepts from all callers together; sent to other processes in
    /// separate messages.
    #[serde(skip)]
    pub limit: Option<RequestLimit>,
    /// Set if the replica says that it falls over when it has to reject more than this number of requests
    /// in a second; not sent to other processes.
    #[serde(skip)]
    pub max_rejections: Option<u32>,
    /// Name of a header that could not be parsed and is ignored; not sent to other processes.
    #[serde(skip)]
    pub invalid_field: Option<&'static str>,
}

impl Pushback {
    /// Whether the response asks for a backoff or reports that the replica is leaving.
    pub fn is_requested(&self) -> bool {
        self.backoff.is_some() || self.is_leaving
    }
}

/// Upper bounds on how long a pushback is honored, so that no faulty response excludes a replica
/// for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushbackSettings {
    /// Longest backoff.
    pub max_backoff: Duration,
    /// Longest time without requests for a leaving replica, counted from its last report of
    /// leaving.
    pub max_leaving: Duration,
}

impl Default for PushbackSettings {
    fn default() -> Self {
        PushbackSettings {
            max_backoff: Duration::from_secs(60),
            max_leaving: Duration::from_secs(600),
        }
    }
}

/// What a response changed in a replica's pushback record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushbackChange {
    /// New remaining backoff, if the response extended it.
    pub backoff: Option<Duration>,
    /// Time by which the backoff was extended.
    pub added: Duration,
    /// Whether the replica started leaving.
    pub is_leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    backoff_until: Time,
    leaving_until: Time,
    updated_at: Time,
    /// When the backoff was last extended.
    backoff_reported_at: Time,
    /// When the replica last reported that it is leaving.
    leaving_reported_at: Time,
}

impl Record {
    fn new(now: Time) -> Self {
        Record {
            backoff_until: Time::ZERO,
            leaving_until: Time::ZERO,
            updated_at: now,
            backoff_reported_at: Time::ZERO,
            leaving_reported_at: Time::ZERO,
        }
    }
}

/// Pushback records of replicas, by incarnation name.
#[derive(Clone, Debug, Default)]
pub struct PushbackRecords {
    cfg: PushbackSettings,
    records: HashMap<String, Record>,
}

impl PushbackRecords {
    /// Changes the settings.
    pub fn set_settings(&mut self, cfg: PushbackSettings) {
        self.cfg = cfg;
    }

    /// Records the pushback of a response. A backoff lasts until the latest end that the
    /// incarnation requested: a response without one, or with a shorter one, may belong to an
    /// earlier request and does not end it.
    pub fn record(
        &mut self,
        incarnation: &str,
        pushback: Pushback,
        now: Time,
    ) -> Option<PushbackChange> {
        if !pushback.is_requested() {
            return None;
        }
        self.evict(now);
        let record = self.records.entry(incarnation.to_owned()).or_insert(Record::new(now));
        let was_leaving = now < record.leaving_until;
        record.updated_at = now;
        if pushback.is_leaving {
            record.leaving_until = now + self.cfg.max_leaving;
            record.leaving_reported_at = now;
        }
        let requested = pushback.backoff.map(|backoff| backoff.min(self.cfg.max_backoff));
        let backoff = requested.filter(|backoff| now + *backoff > record.backoff_until.max(now));
        let mut added = Duration::ZERO;
        if let Some(backoff) = backoff {
            added = (now + backoff).since(record.backoff_until.max(now));
            record.backoff_until = now + backoff;
            record.backoff_reported_at = now;
        }
        let is_leaving = pushback.is_leaving && !was_leaving;
        (backoff.is_some() || is_leaving).then_some(PushbackChange { backoff, added, is_leaving })
    }

    /// Records that an incarnation is leaving, as another process received it at `reported_at`.
    /// Returns whether this was not known.
    pub fn record_leaving(&mut self, incarnation: &str, reported_at: Time, now: Time) -> bool {
        self.evict(now);
        let record = self.records.entry(incarnation.to_owned()).or_insert(Record::new(now));
        let was_leaving = now < record.leaving_until;
        if reported_at > record.leaving_reported_at {
            record.leaving_reported_at = reported_at;
            record.leaving_until = reported_at + self.cfg.max_leaving;
        }
        !was_leaving && now < record.leaving_until
    }

    /// When an incarnation last reported that it is leaving; `None` if it does not count as leaving.
    pub fn leaving_reported_at(&self, incarnation: &str, now: Time) -> Option<Time> {
        let record = self.records.get(incarnation).filter(|record| now < record.leaving_until)?;
        Some(record.leaving_reported_at)
    }

    /// Whether a request of any kind may be sent to an incarnation.
    pub fn is_available(&self, incarnation: &str, now: Time) -> bool {
        self.records
            .get(incarnation)
            .is_none_or(|record| now >= record.backoff_until && now >= record.leaving_until)
    }

    /// Whether an incarnation has reported that it is leaving.
    pub fn is_leaving(&self, incarnation: &str, now: Time) -> bool {
        self.records.get(incarnation).is_some_and(|record| now < record.leaving_until)
    }

    /// Time until the backoff of an incarnation ends; `None` without a backoff, or when it is
    /// leaving.
    pub fn remaining_backoff(&self, incarnation: &str, now: Time) -> Option<Duration> {
        let record = self.records.get(incarnation)?;
        let is_backing_off = now < record.backoff_until && now >= record.leaving_until;
        is_backing_off.then(|| record.backoff_until.since(now))
    }

    /// Removes the record of an incarnation that has ended. Pushback received after the start of
    /// the next incarnation is moved to that one, which had already responded at the same address.
    pub fn on_replaced(&mut self, incarnation: &str, next: &str, start: Start) {
        let Some(mut record) = self.records.remove(incarnation) else { return };
        if record.backoff_reported_at + CLOCK_TOLERANCE < start.as_time() {
            record.backoff_until = Time::ZERO;
        }
        if record.leaving_reported_at < start.as_time() {
            record.leaving_until = Time::ZERO;
        }
        record.leaving_until =
            record.leaving_until.min(record.leaving_reported_at + MAX_CARRIED_LEAVING);
        if record.backoff_until.max(record.leaving_until) > Time::ZERO {
            self.records.insert(next.to_owned(), record);
        }
    }

    /// Number of incarnations that are backing off, and of those that are leaving.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let leaving = self.records.values().filter(|record| now < record.leaving_until).count();
        let is_backing_off =
            |record: &&Record| now < record.backoff_until && now >= record.leaving_until;
        (self.records.values().filter(is_backing_off).count(), leaving)
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn evict(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| now < record.backoff_until.max(record.leaving_until));
        while self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.updated_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.records.remove(&name);
        }
    }
}
