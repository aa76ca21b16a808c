//! What a gateway knows of requests under which replicas crash.
//!
//! The control group counts what all gateways saw and says what is blocked. What this gateway saw counts here too, so
//! that a request that comes to it again and again is blocked while control can't be reached. Replicas are named by their
//! incarnations, so that the end of one says nothing of what broke off at the next.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use topazmount_control::{BlockedRequest, CrashLedger, CrashRecord, CrashReport};
use topazmount_types::{ReplicaId, RequestDigest, Time};

/// How long what was seen is told again. Control may have no leader for an election, and a gateway may be cut off
/// for longer.
const TOLD_FOR: Duration = Duration::from_secs(30);
/// Time without news from control after which a gateway goes by what it saw itself: several of the 400 ms for which a
/// request for news is held. Until then control knows better, since it knows who else ran at a replica.
const ALONE_AFTER: Duration = Duration::from_secs(2);
/// Crashes and completions that are told at a time, 2.2 KB at most; the oldest are left out.
const MAX_NOTES: usize = 64;
/// How long a request is suspected after it broke off, unless it is known that its replica lives or has ended: the
/// silence after which control gives a replica up, 5 s, and time for the word of it.
const SUSPECTED_FOR: Duration = Duration::from_secs(8);
/// Requests suspected at a time, 30 KB at most; the oldest are forgotten. A crash takes some ten requests of one gateway.
const MOST_SUSPECTED: usize = 256;
/// Requests of which it is remembered that they ran well, 48 KB at most. They speak for a request that is
/// blocked although it runs well, such as one that many clients send alike.
const MOST_COMPLETED: usize = 1_024;

/// Requests that ran well lately.
#[derive(Default)]
struct Completed {
    at: HashMap<RequestDigest, Time>,
    order: VecDeque<(RequestDigest, Time)>,
}

impl Completed {
    fn add(&mut self, request: RequestDigest, now: Time) {
        self.at.insert(request, now);
        self.order.push_back((request, now));
        if self.order.len() > MOST_COMPLETED
            && let Some((oldest, at)) = self.order.pop_front()
            && self.at.get(&oldest) == Some(&at)
        {
            self.at.remove(&oldest);
        }
    }
}

/// A request whose connection broke: its replica may have ended, or only the connection.
struct Suspicion {
    request: RequestDigest,
    /// Name of its replica's incarnation.
    incarnation: String,
    ran_for: Duration,
    broke_at: Time,
}

/// What one gateway knows of crashes. Invariant: a request that it saw run well is told to control as such for as long
/// as its crashes would be.
#[derive(Default)]
pub struct CrashTracker {
    /// What control says.
    blocked: HashSet<RequestDigest>,
    /// When control was heard last.
    heard_at: Time,
    /// What this gateway saw itself.
    own: CrashLedger,
    suspected: VecDeque<Suspicion>,
    seen: VecDeque<(Time, CrashRecord)>,
    cleared: VecDeque<(Time, RequestDigest)>,
    completed: Completed,
}

impl CrashTracker {
    /// Whether a request must not be sent to any replica.
    pub fn is_blocked(&self, request: RequestDigest, now: Time) -> bool {
        let is_alone = now >= self.heard_at + ALONE_AFTER;
        self.blocked.contains(&request) || is_alone && self.own.is_blocked(request)
    }

    /// Notes that a member of control vouched for what it tells.
    pub fn record_control_contact(&mut self, now: Time) {
        self.heard_at = self.heard_at.max(now);
    }

    /// Number of requests that control has blocked.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Notes that the connection broke on which a replica had had a request for so long. Whether the replica has ended is
    /// often known later: its listener may outlive its worker, and its next life may listen at once.
    pub fn on_connection_broken(
        &mut self,
        request: RequestDigest,
        incarnation: &str,
        ran_for: Duration,
        now: Time,
    ) {
        self.suspected.retain(|one| now < one.broke_at + SUSPECTED_FOR);
        if self.suspected.len() >= MOST_SUSPECTED {
            self.suspected.pop_front();
        }
        let incarnation = incarnation.to_owned();
        self.suspected.push_back(Suspicion { request, incarnation, ran_for, broke_at: now });
    }

