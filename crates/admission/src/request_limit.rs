//! Limits that replicas name for the requests of all their callers together.
//!
//! A limit holds for the incarnation that named it, from its first answer that names it until an answer to a later
//! request does not.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use topazmount_types::Time;

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
    Named(RequestLimit),
    /// It names none any more.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    limit: Option<RequestLimit>,
    said_at: Time,
}

/// The limits that incarnations named, by the hashes of their names.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    named: HashMap<u64, Named>,
}

impl RequestLimits {
    /// Takes what an answer says of its replica's limit, if it names one; the answer is to a request that was sent at
    /// `sent_at`.
    ///
    /// Answers overtake each other. One to a request that was sent before the known word came may be older than it, so
    /// that it lowers a limit but neither raises nor ends one.
    pub fn hear(
        &mut self,
        incarnation: u64,
        limit: Option<RequestLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let known = self.named.get(&incarnation).copied();
        let Some(known) = known else {
            return self.set(incarnation, limit?, now);
        };
        let may_be_older = sent_at < known.said_at;
        match limit {
            _ if may_be_older && known.limit.is_none() => None,
            Some(limit) if may_be_older && known.limit <= Some(limit) => None,
            Some(limit) => self.set(incarnation, limit, now),
            None if may_be_older => None,
            None => {
                self.named.insert(incarnation, Named { limit: None, said_at: now });
                known.limit.map(|_| LimitChange::Ended)
            }
        }
    }

    fn set(&mut self, incarnation: u64, limit: RequestLimit, now: Time) -> Option<LimitChange> {
        self.bound(incarnation);
        let before = self.named.insert(incarnation, Named { limit: Some(limit), said_at: now });
        let is_new = before.and_then(|before| before.limit) != Some(limit);
        is_new.then_some(LimitChange::Named(limit))
    }

    /// The limit of an incarnation.
    pub fn limit(&self, incarnation: u64) -> Option<RequestLimit> {
        self.named.get(&incarnation)?.limit
    }

    /// How many incarnations name a limit.
    pub fn count(&self) -> usize {
        self.named.values().filter(|named| named.limit.is_some()).count()
    }

    /// Forgets an incarnation that has ended.
    pub fn forget(&mut self, incarnation: u64) {
        self.named.remove(&incarnation);
    }

    fn bound(&mut self, incarnation: u64) {
        if self.named.len() < MOST_REMEMBERED || self.named.contains_key(&incarnation) {
            return;
        }
        let oldest = self.named.iter().min_by_key(|(_, named)| named.said_at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.named.remove(&oldest);
        }
    }
}
