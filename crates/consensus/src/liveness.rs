//! Leader lease, and how recently members have received messages from each other.

use crate::member::{RaftMember, Role};
use crate::membership::MemberId;
use crate::message::ReplyTimestamp;
use std::time::Duration;
use topazmount_types::Time;

impl RaftMember {
    /// Whether this member can serve reads without asking others: it has the lease and has applied
    /// an entry of its term. Before that, entries acknowledged by earlier leaders may not be
    /// applied yet.
    pub fn can_serve_reads(&self, now: Time) -> bool {
        self.has_lease(now) && self.applied() >= self.term_start
    }

    /// Whether this member holds the leader lease: it is the leader, an entry of its term is
    /// committed (thesis §6.4), and a quorum replied within the lease.
    pub fn has_lease(&self, now: Time) -> bool {
        let is_serving = self.role == Role::Leader && self.transfer_until.is_none();
        if !is_serving || self.commit < self.term_start {
            return false;
        }
        self.quorum_acknowledged_at().is_some_and(|at| now < at + self.config.lease)
    }

    /// Whether this member holds the lease, or follows a leader that confirmed its commit index
    /// after a reply that this member sent less than two election timeouts ago. The arrival time of
    /// an append is not used: appends can wait in the socket buffers of a suspended machine.
    pub fn has_confirmed_leader(&self, now: Time) -> bool {
        let limit = self.config.election_timeout * 2;
        let is_fresh = self.echoed_at.is_some_and(|at| now < at + limit);
        self.has_lease(now) || (self.leader.is_some() && is_fresh)
    }

    /// Records the timestamp of an own reply that a leader echoed.
    pub(crate) fn record_echo(&mut self, timestamp: Option<ReplyTimestamp>) {
        let own_timestamp = timestamp.filter(|timestamp| {
            timestamp.incarnation == self.incarnation && timestamp.sent_at <= self.now
        });
        self.echoed_at = self.echoed_at.max(own_timestamp.map(|timestamp| timestamp.sent_at));
    }

    /// Whether the latest reply of every other member had a timestamp; members of legacy builds
    /// send none.
    pub fn do_all_replies_have_timestamps(&self) -> bool {
        let has_timestamp = |id: &MemberId| {
            self.progress.get(id).is_some_and(|progress| progress.last_reply.is_some())
        };
        let membership = self.membership();
        let mut others = membership.voters.keys().chain(membership.learners.keys());
        others.all(|id| *id == self.id || has_timestamp(id))
    }

    /// Whether the commit index of this leader is recent enough to confirm it to followers: an
    /// entry of its term is committed, and a quorum replied to messages of the last two election
    /// timeouts.
    pub(crate) fn can_confirm_commit(&self) -> bool {
        let limit = self.config.election_timeout * 2;
        let has_quorum = self.quorum_acknowledged_at().is_some_and(|at| self.now < at + limit);
        self.commit >= self.term_start && has_quorum
    }

    /// Whether this member has a confirmed leader and has applied all entries that its leaders
    /// reported as committed.
    pub fn is_up_to_date(&self, now: Time) -> bool {
        let has_applied_all = self.role == Role::Leader || self.applied() >= self.leader_commit;
        has_applied_all && self.has_confirmed_leader(now)
    }

    /// Time since the last message from a leader; zero on the leader.
    pub fn time_since_leader(&self, now: Time) -> Duration {
        if self.role == Role::Leader {
            return Duration::ZERO;
        }
        self.leader_message_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Time since a member last replied to this leader, or since the leader started sending to it
    /// if it never did.
    pub fn time_since_reply(&self, id: MemberId, now: Time) -> Duration {
        if id == self.id {
            return Duration::ZERO;
        }
        let Some(progress) = self.progress.get(&id) else { return Duration::MAX };
        now.since(
            progress.acknowledged_at.map_or(progress.started_at, |at| at.max(progress.started_at)),
        )
    }

    /// Whether a learner lacks at most `slack` committed entries.
    pub fn is_caught_up(&self, id: MemberId, slack: u64) -> bool {
        let progress = self.progress.get(&id);
        self.role == Role::Leader
            && progress.is_some_and(|progress| progress.matched + slack >= self.commit)
    }

    /// Whether a member replied to this leader within two election timeouts.
    pub fn is_responsive(&self, id: MemberId, now: Time) -> bool {
        let limit = self.config.election_timeout * 2;
        let acknowledged_at = self.progress.get(&id).and_then(|progress| progress.acknowledged_at);
        id == self.id || acknowledged_at.is_some_and(|at| now < at + limit)
    }

    /// Whether a member replied to a message that this leader sent after `time`.
    pub fn has_replied_since(&self, id: MemberId, time: Time) -> bool {
        let acknowledged_at = self.progress.get(&id).and_then(|progress| progress.acknowledged_at);
        id == self.id || acknowledged_at.is_some_and(|at| at > time)
    }
}
