//! Who has heard whom, and how lately: the lease, and what a leader knows of its followers.

use crate::member::{RaftMember, Role};
use crate::membership::MemberId;
use crate::message::ReplyTimestamp;
use std::time::Duration;
use topazmount_types::Time;

impl RaftMember {
    /// Whether this member may answer reads on its own word: it has the lease, and has applied an entry of
    /// its term. What earlier leaders acknowledged would be missing in a read that is answered between the
    /// commit of that entry and its application.
    pub fn can_serve_reads(&self, now: Time) -> bool {
        self.has_lease(now) && self.applied() >= self.term_start
    }

    /// Whether this member may give orders on its own word: it leads, an entry of its term is committed
    /// (thesis §6.4) and a quorum answered within the lease.
    pub fn has_lease(&self, now: Time) -> bool {
        let is_serving = self.role == Role::Leader && self.transfer_until.is_none();
        if !is_serving || self.commit < self.term_start {
            return false;
        }
        self.quorum_acknowledged_at().is_some_and(|at| now < at + self.config.lease)
    }

    /// Whether this member leads with a lease, or follows a leader that vouched for its commit position after this
    /// member's reply of less than two election timeouts ago. Counted from the arrival of appends instead, a follower
    /// that wakes up would take those that waited in its sockets for fresh word.
    pub fn has_confirmed_leader(&self, now: Time) -> bool {
        let limit = self.config.election_timeout * 2;
        let is_fresh = self.echoed_at.is_some_and(|at| now < at + limit);
        self.has_lease(now) || (self.leader.is_some() && is_fresh)
    }

    /// Takes back the mark of an own reply.
    pub(crate) fn record_echo(&mut self, timestamp: Option<ReplyTimestamp>) {
        let own = timestamp.filter(|timestamp| {
            timestamp.incarnation == self.incarnation && timestamp.sent_at <= self.now
        });
        self.echoed_at = self.echoed_at.max(own.map(|timestamp| timestamp.sent_at));
    }

    /// Whether the newest reply of each other member to this leader was marked, which the first builds do not do.
    pub fn do_all_replies_have_timestamps(&self) -> bool {
        let has_marked = |id: &MemberId| {
            self.progress.get(id).is_some_and(|progress| progress.last_reply.is_some())
        };
        let membership = self.membership();
        let mut others = membership.voters.keys().chain(membership.learners.keys());
        others.all(|id| *id == self.id || has_marked(id))
    }

    /// Whether this leader's commit position has all that was acknowledged until an election timeout ago: an entry of
    /// its term is committed, and a quorum answered what it sent within two election timeouts.
    pub(crate) fn can_vouch(&self) -> bool {
        let limit = self.config.election_timeout * 2;
        let is_answered = self.quorum_acknowledged_at().is_some_and(|at| self.now < at + limit);
        self.commit >= self.term_start && is_answered
    }

    /// Whether this member is in contact and has applied all that its leaders said to have committed. Unlike
    /// [`RaftMember::has_confirmed_leader`] it excludes a follower that hears the leader and still lacks entries.
    pub fn is_up_to_date(&self, now: Time) -> bool {
        let has_all = self.role == Role::Leader || self.applied() >= self.leader_commit;
        has_all && self.has_confirmed_leader(now)
    }

    /// How long this member has not heard from any leader; zero for a leader.
    pub fn time_since_leader(&self, now: Time) -> Duration {
        if self.role == Role::Leader {
            return Duration::ZERO;
        }
        self.leader_heard_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// How long a member has not answered this leader; where it never did, counted from when the leader
    /// began to send to it.
    pub fn time_since_reply(&self, id: MemberId, now: Time) -> Duration {
        if id == self.id {
            return Duration::ZERO;
        }
        let Some(progress) = self.progress.get(&id) else { return Duration::MAX };
        now.since(progress.acknowledged_at.map_or(progress.since, |at| at.max(progress.since)))
    }

    /// Whether a learner has everything that is committed, within `slack` entries.
    pub fn is_caught_up(&self, id: MemberId, slack: u64) -> bool {
        let progress = self.progress.get(&id);
        self.role == Role::Leader
            && progress.is_some_and(|progress| progress.matched + slack >= self.commit)
    }

    /// Whether a member answered this leader within two election timeouts.
    pub fn is_responsive(&self, id: MemberId, now: Time) -> bool {
        let limit = self.config.election_timeout * 2;
        let answered = self.progress.get(&id).and_then(|progress| progress.acknowledged_at);
        id == self.id || answered.is_some_and(|at| now < at + limit)
    }

    /// Whether a member answered something that this leader sent after a moment.
    pub fn has_replied_since(&self, id: MemberId, moment: Time) -> bool {
        let answered = self.progress.get(&id).and_then(|progress| progress.acknowledged_at);
        id == self.id || answered.is_some_and(|at| at > moment)
    }
}
