//! What a driver must do after it has fed a replica.

use crate::log::{Entry, Index, Snapshot, Term};
use crate::membership::MemberId;
use crate::message::Envelope;
use serde::{Deserialize, Serialize};

/// State that must be durable before any message that follows from it is sent (thesis §3.8).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Vote given in it.
    pub voted_for: Option<MemberId>,
    /// Leader that this member followed last, in whatever term; itself if it led since. Absent in
    /// state that older versions wrote.
    #[serde(default)]
    pub last_leader: Option<MemberId>,
}

/// One batch of work. The order is fixed: make `hard_state`, `snapshot` and `entries` durable,
/// then send `messages`, then apply `restore` and `committed`, then call
/// [`crate::RaftMember::advance`].
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// New term or vote.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader; replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; the first may lie before the end of the durable log, which is then cut.
    pub entries: Vec<Entry>,
    /// Messages to send after the state is durable.
    pub messages: Vec<Envelope>,
    /// Snapshot to restore the state machine from.
    pub restore: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Last position of `entries`, if any.
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

    /// Whether something must be made durable.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
