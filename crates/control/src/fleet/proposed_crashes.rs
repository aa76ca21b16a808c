//! Crashes that the leader has proposed and may not have applied yet. Gateways repeat their reports
//! with each request, so without this record each of them would be proposed many times.

use super::crashes::CrashReport;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{ReplicaId, RequestDigest, Time};

/// Time after which a repeated report is proposed again, since the proposal may be lost.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A crash of a request at a replica, or the completion of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reported {
    Crash(RequestDigest, ReplicaId),
    Completion(RequestDigest),
}

/// What this member proposed in its term within the last [`PROPOSAL_TIMEOUT`].
#[derive(Debug, Default)]
pub(crate) struct ProposedCrashes {
    term: Term,
    proposed: HashSet<Reported>,
    /// The same, oldest first.
    by_time: VecDeque<(Time, Reported)>,
}

impl ProposedCrashes {
    /// Removes from a report what was proposed lately, and records the rest as proposed.
    pub(crate) fn retain_new(&mut self, now: Time, term: Term, report: &mut CrashReport) {
        if self.term != term {
            *self = ProposedCrashes { term, ..ProposedCrashes::default() };
        }
        self.expire(now);
        report
            .crashes
            .retain(|crash| self.insert(now, Reported::Crash(crash.request, crash.replica)));
        report.completed.retain(|request| self.insert(now, Reported::Completion(*request)));
    }

    fn insert(&mut self, now: Time, reported: Reported) -> bool {
        let is_new = self.proposed.insert(reported);
        if is_new {
            self.by_time.push_back((now, reported));
        }
        is_new
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, reported)) = self.by_time.front()
            && now >= *at + PROPOSAL_TIMEOUT
        {
            self.proposed.remove(reported);
            self.by_time.pop_front();
        }
    }
}
