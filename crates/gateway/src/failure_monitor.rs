//! Collects the failures of replicas that gateways report, so that the other gateways avoid a replica
//! before each of them has failed there itself.
//!
//! The first gateways by rendezvous hashing of an incarnation monitor it. Links between two zones may
//! fail for all of one zone, so a report counts in the reporter's zone only, and at least two gateways
//! of it must have failed, as one may be at fault itself. An avoided replica gets trials through one
//! reporter and one other gateway at a time. A success ends the avoidance.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_types::Time;

/// Interval at which monitors repeat which replicas are avoided.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a verdict counts.
pub(crate) const VERDICT_TIME: Duration = Duration::from_secs(3);
/// Time for which a reported failure counts.
const EVIDENCE_TIME: Duration = Duration::from_secs(5);
/// Time after the last report for which a replica is avoided: without requests there is no evidence.
const RETENTION: Duration = Duration::from_secs(10);
/// Gateways that must have failed at a replica before the others of the zone avoid it.
const MIN_REPORTERS: usize = 2;
/// Maximum of that number; it doubles with each success of another gateway.
const MAX_REPORTERS: usize = 16;
/// Time until the first trial; it doubles with each that fails.
const MIN_TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Maximum time between trials.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(4);
/// Time for which gateways may try before the next ones do. They may have no request.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Maximum number of records; the least recently used one is dropped.
const MAX_RECORDS: usize = 1_024;

/// What a gateway tells the monitors of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Hash of the incarnation.
    pub incarnation: u64,
    /// Hash of the reporter's zone.
    pub zone: u64,
    /// What happened there.
    pub evidence: Evidence,
}

/// What a request shows of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// It failed, which shows something if so many have failed without a success between them.
    Failure(u32),
    /// It succeeded, and was sent after a failure.
    Success,
}

/// What a monitor tells all gateways of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaVerdict {
    /// Hash of the incarnation.
    pub incarnation: u64,
    /// Hash of the zone whose gateways it concerns.
    pub zone: u64,
    /// How long the replica has failed; `None` if it works again.
    pub failing_for: Option<Duration>,
    /// Gateways that may try it: a reporter, and one that may be connected in another way.
    pub testers: Vec<SocketAddr>,
}

/// A replica as seen from a zone.
type Subject = (u64, u64);

#[derive(Clone, Debug, Default)]
struct Record {
    /// Gateways that failed lately since the last success, the last one at the end.
    reporters: VecDeque<Reporter>,
    /// Failures since the last success, and how many of them show something according to the reporter
    /// that knows the most errors.
    failures: u32,
    needed_failures: u32,
    /// Reporters that make the others avoid the replica, [`MIN_REPORTERS`] at least.
    needed_reporters: usize,
    is_avoided: bool,
    trials: u32,
    failed_trials: u32,
    testers: Vec<SocketAddr>,
    /// When the trial begins, or has begun.
    trial_at: Time,
    used_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    address: SocketAddr,
    first_at: Time,
    last_at: Time,
}

/// Reported failures of the replicas that this gateway monitors.
#[derive(Clone, Debug, Default)]
pub struct FailureMonitor {
    records: BTreeMap<Subject, Record>,
}

impl FailureMonitor {
    /// Applies a report. Returns what to tell all gateways at once, if anything.
    pub fn apply(
        &mut self,
        report: ReplicaReport,
        reporter: SocketAddr,
        now: Time,
    ) -> Option<ReplicaVerdict> {
        let subject = (report.incarnation, report.zone);
        match report.evidence {
            Evidence::Success => {
                let record = self.records.get_mut(&subject)?;
                record.on_success(reporter, now).then(|| record.verdict(subject, now))
            }
            Evidence::Failure(needed) => {
                self.remove_excess(now);
                let record = self.records.entry(subject).or_default();
                record.on_failure(reporter, needed, now).then(|| record.verdict(subject, now))
            }
        }
    }

    /// Chooses the gateways that may try avoided replicas, among the reporters and `gateways`. Returns
    /// what to tell all gateways, each [`REPEAT_INTERVAL`].
    pub fn repeat(&mut self, gateways: &[SocketAddr], now: Time) -> Vec<ReplicaVerdict> {
        self.records.retain(|_, record| now < record.used_at + RETENTION);
        let avoided = self.records.iter_mut().filter(|(_, record)| record.is_avoided);
        avoided
            .map(|(subject, record)| {
                record.choose_testers(subject.0, gateways, now);
                record.verdict(*subject, now)
            })
            .collect()
    }

