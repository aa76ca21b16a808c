//! The in-memory log: the index and term of its base, and the entries after it.

use crate::membership::Membership;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Index in the log; the first entry has index 1.
pub type Index = u64;
/// Election term.
pub type Term = u64;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No-op: the first entry of a leader's term (thesis §6.4).
    Empty,
    /// A command for the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// New membership, in effect as soon as the entry is in the log (thesis §4.1).
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

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Position of a snapshot in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that it includes.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
}

/// State of the state machine at an entry; replaces the log up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the log.
    pub meta: SnapshotMeta,
    /// Encoded state.
    pub data: Arc<Vec<u8>>,
}

/// Entries after a base, which is at or before the latest snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log; `entries` must follow the base without a gap.
    pub fn new(base_index: Index, base_term: Term, entries: Vec<Entry>) -> Self {
        Log { base_index, base_term, entries: entries.into() }
    }

    /// Index of the last entry, or of the base.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry, or of the base.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Index of the first entry in the log.
    pub fn first_index(&self) -> Index {
        self.base_index + 1
    }

    /// Term at an index; `None` if it was compacted or is after the end.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entry at an index.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `start` on, up to `max_bytes` but at least one if there is any.
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

    /// Appends an entry, which must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub fn truncate(&mut self, index: Index) {
        let kept = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Index before the longest run of entries up to `last` whose payloads have `max_bytes` at most.
    pub fn start_within(&self, last: Index, max_bytes: usize) -> Index {
        let mut bytes = 0;
        let mut start = last;
        while let Some(entry) = self.entry(start) {
            bytes += entry.payload.size();
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Payload bytes of all entries.
    pub fn bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.payload.size()).sum()
    }

    /// Removes entries up to and including `index`.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let drop = (index - self.base_index) as usize;
        self.entries.drain(..drop);
        self.base_index = index;
        self.base_term = term;
    }

    /// Removes all entries and sets the base to a snapshot.
    pub fn reset(&mut self, index: Index, term: Term) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
    }

    /// The latest membership entry, if one is in the log.
    pub fn newest_membership(&self) -> Option<(Index, &Membership)> {
        self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        })
    }
}
