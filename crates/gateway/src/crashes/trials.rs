//! Lets single requests through although they, or parts of their prompts, are blocked.
//!
//! What is blocked never runs, so it could never complete and clear itself. One gateway, the first
//! one by rendezvous hashing of the digest, lets one request at a time run as a trial: at once after
//! the block, and after growing pauses once trials have failed. If two gateways take themselves for
//! the first one for a moment, there is one more trial.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::{RequestDigest, Time};

/// Time after which another trial may begin while one is still running. Its gateway may be gone.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a gateway asks again while a trial is running, and the same for each gateway of
/// the fleet, so that a coordinator gets 1,000 requests a second at most.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(1);
/// Time for which trials are left to requests that may be repeated, whose callers lose nothing.
const UNREPEATABLE_PAUSE: Duration = Duration::from_secs(1);
/// Pause after a trial that showed nothing, as its client left.
const INCONCLUSIVE_PAUSE: Duration = Duration::from_secs(1);
/// Pauses after one and more failed trials. Each failed trial costs a replica.
const PAUSES: [Duration; 3] =
    [Duration::from_secs(5), Duration::from_secs(20), Duration::from_secs(60)];
/// Pause after the next failed trial; it doubles with each further one.
const LONG_PAUSE: Duration = Duration::from_secs(300);
/// Maximum pause.
const MAX_PAUSE: Duration = Duration::from_secs(60 * 60);
/// Time for which unused records are kept.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// Maximum number of records, 40 KB at most; the least recently used are dropped.
const MAX_RECORDS: usize = 512;

/// Asks for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The blocked request or prompt part.
    pub digest: RequestDigest,
    /// Failed trials that the control group has recorded, as far as the sender knows.
    pub failed: u32,
    /// Whether the request that would run may be repeated.
    pub is_repeatable: bool,
    /// How long the sender has known of the block.
    pub blocked_for: Duration,
}

/// Response to a request for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialResponse {
    /// The request may be sent to one replica.
    Granted,
    /// Not now.
    Refused(TrialRefusal),
}

/// Why a trial is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRefusal {
    /// Time after which to ask again.
    pub wait: Duration,
    /// Whether a pause after a failed trial, or after the block, is the reason. Otherwise another
    /// trial will soon show whether the request may run, or its coordinator is not known.
    pub is_pause: bool,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialOutcome {
    /// The request completed.
    Completed,
    /// The connection to the replica broke.
    Failed,
    /// The request did not run to its end for another reason.
    Inconclusive,
}

impl TrialOutcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            TrialOutcome::Completed => "trial_completed",
            TrialOutcome::Failed => "trial_failed",
            TrialOutcome::Inconclusive => "trial_inconclusive",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failed: u32,
    running_since: Option<Time>,
    next_at: Time,
    /// When the block began, as far as any gateway told.
    blocked_since: Time,
    used_at: Time,
}

/// Trials that this gateway has granted.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    records: HashMap<RequestDigest, Record>,
}

impl Trials {
    /// Grants a trial unless one is running or the pause after a failed one is not over.
    pub(super) fn grant(
        &mut self,
        request: TrialRequest,
        gateways: usize,
        now: Time,
    ) -> TrialResponse {
        self.remove_excess(now);
        let TrialRequest { digest, failed, is_repeatable, blocked_for } = request;
        let blocked_since = now - blocked_for;
        let record =
            self.records.entry(digest).or_insert(Record { blocked_since, ..Record::default() });
        record.blocked_since = record.blocked_since.min(blocked_since);
        record.used_at = now;
        if failed > record.failed {
            // An earlier coordinator granted the failed ones.
            record.failed = failed;
            record.next_at = record.next_at.max(now + pause(failed));
        }
        if record.running_since.is_some_and(|since| now < since + TRIAL_TIMEOUT) {
            let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
            let wait = POLL_INTERVAL.max(POLL_INTERVAL_PER_GATEWAY.saturating_mul(gateways));
            return TrialResponse::Refused(TrialRefusal { wait, is_pause: false });
        }
        let next_at = match is_repeatable {
            true => record.next_at,
            false => record.next_at.max(record.blocked_since + UNREPEATABLE_PAUSE),
        };
        if now < next_at {
            let wait = next_at.since(now);
            return TrialResponse::Refused(TrialRefusal { wait, is_pause: true });
        }
        record.running_since = Some(now);
        TrialResponse::Granted
    }

    /// Records the end of a trial.
    pub(super) fn on_ended(&mut self, request: RequestDigest, outcome: TrialOutcome, now: Time) {
        let Some(record) = self.records.get_mut(&request) else { return };
        record.running_since = None;
        match outcome {
            TrialOutcome::Completed => drop(self.records.remove(&request)),
            TrialOutcome::Failed => {
                record.failed += 1;
                record.next_at = now + pause(record.failed);
            }
            TrialOutcome::Inconclusive => record.next_at = now + INCONCLUSIVE_PAUSE,
        }
    }

    fn remove_excess(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| now < record.used_at + RETENTION);
        let oldest =
            self.records.iter().min_by_key(|(request, record)| (record.used_at, **request));
        if let Some(request) = oldest.map(|(request, _)| *request)
            && self.records.len() >= MAX_RECORDS
        {
            self.records.remove(&request);
        }
    }
}

/// Pause after so many failed trials.
fn pause(failed: u32) -> Duration {
    let Some(index) = failed.checked_sub(1) else { return Duration::ZERO };
    match PAUSES.get(index as usize) {
        Some(pause) => *pause,
        None => {
            let doublings = (index - PAUSES.len() as u32).min(8);
            (LONG_PAUSE * 2u32.pow(doublings)).min(MAX_PAUSE)
        }
    }
}