    fn remove_excess(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| now < record.used_at + EVIDENCE_TIME);
        let oldest = self.records.iter().min_by_key(|(_, record)| record.used_at);
        if let Some(subject) = oldest.map(|(subject, _)| *subject)
            && self.records.len() >= MAX_RECORDS
        {
            self.records.remove(&subject);
        }
    }
}

impl Record {
    /// Returns whether the replica is avoided from now on and was not before.
    fn on_failure(&mut self, address: SocketAddr, needed_failures: u32, now: Time) -> bool {
        if now >= self.used_at + EVIDENCE_TIME {
            self.needed_reporters = MIN_REPORTERS;
        }
        self.used_at = now;
        if self.is_avoided {
            self.add_reporter(address, now);
            self.on_failed_trial(address, now);
            return false;
        }
        self.reporters.retain(|reporter| now < reporter.last_at + EVIDENCE_TIME);
        if self.reporters.is_empty() {
            self.failures = 0;
            self.needed_failures = 0;
        }
        self.failures += 1;
        self.needed_failures = self.needed_failures.max(needed_failures);
        self.add_reporter(address, now);
        self.is_avoided = self.reporters.len() >= self.needed_reporters.max(MIN_REPORTERS)
            && self.failures >= self.needed_failures;
        if self.is_avoided {
            self.failed_trials = 0;
            self.trial_at = now + trial_pause(0);
        }
        self.is_avoided
    }

    fn on_failed_trial(&mut self, address: SocketAddr, now: Time) {
        let Some(position) = self.testers.iter().position(|tester| *tester == address) else {
            return;
        };
        self.testers.remove(position);
        if self.testers.is_empty() {
            self.failed_trials += 1;
            self.trial_at = now + trial_pause(self.failed_trials);
        }
    }

    fn add_reporter(&mut self, address: SocketAddr, now: Time) {
        let known = self.reporters.iter().position(|reporter| reporter.address == address);
        let known = known.and_then(|position| self.reporters.remove(position));
        let first_at = known.map_or(now, |reporter| reporter.first_at);
        if self.reporters.len() == MAX_REPORTERS {
            self.reporters.pop_front();
        }
        self.reporters.push_back(Reporter { address, first_at, last_at: now });
    }

    /// Returns whether the replica was avoided.
    fn on_success(&mut self, address: SocketAddr, now: Time) -> bool {
        self.used_at = now;
        let is_reporter = self.reporters.iter().any(|reporter| reporter.address == address);
        self.needed_reporters = match is_reporter {
            true => MIN_REPORTERS,
            false => (self.needed_reporters * 2).min(MAX_REPORTERS),
        };
        self.reporters.clear();
        self.failures = 0;
        self.needed_failures = 0;
        self.testers.clear();
        std::mem::take(&mut self.is_avoided)
    }

    fn choose_testers(&mut self, key: u64, gateways: &[SocketAddr], now: Time) {
        let is_over = now >= self.trial_at + TRIAL_TIME;
        if now < self.trial_at || !self.testers.is_empty() && !is_over {
            return;
        }
        self.trials = self.trials.wrapping_add(1);
        self.trial_at = now;
        self.testers.clear();
        // The one that has reported, or tried, longest ago.
        if let Some(reporter) = self.reporters.pop_front() {
            self.testers.push(reporter.address);
            self.reporters.push_back(reporter);
        }
        let is_reporter =
            |address: &&SocketAddr| self.reporters.iter().any(|it| it.address == **address);
        let others: Vec<&SocketAddr> =
            gateways.iter().filter(|address| !is_reporter(address)).collect();
        let position = key.wrapping_add(u64::from(self.trials)) % others.len().max(1) as u64;
        self.testers.extend(others.get(position as usize).copied());
    }

    fn verdict(&self, (incarnation, zone): Subject, now: Time) -> ReplicaVerdict {
        let since = self.reporters.iter().map(|reporter| reporter.first_at).min();
        let failing_for = since.filter(|_| self.is_avoided).map(|since| now.since(since));
        ReplicaVerdict { incarnation, zone, failing_for, testers: self.testers.clone() }
    }
}

fn trial_pause(failed_trials: u32) -> Duration {
    MIN_TRIAL_PAUSE.saturating_mul(1 << failed_trials.min(8)).min(MAX_TRIAL_PAUSE)
}