    /// Whether it would tell something if a replica had ended.
    pub fn is_suspected(&self, incarnation: &str) -> bool {
        self.suspected.iter().any(|one| one.incarnation == incarnation)
    }

    /// Notes that a replica has ended without a word: what broke off at it counts as crashes. Returns for how many
    /// requests.
    pub fn on_replica_ended(&mut self, incarnation: &str, now: Time) -> usize {
        let suspected = std::mem::take(&mut self.suspected);
        let (ended, others): (VecDeque<Suspicion>, VecDeque<Suspicion>) =
            suspected.into_iter().partition(|one| one.incarnation == incarnation);
        self.suspected = others;
        let fresh = ended.iter().filter(|one| now < one.broke_at + SUSPECTED_FOR);
        let count = fresh.clone().count();
        for one in fresh {
            self.record_crash(one.request, incarnation, one.ran_for, one.broke_at);
        }
        count
    }

    /// Notes that a replica answered what was sent to it at a moment: it outlived what broke off before.
    pub fn clear_suspicion(&mut self, incarnation: &str, sent_at: Time) {
        self.suspected.retain(|one| one.incarnation != incarnation || one.broke_at >= sent_at);
    }

    /// Notes that a replica crashed, at a moment, that had had a request for so long.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        incarnation: &str,
        ran_for: Duration,
        at: Time,
    ) {
        let replica = ReplicaId::from_name(incarnation);
        let note = CrashRecord { request, replica, ran_for, age: Duration::ZERO };
        self.cleared.retain(|(_, cleared)| *cleared != request);
        self.seen.push_back((at, note));
        self.own.record(at, &CrashReport { crashes: vec![note], completed: Vec::new() });
    }

    /// Notes that a request ran to its end. Returns whether control should hear of it at once.
    pub fn record_completion(&mut self, request: RequestDigest, now: Time) -> bool {
        self.completed.add(request, now);
        if !self.seen.iter().any(|(_, note)| note.request == request) {
            return false;
        }
        self.clear(request, now);
        true
    }

    fn clear(&mut self, request: RequestDigest, now: Time) {
        self.seen.retain(|(_, note)| note.request != request);
        self.cleared.push_back((now, request));
        self.own.record(now, &CrashReport { crashes: Vec::new(), completed: vec![request] });
    }

    /// What control should hear.
    pub fn notes(&mut self, now: Time) -> CrashReport {
        self.own.expire(now);
        trim(&mut self.seen, now);
        trim(&mut self.cleared, now);
        let aged = |(at, note): &(Time, CrashRecord)| CrashRecord { age: now.since(*at), ..*note };
        CrashReport {
            crashes: self.seen.iter().map(aged).collect(),
            completed: self.cleared.iter().map(|(_, request)| *request).collect(),
        }
    }

    /// Takes what control says is blocked. A request that ran well here after the first crash that
    /// speaks against it is spoken for. Returns those that are new, and those that are let go.
    pub fn set_blocked(
        &mut self,
        blocked: &[BlockedRequest],
        now: Time,
    ) -> (Vec<RequestDigest>, Vec<RequestDigest>) {
        let next: HashSet<RequestDigest> = blocked.iter().map(|one| one.request).collect();
        let added: Vec<RequestDigest> = next.difference(&self.blocked).copied().collect();
        let gone = self.blocked.difference(&next).copied().collect();
        for one in blocked.iter().filter(|one| added.contains(&one.request)) {
            let first = now - one.crash_span;
            if self.completed.at.get(&one.request).is_some_and(|at| *at > first) {
                self.clear(one.request, now);
            }
        }
        self.blocked = next;
        (added, gone)
    }
}

/// Leaves out what is old, and what is more than can be told.
fn trim<T>(entries: &mut VecDeque<(Time, T)>, now: Time) {
    while entries.front().is_some_and(|(at, _)| *at + TOLD_FOR < now) || entries.len() > MAX_NOTES {
        entries.pop_front();
    }
}
