//! Detects requests that crash replicas, and blocks them.
//!
//! A crash ends all requests at a replica, so each of them is suspected. A request is blocked after
//! [`CRASHES_TO_BLOCK`] consecutive crashes that no other request explains.

use super::events::{BlockEvent, CountedCrash};
use super::protocol::is_default;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_types::{ReplicaId, RequestDigest, Time};

/// Crashes after which a request is blocked. Fewer may hit requests that merely ran beside the
/// cause, since both are retried at the same moment.
pub const CRASHES_TO_BLOCK: usize = 3;
/// Duration of the first block, within which a caller that retries again and again gives up. A single
/// further crash blocks the request again, for twice as long; one that completes after new weights
/// or a repair is served again.
const INITIAL_BLOCK: Duration = Duration::from_secs(5 * 60);
/// Maximum duration of a block.
const MAX_BLOCK: Duration = Duration::from_secs(60 * 60);
/// Time after its last crash or block for which a suspect is kept.
const RETENTION: Duration = Duration::from_secs(10 * 60);
/// Crashes closer together than this count as one, since power loss ends many replicas at once and
/// gateways report some milliseconds later.
const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(30);
/// Maximum number of suspects; bounds the snapshot size, to which they add 350 KB at most. The loss of
/// 60 replicas with 16 runs each suspects 960 requests.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of blocked requests; the list is sent to each gateway when it changes, 4.4 KB at
/// most, or 4.9 KB if replicas crashed under all of them since.
const MAX_BLOCKED: usize = 256;
/// Time between two crashes at a host within which one explains the other.
const HOST_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of crashes that are kept by host, 10 KB at most; the oldest are dropped.
const MAX_HOST_CRASHES: usize = 512;
/// Maximum number of crashes kept per suspect.
const MAX_CRASHES_PER_SUSPECT: usize = 8;

/// Short hash of a replica's address, which the next incarnation there shares; 0 if it is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostKey(pub u16);

impl HostKey {
    /// Key of an address.
    pub fn of(address: &str) -> Self {
        let hash = ReplicaId::from_name(address).0;
        HostKey((hash >> 48) as u16 | 1)
    }
}

/// A replica that crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: RequestDigest,
    /// Identifier of the replica, including its incarnation.
    pub replica: ReplicaId,
    /// How long the replica had run the request.
    pub ran_for: Duration,
    /// How long ago it crashed.
    pub age: Duration,
    /// Where it ran.
    #[serde(default, skip_serializing_if = "is_default")]
    pub host: HostKey,
}

/// Crashes seen by a gateway. Sent repeatedly until they are old; each record counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes.
    pub crashes: Vec<CrashRecord>,
    /// Suspected requests that have completed since.
    pub completed: Vec<RequestDigest>,
}

impl CrashReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty()
    }
}

/// A request that must not be sent to any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedRequest {
    /// The request.
    pub request: RequestDigest,
    /// Time between the first and the last crash of the request.
    #[serde(rename = "evidence")]
    pub crash_span: Duration,
    /// Whether replicas crash at the same hosts without it, so that the crashes that only it explains
    /// are too few to block it.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_explained: bool,
    /// Crashes that only it explains, beyond those that block it.
    #[serde(default, skip_serializing_if = "is_default")]
    pub further_crashes: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    replica: ReplicaId,
    began: Time,
    at: Time,
    #[serde(default, skip_serializing_if = "is_default")]
    host: HostKey,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Sorted by time.
    crashes: Vec<Crash>,
    /// Crashes before the request completed; they don't count, even if reported again.
    dismissed: Vec<ReplicaId>,
    /// How often it was blocked.
    blocks: u32,
    blocked_until: Option<Time>,
    changed_at: Time,
}

