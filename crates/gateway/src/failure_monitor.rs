//! Collects the failures of replicas that gateways report, so that the other gateways avoid a replica
//! before each of them has failed there itself.
//!
//! The first gateways by rendezvous hashing of an incarnation monitor it. Links between two zones may
//! fail for all of one zone, so a report counts in the reporter's zone only, and at least two gateways
//! of it must have failed, as one may be at fault itself. An avoided replica gets trials through one
//! reporter at a time. A success ends the avoidance.

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
/// Gateways that must have failed at a replica before the others of the zone avoid it.
const MIN_REPORTERS: usize = 2;
/// Maximum of that number; it doubles with each success of another gateway in between.
const MAX_REPORTERS: usize = 16;
/// Time until the first trial, and after the second failed one; it doubles with each.
const MIN_TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Maximum time between trials.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a reporter may try before the next one does. It may have no request.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Maximum number of records, 600 KB at most; the least recently used are dropped.
const MAX_RECORDS: usize = 1_024;

/// What a gateway tells the monitors of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Hash of the incarnation.
    pub incarnation: u64,
    /// Hash of the reporter's zone.
    pub zone: u64,
    /// Whether a request failed there; otherwise one succeeded that was sent after a failure.
    pub has_failed: bool,
}

/// What a monitor tells all gateways of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaVerdict {
    /// Hash of the incarnation.
    pub incarnation: u64,
    /// Hash of the zone whose gateways it concerns.
    pub zone: u64,
    /// How long the replica has failed; `None` if it works again.
    pub failing_for: Option<Duration>,
    /// The gateway that may try it.
    pub tester: Option<SocketAddr>,
}

/// A replica as seen from a zone.
type Subject = (u64, u64);

#[derive(Clone, Debug, Default)]
struct Record {
    /// Gateways that failed lately since the last success, the last one at the end.
    reporters: VecDeque<Reporter>,
    /// Reporters that make the others avoid the replica.
    needed: usize,
    is_avoided: bool,
    failed_trials: u32,
    tester: Option<SocketAddr>,
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
        if !report.has_failed {
            let record = self.records.get_mut(&subject)?;
            return record.on_success(reporter, now).then(|| record.verdict(subject, now));
        }
        self.remove_excess(now);
        let record = self.records.entry(subject).or_default();
        record.on_failure(reporter, now).then(|| record.verdict(subject, now))
    }

    /// Chooses the gateways that may try avoided replicas. Returns what to tell all gateways, each
    /// [`REPEAT_INTERVAL`].
    pub fn repeat(&mut self, now: Time) -> Vec<ReplicaVerdict> {
        // Without reports nobody sends requests there, so the other gateways may find out.
        self.records.retain(|_, record| now < record.used_at + 2 * EVIDENCE_TIME);
        let avoided = self.records.iter_mut().filter(|(_, record)| record.is_avoided);
        avoided
            .map(|(subject, record)| {
                record.choose_tester(now);
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
    fn on_failure(&mut self, address: SocketAddr, now: Time) -> bool {
        if now >= self.used_at + EVIDENCE_TIME {
            self.needed = MIN_REPORTERS;
        }
        self.used_at = now;
        if self.is_avoided {
            self.add_reporter(address, now);
            if self.tester == Some(address) {
                self.tester = None;
                self.failed_trials += 1;
                self.trial_at = now + trial_pause(self.failed_trials);
            }
            return false;
        }
        self.reporters.retain(|reporter| now < reporter.last_at + EVIDENCE_TIME);
        self.add_reporter(address, now);
        self.is_avoided = self.reporters.len() >= self.needed;
        if self.is_avoided {
            self.failed_trials = 0;
            self.trial_at = now + trial_pause(0);
        }
        self.is_avoided
    }

    fn add_reporter(&mut self, address: SocketAddr, now: Time) {
        let known = self.reporters.iter().position(|reporter| reporter.address == address);
        let known = known.and_then(|position| self.reporters.remove(position));
        let first_at = known.map_or(now, |reporter| reporter.first_at);
        self.reporters.push_back(Reporter { address, first_at, last_at: now });
        if self.reporters.len() > MAX_REPORTERS {
            self.reporters.pop_front();
        }
    }

    /// Returns whether the replica was avoided.
    fn on_success(&mut self, address: SocketAddr, now: Time) -> bool {
        self.used_at = now;
        self.reporters.clear();
        let was_avoided = std::mem::take(&mut self.is_avoided);
        if was_avoided {
            self.needed = match self.tester == Some(address) {
                true => MIN_REPORTERS,
                false => (self.needed * 2).min(MAX_REPORTERS),
            };
        }
        self.tester = None;
        was_avoided
    }

    fn choose_tester(&mut self, now: Time) {
        let is_over = now >= self.trial_at + TRIAL_TIME;
        if now < self.trial_at || self.tester.is_some() && !is_over {
            return;
        }
        // The one that has reported longest ago.
        self.tester = self.reporters.front().map(|reporter| reporter.address);
        self.reporters.rotate_left(1);
        self.trial_at = now;
    }

    fn verdict(&self, (incarnation, zone): Subject, now: Time) -> ReplicaVerdict {
        let since = self.reporters.iter().map(|reporter| reporter.first_at).min();
        let failing_for = since.filter(|_| self.is_avoided).map(|since| now.since(since));
        ReplicaVerdict { incarnation, zone, failing_for, tester: self.tester }
    }
}

fn trial_pause(failed_trials: u32) -> Duration {
    MIN_TRIAL_PAUSE.saturating_mul(1 << failed_trials.min(8)).min(MAX_TRIAL_PAUSE)
}
