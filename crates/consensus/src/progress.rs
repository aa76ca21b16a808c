//! What a leader knows of one follower.

use crate::log::Index;
use crate::message::ReplyTimestamp;
use topazmount_types::Time;

/// A follower's place in the log.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last entry known to be durable there.
    pub matched: Index,
    /// Next entry to send.
    pub next: Index,
    /// Whether it is not known where the follower's log parts from the leader's: one append at a
    /// time is sent then, and none in advance of its answer.
    pub is_probing: bool,
    /// Newest leader time that the follower echoed.
    pub acknowledged_at: Option<Time>,
    /// When the follower sent its newest reply, by its own clock.
    pub last_reply: Option<ReplyTimestamp>,
    /// When this leader began to send to the follower.
    pub since: Time,
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
    pub(crate) fn new(next: Index, since: Time) -> Self {
        Progress {
            matched: 0,
            next,
            is_probing: true,
            acknowledged_at: None,
            last_reply: None,
            since,
            snapshot: None,
        }
    }

    /// Takes an accepted append that reached up to `index`.
    pub(crate) fn accept(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = if self.is_probing { self.matched + 1 } else { self.next.max(index + 1) };
        self.is_probing = false;
        let matched = self.matched;
        self.snapshot.take_if(|snapshot| snapshot.index <= matched);
    }

    /// Takes a rejected append whose previous entry was `previous`; the follower asks to go on
    /// after `hint`. Returns whether that says anything new: a late rejection does not.
    pub(crate) fn reject(&mut self, previous: Index, hint: Index) -> bool {
        let is_late = previous <= self.matched || (self.is_probing && previous + 1 != self.next);
        if is_late {
            return false;
        }
        self.is_probing = true;
        self.next = (hint + 1).clamp(self.matched + 1, previous.max(self.matched + 1));
        true
    }

    /// Notes that the follower answered something sent at `sent_at`.
    pub(crate) fn acknowledge(&mut self, sent_at: Time) {
        self.acknowledged_at = self.acknowledged_at.max(Some(sent_at));
    }
}
