//! Tracks requests that crash replicas.
//!
//! The control group collects the crashes seen by all gateways and decides which requests are
//! blocked. A gateway also counts the crashes that it sees itself, so that it can block a request
//! while the control group is unreachable. Replicas are named by their incarnations, so that the
//! end of one does not affect the next.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use topazmount_control::{
    BlockedRequest, CrashLedger, CrashRecord, CrashReport, DEFAULT_HEARTBEAT_INTERVAL,
    replica_timeout,
};
use topazmount_types::{ReplicaId, RequestDigest, Time};

/// Time for which a crash or completion is reported again, long enough for an election or a
/// partition.
const REPORT_TIME: Duration = Duration::from_secs(30);
/// Time without contact to the control group after which the gateway blocks by its own records:
/// several of the 400 ms for which a watch request is held.
/// Until then the control group decides, as it also knows which other requests ran at a replica.
const OFFLINE_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of crashes, and of completions, in a report, 2.2 KB at most; the oldest ones are
/// dropped.
const MAX_REPORTED: usize = 64;
/// Time in which the control group reports that it removed a silent replica.
const REMOVAL_REPORT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of suspected requests, 30 KB at most; the oldest ones are dropped. A crash takes some
/// ten requests of one gateway.
const MAX_SUSPICIONS: usize = 256;
/// Maximum number of remembered completions, 48 KB at most. They are evidence for a request that is
/// blocked by mistake, such as one that many clients send alike.
const MAX_COMPLETIONS: usize = 1_024;

/// Requests that completed lately.
#[derive(Default)]
struct Completions {
    completed_at: HashMap<RequestDigest, Time>,
    insertion_order: VecDeque<(RequestDigest, Time)>,
}

impl Completions {
    fn add(&mut self, request: RequestDigest, now: Time) {
        self.completed_at.insert(request, now);
        self.insertion_order.push_back((request, now));
        if self.insertion_order.len() > MAX_COMPLETIONS
            && let Some((oldest, at)) = self.insertion_order.pop_front()
            && self.completed_at.get(&oldest) == Some(&at)
        {
            self.completed_at.remove(&oldest);
        }
    }
}

/// A request whose connection broke; the replica may have crashed, or only the connection failed.
struct Suspicion {
    request: RequestDigest,
    /// Name of the replica's incarnation.
    incarnation: String,
    ran_for: Duration,
    broke_at: Time,
}

/// One gateway's records of crashes. Invariant: the completion of a request that it saw crash is
/// reported for as long as the crashes would be.
pub struct CrashTracker {
    /// Requests that the control group has blocked.
    blocked: HashSet<RequestDigest>,
    /// Last contact with the control group.
    last_contact: Time,
    /// Crashes seen by this gateway.
    local_ledger: CrashLedger,
    suspicions: VecDeque<Suspicion>,
    /// Time for which a request is suspected after its connection broke, unless its replica turns
    /// out to be alive or to have ended.
    suspicion_time: Duration,
    crash_notes: VecDeque<(Time, CrashRecord)>,
    completion_notes: VecDeque<(Time, RequestDigest)>,
    completions: Completions,
}

impl Default for CrashTracker {
    fn default() -> Self {
        let mut tracker = CrashTracker {
            blocked: HashSet::new(),
            last_contact: Time::ZERO,
            local_ledger: CrashLedger::default(),
            suspicions: VecDeque::new(),
            suspicion_time: Duration::ZERO,
            crash_notes: VecDeque::new(),
            completion_notes: VecDeque::new(),
            completions: Completions::default(),
        };
        tracker.set_heartbeat_interval(DEFAULT_HEARTBEAT_INTERVAL);
        tracker
    }
}

