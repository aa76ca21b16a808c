//! Tracks requests and prompt parts that crash replicas.
//!
//! A crash accuses each request that ran there, and each part of its prompt but the last. Requests
//! share parts, so most accused parts are innocent: a part that completes elsewhere is cleared, and
//! one that completed here lately is only accused after further crashes.
//!
//! The control group collects the crashes seen by all gateways and decides which requests are
//! blocked. Single requests run as [trials](trials), so that what is blocked by mistake can complete
//! and is cleared. A gateway also counts the crashes that it sees itself, so that it can block a request
//! while the control group is unreachable. Replicas are named by their incarnations, so that the
//! end of one does not affect the next.

mod completions;
mod replica_ends;
mod trials;

use completions::Completions;
use replica_ends::ReplicaEnds;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{
    BlockedRequest, CrashLedger, CrashRecord, CrashReport, DEFAULT_HEARTBEAT_INTERVAL, HostKey,
    replica_timeout,
};
use topazmount_types::{Digest, ReplicaId, RequestDigest, Time};
use trials::Trials;
pub use trials::{TrialOutcome, TrialRefusal, TrialRequest, TrialResponse};

/// Time for which a crash or completion is reported again, long enough for an election or a
/// partition.
const REPORT_TIME: Duration = Duration::from_secs(30);
/// Time without contact to the control group after which the gateway blocks by its own records:
/// several of the 400 ms for which a watch request is held.
/// Until then the control group decides, as it also knows which other requests ran at a replica.
const OFFLINE_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of crashes, and of completions, in a report, 2.4 KB at most; the oldest ones are
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

/// Time for which a gateway that did not respond to a request for a trial is not asked again.
const AVOID_COORDINATOR: Duration = Duration::from_secs(1);

/// What is known against a request or a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// It may be sent to replicas.
    Clear,
    /// It was at too many crashes, but replicas crash at the same hosts without it as well.
    Suspected,
    /// Only it was at too many crashes.
    Probable,
    /// A further replica has crashed since it was blocked, such as under a trial.
    Confirmed,
}

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
    host: HostKey,
    /// Name of the replica's incarnation.
    incarnation: String,
    ran_for: Duration,
    broke_at: Time,
}

