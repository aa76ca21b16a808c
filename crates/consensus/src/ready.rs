//! Work that a member hands to its driver.

use crate::log::{Entry, Index, Snapshot, Term};
use crate::membership::MemberId;
use crate::message::Envelope;
use serde::{Deserialize, Serialize};

/// State that must be durable before any message that follows from it is sent (thesis §3.8).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Candidate voted for in the current term.
    pub voted_for: Option<MemberId>,
    /// Leader that this member last followed in any term, or itself if it led since. Absent in the
    /// state of older builds.
    #[serde(default)]
    pub last_leader: Option<MemberId>,
}

/// A batch of work. The order is fixed: make `hard_state`, `snapshot` and `entries` durable,
/// then send `messages`, then apply `restore` and `committed`, then call
/// [`crate::RaftMember::advance`].
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Changed term, vote or leader.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, which replaces the log.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; if the first one is not after the end of the durable log, the log is
    /// truncated there.
    pub entries: Vec<Entry>,
    /// Messages to send once the state is durable.
    pub messages: Vec<Envelope>,
    /// Snapshot to restore the state machine from.
    pub restore: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Index of the last of `entries`.
    pub last_appended: Option<Index>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.entries.is_empty()
            && self.messages.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
    }

    /// Whether the batch has state to make durable.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
