//! The log as kept in memory: a snapshot's place and the entries after it.

use crate::membership::Membership;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Position in the log; the first entry has 1.
pub type Index = u64;
/// Election term.
pub type Term = u64;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term; carries nothing (thesis §6.4).
    Empty,
    /// A command for the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The membership from this entry on, effective as soon as it is in the log (thesis §4.1).
    Membership(Membership),
}

impl Payload {
    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Payload::Empty => 1,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => {
                64 * (membership.voters.len() + membership.learners.len())
            }
        }
    }
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that made it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Where a snapshot stands in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
}

/// State of the machine at an entry, in place of the log up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Its place.
    pub meta: SnapshotMeta,
    /// Encoded state.
    pub data: Arc<Vec<u8>>,
}

/// Entries after a base, which is a snapshot's place or a little before it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log of `entries` that follow the base without a gap.
    pub fn new(base_index: Index, base_term: Term, entries: Vec<Entry>) -> Self {
        Log { base_index, base_term, entries: entries.into() }
    }

    /// Position of the last entry, or of the base.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the base.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Position of the first entry that is still here.
    pub fn first_index(&self) -> Index {
        self.base_index + 1
    }

    /// Term at a position; `None` when it is compacted away or not here yet.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entry at a position.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `start` on, at least one where there is one, up to `max_bytes`.
    pub fn slice(&self, start: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        let mut index = start;
        while let Some(entry) = self.entry(index) {
            bytes += entry.payload.size();
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index += 1;
        }
        slice
    }

    /// Entries in `first..=last`.
    pub fn range(&self, first: Index, last: Index) -> Vec<Entry> {
        (first..=last).filter_map(|index| self.entry(index).cloned()).collect()
    }

    /// Adds an entry that must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Drops entries up to and including `index`.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let drop = (index - self.base_index) as usize;
        self.entries.drain(..drop);
        self.base_index = index;
        self.base_term = term;
    }

    /// Forgets everything in favour of a snapshot's place.
    pub fn reset(&mut self, index: Index, term: Term) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
    }

    /// The newest membership entry at or before the end, if one is still in the log.
    pub fn newest_membership(&self) -> Option<(Index, &Membership)> {
        self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        })
    }
}