/// One gateway's records of crashes. Invariant: the completion of a request that it saw crash is
/// reported for as long as the crashes would be.
pub struct CrashTracker {
    /// Requests that the control group has blocked, and since when that is known.
    blocked: HashMap<RequestDigest, (BlockedRequest, Time)>,
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
    replica_ends: ReplicaEnds,
    /// Trials that this gateway has granted.
    trials: Trials,
    /// Refused trials of blocked requests, and until when it is of no use to ask again.
    refused_trials: HashMap<RequestDigest, (TrialRefusal, Time)>,
    /// Gateways that did not respond to a request for a trial, and until when they are not asked.
    silent_coordinators: HashMap<SocketAddr, Time>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        let mut tracker = CrashTracker {
            blocked: HashMap::new(),
            last_contact: Time::ZERO,
            local_ledger: CrashLedger::default(),
            suspicions: VecDeque::new(),
            suspicion_time: Duration::ZERO,
            crash_notes: VecDeque::new(),
            completion_notes: VecDeque::new(),
            completions: Completions::default(),
            part_completions: Completions::default(),
            withheld: VecDeque::new(),
            replica_ends: ReplicaEnds::default(),
            trials: Trials::default(),
            refused_trials: HashMap::new(),
            silent_coordinators: HashMap::new(),
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

    /// Whether a request must not be sent to any replica, but for a trial.
    pub fn is_blocked(&self, request: RequestDigest, now: Time) -> bool {
        self.verdict(request, now) != CrashVerdict::Clear
    }

    /// What is known against a request. Without contact to the control group it is never confirmed,
    /// as it may have completed elsewhere.
    pub fn verdict(&self, request: RequestDigest, now: Time) -> CrashVerdict {
        let is_offline = now >= self.last_contact + OFFLINE_AFTER;
        match self.blocked.get(&request) {
            Some((entry, _)) if is_offline || entry.is_explained => CrashVerdict::Suspected,
            Some((entry, _)) if entry.further_crashes == 0 => CrashVerdict::Probable,
            Some(_) => CrashVerdict::Confirmed,
            None if is_offline && self.local_ledger.is_blocked(request) => CrashVerdict::Suspected,
            None => CrashVerdict::Clear,
        }
    }

    /// The request for a trial of a blocked request.
    pub fn trial_request(
        &self,
        digest: RequestDigest,
        is_repeatable: bool,
        now: Time,
    ) -> TrialRequest {
        let failed = self.failed_trials(digest);
        let known_since = self.blocked.get(&digest).map_or(now, |(_, since)| *since);
        TrialRequest { digest, failed, is_repeatable, blocked_for: now.since(known_since) }
    }

    /// Number of failed trials of a blocked request that the control group has recorded.
    fn failed_trials(&self, request: RequestDigest) -> u32 {
        self.blocked.get(&request).map_or(0, |(entry, _)| entry.further_crashes)
    }

    /// The refusal of a trial that holds now, with the rest of its time.
    pub fn trial_refusal(&self, request: RequestDigest, now: Time) -> Option<TrialRefusal> {
        let (refusal, until) = self.refused_trials.get(&request).filter(|(_, at)| now < *at)?;
        Some(TrialRefusal { wait: until.since(now), ..*refusal })
    }

    /// Records a coordinator's refusal of a trial of a blocked request.
    pub fn on_trial_refused(&mut self, request: RequestDigest, refusal: TrialRefusal, now: Time) {
        self.refused_trials.retain(|_, (_, until)| now < *until);
        self.refused_trials.insert(request, (refusal, now + refusal.wait));
    }

    /// Records that a gateway did not respond to a request for a trial.
    pub fn on_coordinator_silent(&mut self, gateway: SocketAddr, now: Time) {
        self.silent_coordinators.retain(|_, until| now < *until);
        self.silent_coordinators.insert(gateway, now + AVOID_COORDINATOR);
    }

    /// Whether a gateway did not respond lately to a request for a trial.
    pub fn is_coordinator_silent(&self, gateway: SocketAddr, now: Time) -> bool {
        self.silent_coordinators.get(&gateway).is_some_and(|until| now < *until)
    }

    /// As the coordinator of a request, grants a trial unless one is running or has failed lately.
    pub fn grant_trial(
        &mut self,
        request: TrialRequest,
        gateways: usize,
        now: Time,
    ) -> TrialResponse {
        let failed = request.failed.max(self.failed_trials(request.digest));
        self.trials.grant(TrialRequest { failed, ..request }, gateways, now)
    }

    /// As the coordinator of a request, records the end of a trial.
    pub fn on_trial_ended(&mut self, request: RequestDigest, outcome: TrialOutcome, now: Time) {
        self.trials.on_ended(request, outcome, now);
    }

    /// Records that a replica ended unannounced.
    pub fn record_replica_end(&mut self, address: &str, incarnation: &str, now: Time) {
        self.replica_ends.record(address, incarnation, now);
    }

    /// Whether a replica ended unannounced at this address lately, so that others are better for a
    /// trial.
    pub fn has_ended_at(&self, address: &str, now: Time) -> bool {
        self.replica_ends.has_ended_at(address, now)
    }

    /// Records where an incarnation runs that is suspected to have ended.
    pub fn set_suspect_host(&mut self, incarnation: &str, host: HostKey) {
        let entries = self.suspicions.iter_mut().filter(|entry| entry.incarnation == incarnation);
        entries.for_each(|entry| entry.host = host);
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
        self.suspicions.push_back(Suspicion {
            request,
            is_part,
            host: HostKey::default(),
            incarnation,
            ran_for,
            broke_at: now,
        });
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
        let Suspicion { request, host, ran_for, .. } = *entry;
        let replica = ReplicaId::from_name(&entry.incarnation);
        let note = CrashRecord { request, replica, ran_for, age: Duration::ZERO, host };
        self.add_crash_note(note, entry.broke_at);
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
        let host = HostKey::default();
        let note = CrashRecord { request, replica, ran_for, age: Duration::ZERO, host };
        self.add_crash_note(note, at);
    }

    fn add_crash_note(&mut self, note: CrashRecord, at: Time) {
        self.completion_notes.retain(|(_, completed)| *completed != note.request);
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
        let is_blocked = self.blocked.remove(&request).is_some();
        if !is_blocked && !self.crash_notes.iter().any(|(_, note)| note.request == request) {
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
        let known_since = |entry: &BlockedRequest| {
            self.blocked.get(&entry.request).map_or(now, |(_, since)| *since)
        };
        let mut next: HashMap<RequestDigest, (BlockedRequest, Time)> =
            blocked.iter().map(|entry| (entry.request, (*entry, known_since(entry)))).collect();
        for entry in blocked {
            let first_crash = now - entry.crash_span;
            let completed_at = self.completions.last(entry.request);
            let completed_at = completed_at.max(self.part_completions.last(entry.request));
            if !self.blocked.contains_key(&entry.request) && completed_at > Some(first_crash) {
                next.remove(&entry.request);
                self.report_completion(entry.request, now);
            }
        }
        let only_in = |all: &HashMap<RequestDigest, _>, others: &HashMap<RequestDigest, _>| {
            all.keys().filter(|request| !others.contains_key(request)).copied().collect()
        };
        let added = only_in(&next, &self.blocked);
        let removed = only_in(&self.blocked, &next);
        self.refused_trials.retain(|request, _| self.blocked.get(request) == next.get(request));
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