impl Suspect {
    /// Crashes that each began after the previous one. Concurrent runs of a request that end
    /// together count once.
    fn consecutive_crashes(&self) -> Vec<&Crash> {
        let mut consecutive: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let is_next = consecutive.last().is_none_or(|last| {
                crash.began + SIMULTANEITY_WINDOW >= last.at
                    && crash.at >= last.at + SIMULTANEITY_WINDOW
            });
            if is_next {
                consecutive.push(crash);
            }
        }
        consecutive
    }

    fn was_at(&self, replica: ReplicaId) -> bool {
        self.crashes.iter().any(|crash| crash.replica == replica)
    }

    fn was_at_all_crashes_of(&self, other: &Suspect) -> bool {
        other.crashes.iter().all(|crash| self.was_at(crash.replica))
    }

    fn has_recorded(&self, replica: ReplicaId) -> bool {
        self.was_at(replica) || self.dismissed.contains(&replica)
    }

    fn add(&mut self, crash: Crash) {
        let position = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES_PER_SUSPECT {
            self.crashes.remove(0);
        }
    }

    fn dismiss(&mut self) {
        self.dismissed.extend(self.crashes.drain(..).map(|crash| crash.replica));
        let excess = self.dismissed.len().saturating_sub(MAX_CRASHES_PER_SUSPECT);
        self.dismissed.drain(..excess);
    }

    fn crash_span(&self) -> Duration {
        let (first, last) = (self.crashes.first(), self.crashes.last());
        first.zip(last).map_or(Duration::ZERO, |(first, last)| last.at.since(first.at))
    }

    fn is_due(&self, now: Time) -> bool {
        let forgotten = self.blocked_until.is_none() && self.changed_at + RETENTION <= now;
        forgotten || self.blocked_until.is_some_and(|until| until <= now)
    }
}

/// A crash of a replica, whatever ran there. It is kept when all that ran there has completed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HostCrash {
    host: HostKey,
    replica: ReplicaId,
    at: Time,
}

/// Suspected and blocked requests. Invariants: a crash counts once per request, however often it is
/// reported; a request that completed after its last crash is not blocked; the blocked revision
/// only rises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLedger {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Revision of the set of blocked requests.
    #[serde(rename = "changes")]
    blocked_revision: u64,
    /// Latest crashes at known hosts, in the order in which they were recorded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    host_crashes: Vec<HostCrash>,
}

impl CrashLedger {
    /// Revision of the set of blocked requests.
    pub fn blocked_revision(&self) -> u64 {
        self.blocked_revision
    }