impl CrashTracker {
    /// Sets the interval of the replicas' heartbeats. A suspicion lasts until the control group has
    /// removed a silent replica and reported that.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.suspicion_time = replica_timeout(interval) + REMOVAL_REPORT_TIME;
    }

    /// Whether a request must not be sent to any replica.
    pub fn is_blocked(&self, request: RequestDigest, now: Time) -> bool {
        let is_offline = now >= self.last_contact + OFFLINE_AFTER;
        self.blocked.contains(&request) || is_offline && self.local_ledger.is_blocked(request)
    }

    /// Records a response of a member that confirmed its data.
    pub fn record_control_contact(&mut self, now: Time) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Number of requests that the control group has blocked.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Records that a connection broke after the replica had the request for `ran_for`. Often it is
    /// only known later whether the replica has ended: its listener may outlive the worker, and a
    /// new incarnation may listen at once.
    pub fn on_connection_broken(
        &mut self,
        request: RequestDigest,
        incarnation: &str,
        ran_for: Duration,
        now: Time,
    ) {
        self.suspicions.retain(|entry| now < entry.broke_at + self.suspicion_time);
        if self.suspicions.len() >= MAX_SUSPICIONS {
            self.suspicions.pop_front();
        }
        let incarnation = incarnation.to_owned();
        self.suspicions.push_back(Suspicion { request, incarnation, ran_for, broke_at: now });
    }

    /// Whether requests are suspected to have crashed this incarnation.
    pub fn is_suspected(&self, incarnation: &str) -> bool {
        self.suspicions.iter().any(|entry| entry.incarnation == incarnation)
    }

    /// Records that a replica ended unannounced: the suspected requests there count as crashes.
    /// Returns their number.
    pub fn on_replica_ended(&mut self, incarnation: &str, now: Time) -> usize {
        let suspicions = std::mem::take(&mut self.suspicions);
        let (ended, others): (VecDeque<Suspicion>, VecDeque<Suspicion>) =
            suspicions.into_iter().partition(|entry| entry.incarnation == incarnation);
        self.suspicions = others;
        let suspicion_time = self.suspicion_time;
        let recent = ended.iter().filter(|entry| now < entry.broke_at + suspicion_time);
        let count = recent.clone().count();
        for entry in recent {
            self.record_crash(entry.request, incarnation, entry.ran_for, entry.broke_at);
        }
        count
    }

    /// Records that a replica responded to a request sent at `sent_at`, so it survived the
    /// connections that broke before.
    pub fn clear_suspicion(&mut self, incarnation: &str, sent_at: Time) {
        self.suspicions
            .retain(|entry| entry.incarnation != incarnation || entry.broke_at >= sent_at);
    }

    /// Records that a replica crashed at a moment, after it had the request for `ran_for`.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        incarnation: &str,
        ran_for: Duration,
        at: Time,
    ) {
        let replica = ReplicaId::from_name(incarnation);
        let note = CrashRecord { request, replica, ran_for, age: Duration::ZERO };
        self.completion_notes.retain(|(_, completed)| *completed != request);
        self.crash_notes.push_back((at, note));
        self.local_ledger.record(at, &CrashReport { crashes: vec![note], completed: Vec::new() });
    }

    /// Records that a request completed. Returns whether the control group should be informed at
    /// once.
    pub fn record_completion(&mut self, request: RequestDigest, now: Time) -> bool {
        self.completions.add(request, now);
        if !self.crash_notes.iter().any(|(_, note)| note.request == request) {
            return false;
        }
        self.report_completion(request, now);
        true
    }

    fn report_completion(&mut self, request: RequestDigest, now: Time) {
        self.crash_notes.retain(|(_, note)| note.request != request);
        self.completion_notes.push_back((now, request));
        self.local_ledger
            .record(now, &CrashReport { crashes: Vec::new(), completed: vec![request] });
    }

    /// The report for the control group.
    pub fn report(&mut self, now: Time) -> CrashReport {
        self.local_ledger.expire(now);
        trim(&mut self.crash_notes, now);
        trim(&mut self.completion_notes, now);
        let aged = |(at, note): &(Time, CrashRecord)| CrashRecord { age: now.since(*at), ..*note };
        CrashReport {
            crashes: self.crash_notes.iter().map(aged).collect(),
            completed: self.completion_notes.iter().map(|(_, request)| *request).collect(),
        }
    }

    /// Sets the requests that the control group has blocked. A request that completed here after
    /// the first crash that counts against it is reported as completed. Returns the added and the removed
    /// requests.
    pub fn set_blocked(
        &mut self,
        blocked: &[BlockedRequest],
        now: Time,
    ) -> (Vec<RequestDigest>, Vec<RequestDigest>) {
        let next: HashSet<RequestDigest> = blocked.iter().map(|entry| entry.request).collect();
        let added: Vec<RequestDigest> = next.difference(&self.blocked).copied().collect();
        let removed = self.blocked.difference(&next).copied().collect();
        for entry in blocked.iter().filter(|entry| added.contains(&entry.request)) {
            let first_crash = now - entry.crash_span;
            if self.completions.completed_at.get(&entry.request).is_some_and(|at| *at > first_crash)
            {
                self.report_completion(entry.request, now);
            }
        }
        self.blocked = next;
        (added, removed)
    }
}

/// Drops entries that are too old, or beyond the maximum.
fn trim<T>(entries: &mut VecDeque<(Time, T)>, now: Time) {
    while entries.front().is_some_and(|(at, _)| *at + REPORT_TIME < now)
        || entries.len() > MAX_REPORTED
    {
        entries.pop_front();
    }
}
