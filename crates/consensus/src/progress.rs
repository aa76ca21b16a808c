//! Replication progress of a follower, as tracked by the leader.

use crate::log::Index;
use crate::message::ReplyTimestamp;
use topazmount_types::Time;

/// Replication progress of a follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Index of the last entry known to be durable on the follower.
    pub matched: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// Whether the last matching entry is still unknown; appends are then sent one at a time.
    pub is_probing: bool,
    /// Latest send time that the follower acknowledged.
    pub acknowledged_at: Option<Time>,
    /// Timestamp of the follower's latest reply, by its own clock.
    pub last_reply: Option<ReplyTimestamp>,
    /// When this leader started sending to the follower.
    pub started_at: Time,
    /// Snapshot transfer in progress.
    pub snapshot: Option<SnapshotProgress>,
}

/// Transfer of a snapshot to a follower: its index, and the bytes received.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotProgress {
    pub index: Index,
    pub received: u64,
}

impl Progress {
    pub(crate) fn new(next: Index, started_at: Time) -> Self {
        Progress {
            matched: 0,
            next,
            is_probing: true,
            acknowledged_at: None,
            last_reply: None,
            started_at,
            snapshot: None,
        }
    }

    /// Records an accepted append up to `index`.
    pub(crate) fn accept(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = if self.is_probing { self.matched + 1 } else { self.next.max(index + 1) };
        self.is_probing = false;
        let matched = self.matched;
        self.snapshot.take_if(|snapshot| snapshot.index <= matched);
    }

    /// Records the rejection of an append after `previous`; the follower asks to continue after
    /// `hint`. Returns false for an outdated rejection.
    pub(crate) fn reject(&mut self, previous: Index, hint: Index) -> bool {
        let is_outdated =
            previous <= self.matched || (self.is_probing && previous + 1 != self.next);
        if is_outdated {
            return false;
        }
        self.is_probing = true;
        self.next = (hint + 1).clamp(self.matched + 1, previous.max(self.matched + 1));
        true
    }

    /// Records a reply to a message sent at `sent_at`.
    pub(crate) fn acknowledge(&mut self, sent_at: Time) {
        self.acknowledged_at = self.acknowledged_at.max(Some(sent_at));
    }
}
