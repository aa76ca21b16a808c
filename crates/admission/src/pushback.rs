//! What replicas ask of their callers: to rest for a while, or to turn elsewhere since they leave.
//!
//! It is asked of this process alone, and holds for the incarnation that asked: neither a heartbeat that says otherwise nor
//! absence from the control group's list ends it, since these say nothing of load, and may be late.

use crate::RequestLimit;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{Start, Time};

/// What the clocks of a replica and of this process may be apart where a rest is weighed against a start. What is taken for
/// the next incarnation's by mistake costs it one rest; a leave, which lasts, gets no such tolerance.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);
/// Longest time, since it was heard, for which a leave that was heard under the earlier incarnation's name counts for the next
/// one: by then one that leaves has mostly ended, and where clocks were seconds apart it may have been the earlier one's.
const CARRIED_LEAVE: Duration = Duration::from_secs(10);
/// Incarnations remembered; of more, those heard of the longest ago are forgotten.
const MOST_REMEMBERED: usize = 4_096;

/// What one answer of a replica asks of the process that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pushback {
    /// Time from the answer on for which the replica wants nothing from this process.
    #[serde(rename = "rest")]
    pub backoff: Option<Duration>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Requests a second that it takes from all its callers together; told to other processes by their own messages.
    #[serde(skip)]
    pub limit: Option<RequestLimit>,
    /// Name of a field that can't be read, and then asks nothing; not told to other processes.
    #[serde(skip)]
    pub invalid_field: Option<&'static str>,
}

impl Pushback {
    /// Whether it asks anything.
    pub fn is_requested(&self) -> bool {
        self.backoff.is_some() || self.is_leaving
    }
}

/// How long what a replica asks is believed at most, so that none is lost for good by one bad word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushbackSettings {
    /// Longest rest.
    pub max_backoff: Duration,
    /// Longest time for which one that said that it leaves is left alone, since it last said so.
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

/// What is believed anew since an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushbackChange {
    /// The replica rests for so long from now on, longer than was believed.
    pub backoff: Option<Duration>,
    /// What that adds to the rest that was known.
    pub added: Duration,
    /// It leaves, which was not known.
    pub is_leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    rests_until: Time,
    leaves_until: Time,
    heard_at: Time,
    /// When the rest and the leave were last heard.
    rest_heard: Time,
    leave_heard: Time,
}

/// What incarnations of replicas asked of this process, by their names.
#[derive(Clone, Debug, Default)]
pub struct PushbackRecords {
    cfg: PushbackSettings,
    asked: HashMap<String, Asked>,
}

impl PushbackRecords {
    /// Changes the settings.
    pub fn set_settings(&mut self, cfg: PushbackSettings) {
        self.cfg = cfg;
    }

    /// Takes what an answer of an incarnation asks. A rest ends when the latest time is over that the incarnation ever
    /// named: a success, a shorter time or none never ends it, since these belong to requests that came before.
    pub fn record(
        &mut self,
        incarnation: &str,
        said: Pushback,
        now: Time,
    ) -> Option<PushbackChange> {
        if !said.is_requested() {
            return None;
        }
        self.bound(now);
        let asked = self.asked.entry(incarnation.to_owned()).or_insert(Asked {
            rests_until: Time::ZERO,
            leaves_until: Time::ZERO,
            heard_at: now,
            rest_heard: Time::ZERO,
            leave_heard: Time::ZERO,
        });
        let was_leaving = now < asked.leaves_until;
        asked.heard_at = now;
        if said.is_leaving {
            asked.leaves_until = now + self.cfg.max_leaving;
            asked.leave_heard = now;
        }
        let rest = said.backoff.map(|rest| rest.min(self.cfg.max_backoff));
        let rests_for = rest.filter(|rest| now + *rest > asked.rests_until.max(now));
        let mut adds = Duration::ZERO;
        if let Some(rest) = rests_for {
            adds = (now + rest).since(asked.rests_until.max(now));
            asked.rests_until = now + rest;
            asked.rest_heard = now;
        }
        let leaves = said.is_leaving && !was_leaving;
        (rests_for.is_some() || leaves).then_some(PushbackChange {
            backoff: rests_for,
            added: adds,
            is_leaving: leaves,
        })
    }

    /// Whether a call of any kind may be sent to an incarnation.
    pub fn is_available(&self, incarnation: &str, now: Time) -> bool {
        self.asked
            .get(incarnation)
            .is_none_or(|asked| now >= asked.rests_until && now >= asked.leaves_until)
    }

    /// Whether an incarnation has said that it leaves.
    pub fn is_leaving(&self, incarnation: &str, now: Time) -> bool {
        self.asked.get(incarnation).is_some_and(|asked| now < asked.leaves_until)
    }

    /// Time until an incarnation's rest is over; `None` where it does not rest, or leaves.
    pub fn remaining_backoff(&self, incarnation: &str, now: Time) -> Option<Duration> {
        let asked = self.asked.get(incarnation)?;
        let rests = now < asked.rests_until && now >= asked.leaves_until;
        rests.then(|| asked.rests_until.since(now))
    }

    /// Forgets an incarnation that has ended, but for what was heard of it after the next one's start: that one had answered
    /// at its address before anybody told of it.
    pub fn on_replaced(&mut self, incarnation: &str, next: &str, start: Start) {
        let Some(mut asked) = self.asked.remove(incarnation) else { return };
        if asked.rest_heard + CLOCK_TOLERANCE < start.as_time() {
            asked.rests_until = Time::ZERO;
        }
        if asked.leave_heard < start.as_time() {
            asked.leaves_until = Time::ZERO;
        }
        asked.leaves_until = asked.leaves_until.min(asked.leave_heard + CARRIED_LEAVE);
        if asked.rests_until.max(asked.leaves_until) > Time::ZERO {
            self.asked.insert(next.to_owned(), asked);
        }
    }

    /// How many incarnations rest, and how many leave.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let leaving = self.asked.values().filter(|asked| now < asked.leaves_until).count();
        let is_resting = |asked: &&Asked| now < asked.rests_until && now >= asked.leaves_until;
        (self.asked.values().filter(is_resting).count(), leaving)
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    fn bound(&mut self, now: Time) {
        if self.asked.len() < MOST_REMEMBERED {
            return;
        }
        self.asked.retain(|_, asked| now < asked.rests_until.max(asked.leaves_until));
        while self.asked.len() >= MOST_REMEMBERED {
            let oldest = self.asked.iter().min_by_key(|(_, asked)| asked.heard_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.asked.remove(&name);
        }
    }
}
