//! Requests under which replicas crash, and which of them must not be sent on.
//!
//! A crash takes all requests that run at a replica, so that one crash accuses each of them. A request is blocked
//! once [`CRASHES_TO_BLOCK`] crashes in a row speak against it and no other request explains them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::{ReplicaId, RequestDigest, Time};

/// Crashes after which a request is blocked. One or two also meet requests that only ran beside the cause: both
/// are tried again at the same moment.
pub const CRASHES_TO_BLOCK: usize = 3;
/// How long a request is blocked at first, in which a caller that tries again and again gives up. Then one more crash
/// blocks it again, for twice as long: a request that runs well after new weights or a repair is served again.
const FIRST_BLOCK: Duration = Duration::from_secs(5 * 60);
/// Longest time for which a request is blocked at once.
const LONGEST_BLOCK: Duration = Duration::from_secs(60 * 60);
/// Time after its last crash or block for which a request is remembered.
const MEMORY: Duration = Duration::from_secs(10 * 60);
/// Crashes closer to each other count as one, and a run that began less before a crash as one after it: reports
/// of gateways take some milliseconds, and a loss of power ends all replicas within that time.
const SAME_MOMENT: Duration = Duration::from_millis(30);
/// Requests remembered at a time; 300 KB at most in a snapshot. A loss of 60 replicas with 16 runs each accuses 960.
const MOST_SUSPECTS: usize = 1_024;
/// Requests blocked at a time; the list of them is sent to each gateway when it changes, 4.4 KB at most.
const MOST_BLOCKED: usize = 256;
/// Crashes remembered of a request.
const MOST_CRASHES: usize = 8;

/// A replica that crashed while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: RequestDigest,
    /// The replica, by the identifier of the life that ended.
    pub replica: ReplicaId,
    /// How long the replica had had the request.
    pub ran_for: Duration,
    /// How long ago it crashed.
    pub age: Duration,
}

/// What a gateway saw. Sent again until it is old: each note counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes.
    pub crashes: Vec<CrashRecord>,
    /// Requests that were suspected and have run well since.
    pub completed: Vec<RequestDigest>,
}

impl CrashReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty()
    }
}

/// A request that must not be sent to any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedRequest {
    /// The request.
    pub request: RequestDigest,
    /// Time from the first crash that speaks against it to the last one.
    #[serde(rename = "evidence")]
    pub crash_span: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    replica: ReplicaId,
    began: Time,
    at: Time,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// In the order of time.
    crashes: Vec<Crash>,
    /// Crashes before the request ran well; they don't count, also when they are told again.
    dismissed: Vec<ReplicaId>,
    /// Times that it was blocked.
    blocks: u32,
    blocked_until: Option<Time>,
    changed_at: Time,
}

impl Suspect {
    /// Crashes that each came after the one before had ended: runs of one request side by side
    /// that end together say nothing that one of them does not.
    fn in_a_row(&self) -> Vec<&Crash> {
        let mut row: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let is_next = row.last().is_none_or(|last| {
                crash.began + SAME_MOMENT >= last.at && crash.at >= last.at + SAME_MOMENT
            });
            if is_next {
                row.push(crash);
            }
        }
        row
    }

    fn was_at(&self, replica: ReplicaId) -> bool {
        self.crashes.iter().any(|crash| crash.replica == replica)
    }

    fn was_at_all_of(&self, other: &Suspect) -> bool {
        other.crashes.iter().all(|crash| self.was_at(crash.replica))
    }

    fn knows(&self, replica: ReplicaId) -> bool {
        self.was_at(replica) || self.dismissed.contains(&replica)
    }

    fn add(&mut self, crash: Crash) {
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > MOST_CRASHES {
            self.crashes.remove(0);
        }
    }

    fn dismiss(&mut self) {
        self.dismissed.extend(self.crashes.drain(..).map(|crash| crash.replica));
        let excess = self.dismissed.len().saturating_sub(MOST_CRASHES);
        self.dismissed.drain(..excess);
    }

    fn evidence(&self) -> Duration {
        let (first, last) = (self.crashes.first(), self.crashes.last());
        first.zip(last).map_or(Duration::ZERO, |(first, last)| last.at.since(first.at))
    }

    fn is_due(&self, now: Time) -> bool {
        let forgotten = self.blocked_until.is_none() && self.changed_at + MEMORY <= now;
        forgotten || self.blocked_until.is_some_and(|until| until <= now)
    }
}

/// Who is suspected and who is blocked. Invariants: a crash counts once for a request, however often and by whomever
/// it is told; a request that ran well after its last crash is not blocked; the count of changes only rises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLedger {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Counts changes of what is blocked.
    #[serde(rename = "changes")]
    blocked_revision: u64,
}

impl CrashLedger {
    /// Counts changes of what is blocked.
    pub fn blocked_revision(&self) -> u64 {
        self.blocked_revision
    }

