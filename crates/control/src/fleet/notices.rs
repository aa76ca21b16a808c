//! What replicas asked of all their callers, kept so that a gateway that starts knows it.
//!
//! Replicas tell only their callers. Each gateway reports what the leader's list lacks, and the
//! leader sends its list to all gateways. Lists are kept in memory. While no leader responds,
//! gateways report all they know to the members they ask instead, so that the next leader has it.
//! The leader also records departures in the log, which survive the loss of all lists.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use topazmount_admission::RequestLimit;
use topazmount_consensus::Term;
use topazmount_types::Time;

/// Maximum number of notices in a list; beyond it the oldest one is dropped.
const MAX_NOTICES: usize = 4_096;
/// Time for which a notice is kept although its incarnation is not registered. A gateway may report
/// it before the registration is applied.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(30);

/// What a replica asked of all its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeKind {
    /// Its request limit; `None` if it no longer has one.
    Limit(Option<RequestLimit>),
    /// It is leaving and wants no more requests.
    Leaving,
}

impl NoticeKind {
    /// Subject of the notice; a later notice replaces an earlier one on the same subject.
    pub fn subject(self) -> NoticeSubject {
        match self {
            NoticeKind::Limit(_) => NoticeSubject::Limit,
            NoticeKind::Leaving => NoticeSubject::Leaving,
        }
    }
}

/// What a notice is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeSubject {
    /// The request limit.
    Limit,
    /// Whether the replica is leaving.
    Leaving,
}

/// A replica's notice, as a gateway received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaNotice {
    /// Name of the replica's incarnation.
    pub incarnation: String,
    /// What it asked.
    pub kind: NoticeKind,
    /// Time since a gateway received it.
    pub age: Duration,
}

#[derive(Clone, Copy)]
struct Entry {
    kind: NoticeKind,
    received_at: Time,
}

/// A member's list. Invariant: the count rises with each change of a notice's content.
#[derive(Default)]
pub(crate) struct NoticeList {
    entries: BTreeMap<(String, NoticeSubject), Entry>,
    count: u64,
}

impl NoticeList {
    /// Applies a gateway's notices. The most recently received one on a subject holds.
    pub(crate) fn on_report(&mut self, now: Time, notices: &[ReplicaNotice]) {
        for notice in notices {
            let key = (notice.incarnation.clone(), notice.kind.subject());
            let received_at = now - notice.age;
            let known = self.entries.get(&key).copied();
            if known.is_some_and(|known| known.received_at >= received_at) {
                continue;
            }
            self.count += u64::from(known.is_none_or(|known| known.kind != notice.kind));
            self.entries.insert(key, Entry { kind: notice.kind, received_at });
        }
        while self.entries.len() > MAX_NOTICES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.received_at);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
            self.entries.remove(&key);
        }
    }

    /// Removes notices of incarnations that are no longer registered.
    pub(crate) fn retain_registered(&mut self, now: Time, registered: &HashSet<String>) {
        self.entries.retain(|(incarnation, _), entry| {
            registered.contains(incarnation) || now < entry.received_at + UNREGISTERED_RETENTION
        });
    }

    /// Names of the incarnations that are leaving.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = &str> {
        let leaving = self.entries.iter().filter(|(_, entry)| entry.kind == NoticeKind::Leaving);
        leaving.map(|((incarnation, _), _)| incarnation.as_str())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The whole list, if a requester has not seen its last change.
    pub(crate) fn update_since(
        &self,
        now: Time,
        term: Term,
        seen: (Term, u64),
    ) -> Option<((Term, u64), Vec<ReplicaNotice>)> {
        let count = (term, self.count);
        if seen == count {
            return None;
        }
        let notices = self.entries.iter().map(|((incarnation, _), entry)| ReplicaNotice {
            incarnation: incarnation.clone(),
            kind: entry.kind,
            age: now.since(entry.received_at),
        });
        Some((count, notices.collect()))
    }
}