    /// Whether a request is blocked.
    pub fn is_blocked(&self, request: RequestDigest) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| suspect.blocked_until.is_some())
    }

    /// All blocked requests.
    pub fn blocked(&self) -> Vec<BlockedRequest> {
        let is_blocked =
            |(_, suspect): &(&RequestDigest, &Suspect)| suspect.blocked_until.is_some();
        let blocked: Vec<(&RequestDigest, &Suspect)> =
            self.suspects.iter().filter(is_blocked).collect();
        let accused_at: BTreeSet<ReplicaId> = blocked
            .iter()
            .flat_map(|(_, suspect)| suspect.crashes.iter().map(|crash| crash.replica))
            .collect();
        let entry = |(request, suspect): (&RequestDigest, &Suspect)| {
            let crashes = suspect.consecutive_crashes();
            let unexplained =
                crashes.iter().filter(|crash| !self.is_explained(crash, suspect, &accused_at));
            let count = unexplained.count();
            BlockedRequest {
                request: *request,
                crash_span: suspect.crash_span(),
                is_explained: count < CRASHES_TO_BLOCK,
                further_crashes: count.saturating_sub(CRASHES_TO_BLOCK) as u32,
            }
        };
        blocked.into_iter().map(entry).collect()
    }

    /// Whether another incarnation crashed at the same host without the suspect and any other blocked
    /// request.
    fn is_explained(
        &self,
        crash: &Crash,
        suspect: &Suspect,
        accused_at: &BTreeSet<ReplicaId>,
    ) -> bool {
        let at_host = self.host_crashes.iter().filter(|other| other.host == crash.host);
        let without_it = at_host.filter(|other| {
            !suspect.has_recorded(other.replica) && !accused_at.contains(&other.replica)
        });
        without_it
            .map(|other| (crash.at.min(other.at), crash.at.max(other.at)))
            .any(|(first, last)| last.since(first) <= HOST_WINDOW)
    }

    fn record_host_crash(&mut self, crash: HostCrash) {
        let is_known = self.host_crashes.iter().any(|known| known.replica == crash.replica);
        if crash.host == HostKey::default() || is_known {
            return;
        }
        self.host_crashes.push(crash);
        let excess = self.host_crashes.len().saturating_sub(MAX_HOST_CRASHES);
        self.host_crashes.drain(..excess);
    }

    /// Digests of all blocked requests.
    pub(crate) fn blocked_digests(&self) -> BTreeSet<RequestDigest> {
        let blocked = self.suspects.iter().filter(|(_, suspect)| suspect.blocked_until.is_some());
        blocked.map(|(request, _)| *request).collect()
    }

    /// What is known about a request that was blocked or unblocked.
    pub(crate) fn block_event(&self, request: RequestDigest, now: Time) -> BlockEvent {
        let suspect = self.suspects.get(&request);
        let crashes = suspect.map(Suspect::consecutive_crashes).unwrap_or_default();
        let counted = crashes.into_iter().map(|crash| CountedCrash {
            replica: crash.replica,
            age: now.since(crash.at),
            ran_for: crash.at.since(crash.began),
        });
        let is_blocked = self.is_blocked(request);
        BlockEvent { request, is_blocked, crashes: counted.collect() }
    }

    /// Number of suspects.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// The part of a report that is not recorded yet.
    pub fn new_in(&self, report: &CrashReport) -> CrashReport {
        let is_new = |crash: &&CrashRecord| {
            let suspect = self.suspects.get(&crash.request);
            suspect.is_none_or(|suspect| !suspect.has_recorded(crash.replica))
        };
        let is_accused = |request: &&RequestDigest| {
            self.suspects.get(request).is_some_and(|suspect| !suspect.crashes.is_empty())
        };
        CrashReport {
            crashes: report.crashes.iter().filter(is_new).copied().collect(),
            completed: report.completed.iter().filter(is_accused).copied().collect(),
        }
    }

    /// The part of a report that is worth recording. Attempts that began after the crash of their
    /// replica are no evidence. While the ledger is full, suspects older than all others would be
    /// removed at once, and again with each repetition of the report.
    pub fn worth_recording(&self, now: Time, report: &CrashReport) -> CrashReport {
        let mut new = self.new_in(report);
        let ended_at = self.replica_ends(now, &new);
        new.crashes.retain(|crash| {
            let began = now - crash.age - crash.ran_for;
            ended_at.get(&crash.replica).is_none_or(|at| began < *at + SIMULTANEITY_WINDOW)
        });
        if self.suspects.len() >= MAX_SUSPECTS {
            let unblocked = self.suspects.values().filter(|it| it.blocked_until.is_none());
            let oldest = unblocked.map(|suspect| suspect.changed_at).min();
            new.crashes.retain(|crash| {
                let is_known = self.suspects.contains_key(&crash.request);
                is_known || oldest.is_none_or(|oldest| now - crash.age > oldest)
            });
        }
        new
    }

    /// When replicas crashed, by the earliest crash that is known or reported of each.
    fn replica_ends(&self, now: Time, report: &CrashReport) -> BTreeMap<ReplicaId, Time> {
        let known = self.host_crashes.iter().map(|crash| (crash.replica, crash.at));
        let reported = report.crashes.iter().map(|crash| (crash.replica, now - crash.age));
        let mut ends = BTreeMap::new();
        for (replica, at) in known.chain(reported) {
            let end = ends.entry(replica).or_insert(at);
            *end = at.min(*end);
        }
        ends
    }

    /// Records a gateway's report.
    pub fn record(&mut self, now: Time, report: &CrashReport) {
        let new = self.new_in(report);
        let before = self.blocked();
        for crash in &new.crashes {
            let at = now - crash.age;
            let began = at - crash.ran_for;
            let suspect = self.suspects.entry(crash.request).or_default();
            suspect.add(Crash { replica: crash.replica, began, at, host: crash.host });
            suspect.changed_at = suspect.changed_at.max(now);
            let CrashRecord { host, replica, .. } = *crash;
            self.record_host_crash(HostCrash { host, replica, at });
        }
        for request in &new.completed {
            if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.dismiss();
            }
        }
        let (blocked, revision) = (self.blocked(), self.blocked_revision);
        self.update_blocks(now);
        // Gateways judge by the crashes that are known as well.
        if revision == self.blocked_revision && blocked != before {
            self.blocked_revision += 1;
        }
        self.remove_excess();
    }

    /// Whether [`CrashLedger::expire`] has something to do.
    pub fn has_expired(&self, now: Time) -> bool {
        self.suspects.values().any(|suspect| suspect.is_due(now))
    }

    /// Ends expired blocks and removes old suspects.
    pub fn expire(&mut self, now: Time) {
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.is_due(now)) {
            if suspect.blocked_until.is_some() {
                // One more crash blocks it again.
                let kept = CRASHES_TO_BLOCK - 1;
                let consecutive: Vec<Crash> =
                    suspect.consecutive_crashes().into_iter().copied().collect();
                suspect.crashes = consecutive[consecutive.len().saturating_sub(kept)..].to_vec();
                suspect.blocked_until = None;
                suspect.changed_at = now;
                self.blocked_revision += 1;
            }
        }
        self.suspects.retain(|_, suspect| !suspect.is_due(now));
    }

    /// Blocks requests with enough crashes, and unblocks those with too few.
    fn update_blocks(&mut self, now: Time) {
        // All others stay as they are.
        let may_change = |suspect: &Suspect| {
            suspect.blocked_until.is_some() || suspect.crashes.len() >= CRASHES_TO_BLOCK
        };
        let decisions: Vec<(RequestDigest, bool)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| may_change(suspect))
            .map(|(request, suspect)| (*request, self.should_block(*request, suspect)))
            .collect();
        let is_blocked = |suspect: &&Suspect| suspect.blocked_until.is_some();
        let mut blocked = self.suspects.values().filter(is_blocked).count();
        for (request, should_block) in decisions {
            let Some(suspect) = self.suspects.get_mut(&request) else { continue };
            match (suspect.blocked_until, should_block) {
                (None, true) if blocked < MAX_BLOCKED => {
                    let time = INITIAL_BLOCK * 2u32.saturating_pow(suspect.blocks.min(8));
                    suspect.blocked_until = Some(now + time.min(MAX_BLOCK));
                    suspect.blocks += 1;
                    self.blocked_revision += 1;
                    blocked += 1;
                }
                (Some(_), false) => {
                    suspect.blocked_until = None;
                    suspect.blocks = suspect.blocks.saturating_sub(1);
                    self.blocked_revision += 1;
                    blocked -= 1;
                }
                _ => {}
            }
        }
    }

    /// Whether a request has enough crashes that no other request explains. A request that was
    /// present at all of them and at more crashes explains them; if both have the same number, the
    /// next crash decides.
    fn should_block(&self, request: RequestDigest, suspect: &Suspect) -> bool {
        if suspect.crashes.len() < CRASHES_TO_BLOCK {
            return false;
        }
        let count = suspect.consecutive_crashes().len();
        if count < CRASHES_TO_BLOCK {
            return false;
        }
        let others = self.suspects.iter().filter(|(other, _)| **other != request);
        let mut others =
            others.map(|(_, other)| other).filter(|other| other.was_at_all_crashes_of(suspect));
        !others.any(|other| {
            let other = other.consecutive_crashes().len();
            other > count || (other == count && count == CRASHES_TO_BLOCK)
        })
    }

    /// Removes surplus suspects: those not blocked first, oldest first.
    fn remove_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let order = |(request, suspect): (&RequestDigest, &Suspect)| {
            (suspect.blocked_until, suspect.changed_at, *request)
        };
        let mut ordered: Vec<_> = self.suspects.iter().map(order).collect();
        ordered.select_nth_unstable(excess - 1);
        for (_, _, request) in &ordered[..excess] {
            self.suspects.remove(request);
        }
    }
}