    /// Whether a request must not be sent on.
    pub fn is_blocked(&self, request: RequestDigest) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| suspect.blocked_until.is_some())
    }

    /// All requests that must not be sent on.
    pub fn blocked(&self) -> Vec<BlockedRequest> {
        let blocked = self.suspects.iter().filter(|(_, one)| one.blocked_until.is_some());
        blocked
            .map(|(request, one)| BlockedRequest { request: *request, crash_span: one.evidence() })
            .collect()
    }

    /// Number of requests remembered.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// The part of what a gateway saw that is not known yet.
    pub fn new_in(&self, notes: &CrashReport) -> CrashReport {
        let is_new = |note: &&CrashRecord| {
            let suspect = self.suspects.get(&note.request);
            suspect.is_none_or(|suspect| !suspect.knows(note.replica))
        };
        let is_accused = |request: &&RequestDigest| {
            self.suspects.get(request).is_some_and(|suspect| !suspect.crashes.is_empty())
        };
        CrashReport {
            crashes: notes.crashes.iter().filter(is_new).copied().collect(),
            completed: notes.completed.iter().filter(is_accused).copied().collect(),
        }
    }

    /// Takes what a gateway saw.
    pub fn record(&mut self, now: Time, notes: &CrashReport) {
        let news = self.new_in(notes);
        for note in &news.crashes {
            let at = now - note.age;
            let began = at - note.ran_for;
            let suspect = self.suspects.entry(note.request).or_default();
            suspect.add(Crash { replica: note.replica, began, at });
            suspect.changed_at = suspect.changed_at.max(now);
        }
        for request in &news.completed {
            if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.dismiss();
            }
        }
        self.judge(now);
        self.forget_excess();
    }

    /// Whether [`CrashLedger::forget`] has something to do.
    pub fn has_expired(&self, now: Time) -> bool {
        self.suspects.values().any(|suspect| suspect.is_due(now))
    }

    /// Ends blocks whose time is over, and forgets old suspicions.
    pub fn expire(&mut self, now: Time) {
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.is_due(now)) {
            if suspect.blocked_until.is_some() {
                // One more crash is enough to block it again.
                let kept = CRASHES_TO_BLOCK - 1;
                let row: Vec<Crash> = suspect.in_a_row().into_iter().copied().collect();
                suspect.crashes = row[row.len().saturating_sub(kept)..].to_vec();
                suspect.blocked_until = None;
                suspect.changed_at = now;
                self.blocked_revision += 1;
            }
        }
        self.suspects.retain(|_, suspect| !suspect.is_due(now));
    }

    /// Blocks whom enough crashes speak against, and lets go whom they don't any more.
    fn judge(&mut self, now: Time) {
        let verdicts: Vec<(RequestDigest, bool)> = self
            .suspects
            .iter()
            .map(|(request, suspect)| (*request, self.is_guilty(*request, suspect)))
            .collect();
        for (request, is_guilty) in verdicts {
            let blocked = self.suspects.values().filter(|one| one.blocked_until.is_some()).count();
            let Some(suspect) = self.suspects.get_mut(&request) else { continue };
            match (suspect.blocked_until, is_guilty) {
                (None, true) if blocked < MOST_BLOCKED => {
                    let time = FIRST_BLOCK * 2u32.saturating_pow(suspect.blocks.min(8));
                    suspect.blocked_until = Some(now + time.min(LONGEST_BLOCK));
                    suspect.blocks += 1;
                    self.blocked_revision += 1;
                }
                (Some(_), false) => {
                    suspect.blocked_until = None;
                    suspect.blocks = suspect.blocks.saturating_sub(1);
                    self.blocked_revision += 1;
                }
                _ => {}
            }
        }
    }

    /// Whether enough crashes speak against a request. One that was only at crashes at which another
    /// one was too, which has been at more, is explained by that one; where two can't be told apart
    /// the next crash decides.
    fn is_guilty(&self, request: RequestDigest, suspect: &Suspect) -> bool {
        if suspect.crashes.len() < CRASHES_TO_BLOCK {
            return false;
        }
        let count = suspect.in_a_row().len();
        if count < CRASHES_TO_BLOCK {
            return false;
        }
        let others = self.suspects.iter().filter(|(other, _)| **other != request);
        let mut others = others.map(|(_, other)| other).filter(|one| one.was_at_all_of(suspect));
        !others.any(|other| {
            let other = other.in_a_row().len();
            other > count || (other == count && count == CRASHES_TO_BLOCK)
        })
    }

    /// Forgets those that are not blocked first, the oldest first.
    fn forget_excess(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let order = |(_, one): &(&RequestDigest, &Suspect)| (one.blocked_until, one.changed_at);
            let Some((request, _)) = self.suspects.iter().min_by_key(order) else { return };
            let request = *request;
            self.suspects.remove(&request);
        }
    }
}
