//! What a leader knows of one follower.

use crate::log::Index;
use topazmount_types::Time;

/// A follower's place in the log.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last entry known to be durable there.
    pub matched: Index,
    /// Next entry to send.
    pub next: Index,
    /// Newest leader time that the follower echoed.
    pub acknowledged_at: Option<Time>,
    /// Snapshot being sent: its place and the bytes that arrived.
    pub snapshot: Option<SnapshotProgress>,
}

/// A snapshot on its way to a follower.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotProgress {
    pub index: Index,
    pub received: u64,
}

impl Progress {
    pub(crate) fn new(next: Index) -> Self {
        Progress { matched: 0, next, acknowledged_at: None, snapshot: None }
    }

    /// Notes that the follower answered something sent at `sent_at`.
    pub(crate) fn acknowledge(&mut self, sent_at: Time) {
        self.acknowledged_at = self.acknowledged_at.max(Some(sent_at));
    }
}
