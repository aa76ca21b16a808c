//! Tracks requests and prompt parts that crash replicas.
//!
//! A crash accuses each request that ran there, and each part of its prompt but the last. Requests
//! share parts, so most accused parts are innocent: a part that completes elsewhere is cleared, and
//! one that completed here lately is only accused after further crashes.
//!
//! The control group collects the crashes seen by all gateways and decides which requests are
//! blocked. A gateway also counts the crashes that it sees itself, so that it can block a request
//! while the control group is unreachable. Replicas are named by their incarnations, so that the
//! end of one does not affect the next.

mod completions;

use completions::Completions;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use topazmount_control::{
    BlockedRequest, CrashLedger, CrashRecord, CrashReport, DEFAULT_HEARTBEAT_INTERVAL,
    replica_timeout,
};
use topazmount_types::{Digest, ReplicaId, RequestDigest, Time};

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
/// Maximum number of suspected parts, 90 KB at most; a request has a few.
const MAX_PART_SUSPICIONS: usize = 768;
/// Time after its completion for which a part is not accused by a single crash.
const TRUST_TIME: Duration = Duration::from_secs(30);
/// Crashes after its last completion that accuse a trusted part.
const CRASHES_TO_ACCUSE: usize = 2;
/// Maximum number of crashes that are withheld, as the part is trusted; the oldest ones are dropped.
const MAX_WITHHELD: usize = 256;

/// Digest of a prompt part, which the ledger counts like a request.
pub fn part_digest(part: u64) -> RequestDigest {
    RequestDigest(Digest::of_parts(&[b"prompt part", &part.to_le_bytes()]).prefix())
}

/// A request whose connection broke; the replica may have crashed, or only the connection failed.
#[derive(Clone)]
struct Suspicion {
    /// The request or the part.
    request: RequestDigest,
    is_part: bool,
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
    part_completions: Completions,
    /// Crashes of parts that are trusted.
    withheld: VecDeque<Suspicion>,
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
            part_completions: Completions::default(),
            withheld: VecDeque::new(),
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
        self.suspect(request, false, incarnation, ran_for, now);
    }

    /// Like [`CrashTracker::on_connection_broken`], for the parts of the request's prompt.
    pub fn on_parts_broken(
        &mut self,
        parts: &[RequestDigest],
        incarnation: &str,
        ran_for: Duration,
        now: Time,
    ) {
        for part in parts {
            self.suspect(*part, true, incarnation, ran_for, now);
        }
    }

    fn suspect(
        &mut self,
        request: RequestDigest,
        is_part: bool,
        incarnation: &str,
        ran_for: Duration,
        now: Time,
    ) {
        self.suspicions.retain(|entry| now < entry.broke_at + self.suspicion_time);
        let max = if is_part { MAX_PART_SUSPICIONS } else { MAX_SUSPICIONS };
        let is_same_kind = |entry: &Suspicion| entry.is_part == is_part;
        if self.suspicions.iter().filter(|entry| is_same_kind(entry)).count() >= max
            && let Some(oldest) = self.suspicions.iter().position(is_same_kind)
        {
            self.suspicions.remove(oldest);
        }
        let incarnation = incarnation.to_owned();
        let entry = Suspicion { request, is_part, incarnation, ran_for, broke_at: now };
        self.suspicions.push_back(entry);
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
        let count = recent.clone().filter(|entry| !entry.is_part).count();
        for entry in recent {
            match entry.is_part {
                true => self.accuse_part(entry),
                false => self.accuse(entry),
            }
        }
        count
    }

    /// Whether all of these parts completed lately.
    pub fn trusts(&self, parts: &[RequestDigest], now: Time) -> bool {
        let is_trusted = |part: &RequestDigest| {
            self.part_completions.last(*part).is_some_and(|at| now < at + TRUST_TIME)
        };
        parts.iter().all(is_trusted)
    }

    fn accuse(&mut self, entry: &Suspicion) {
        self.record_crash(entry.request, &entry.incarnation, entry.ran_for, entry.broke_at);
    }

    /// Records a crash of a part, or withholds it while the part is trusted.
    fn accuse_part(&mut self, entry: &Suspicion) {
        let completed_at = self.part_completions.last(entry.request);
        if completed_at.is_none_or(|at| entry.broke_at >= at + TRUST_TIME) {
            return self.accuse(entry);
        }
        if self.withheld.len() >= MAX_WITHHELD {
            self.withheld.pop_front();
        }
        self.withheld.push_back(entry.clone());
        let is_same = |other: &Suspicion| other.request == entry.request;
        let (same, others): (VecDeque<Suspicion>, VecDeque<Suspicion>) =
            std::mem::take(&mut self.withheld).into_iter().partition(is_same);
        if same.len() < CRASHES_TO_ACCUSE {
            self.withheld = same.into_iter().chain(others).collect();
            return;
        }
        self.withheld = others;
        same.iter().for_each(|crash| self.accuse(crash));
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

    /// Records that requests with these parts of a prompt completed. Returns whether the control
    /// group should be informed at once.
    pub fn record_part_completions(&mut self, parts: &[RequestDigest], now: Time) -> bool {
        let mut is_news = false;
        for part in parts {
            self.part_completions.add(*part, now);
            self.withheld.retain(|entry| entry.request != *part);
            is_news |= self.report_if_accused(*part, now);
        }
        is_news
    }

    /// Records that a request completed. Returns whether the control group should be informed at
    /// once.
    pub fn record_completion(&mut self, request: RequestDigest, now: Time) -> bool {
        self.completions.add(request, now);
        self.report_if_accused(request, now)
    }

    fn report_if_accused(&mut self, request: RequestDigest, now: Time) -> bool {
        if !self.crash_notes.iter().any(|(_, note)| note.request == request) {
            return false;
        }
        self.report_completion(request, now);
        true
    }

    fn report_completion(&mut self, request: RequestDigest, now: Time) {
        self.crash_notes.retain(|(_, note)| note.request != request);
        self.completion_notes.retain(|(_, completed)| *completed != request);
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

    /// Sets the requests and parts that the control group has blocked. One that completed here after
    /// the first crash that counts against it is reported as completed, and not blocked here. Returns
    /// the added and the removed ones.
    pub fn set_blocked(
        &mut self,
        blocked: &[BlockedRequest],
        now: Time,
    ) -> (Vec<RequestDigest>, Vec<RequestDigest>) {
        let mut next: HashSet<RequestDigest> = blocked.iter().map(|entry| entry.request).collect();
        for entry in blocked {
            let first_crash = now - entry.crash_span;
            let completed_at = self.completions.last(entry.request);
            let completed_at = completed_at.max(self.part_completions.last(entry.request));
            if !self.blocked.contains(&entry.request) && completed_at > Some(first_crash) {
                next.remove(&entry.request);
                self.report_completion(entry.request, now);
            }
        }
        let added: Vec<RequestDigest> = next.difference(&self.blocked).copied().collect();
        let removed = self.blocked.difference(&next).copied().collect();
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
