//! Elections: terms, pre-votes, votes and the quorum check of a leader.

use crate::log::{Index, Payload, Term};
use crate::member::{RaftMember, Role};
use crate::membership::MemberId;
use crate::message::{Envelope, Message};
use crate::progress::Progress;
use topazmount_types::Time;

impl RaftMember {
    /// Compares a message's term with the own term; returns whether to process the message.
    pub(crate) fn check_term(&mut self, envelope: &Envelope) -> bool {
        let own = self.hard_state.term;
        let is_pre_vote = matches!(envelope.message, Message::PreVote { .. });
        let granted_pre_vote = matches!(envelope.message, Message::PreVoteReply { granted: true });
        if envelope.term > own {
            if is_pre_vote || granted_pre_vote {
                return true;
            }
            if let Message::Vote { transfer, .. } = envelope.message {
                // Thesis §4.2.3 and §6.4.1: no vote for another candidate within a leader's lease.
                if !transfer && self.may_another_leader_hold_lease(envelope.from) {
                    return false;
                }
            }
            self.become_follower(envelope.term, None);
            return true;
        }
        if envelope.term < own {
            // Informs a partitioned leader or candidate of the newer term.
            match envelope.message {
                Message::Append { sent_at, .. } | Message::Snapshot { sent_at, .. } => {
                    let index = self.log.last_index();
                    self.reply(envelope.from, false, index, index, sent_at);
                }
                Message::PreVote { .. } => {
                    self.send(envelope.from, Message::PreVoteReply { granted: false });
                }
                _ => {}
            }
            return false;
        }
        true
    }

    /// Whether a leader other than the candidate may still hold its lease. The last leader that this
    /// member followed has given up its lease when it asks for votes, and leases of earlier leaders
    /// ended before its election.
    fn may_another_leader_hold_lease(&self, candidate: MemberId) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        if self.hard_state.last_leader == Some(candidate) {
            return false;
        }
        let timeout = self.config.election_timeout;
        self.leader_message_at.is_some_and(|at| self.now < at + timeout)
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.hard_state.last_leader = leader.or(self.hard_state.last_leader);
        self.votes.clear();
        self.progress.clear();
        self.transfer_until = None;
        self.reset_election_timer();
    }

    /// Records a message from the leader of the current term.
    pub(crate) fn follow(&mut self, leader: MemberId) {
        self.resume_until = None;
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.leader_message_at = Some(self.now);
        self.reset_election_timer();
    }

    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_at {
            return;
        }
        self.reset_election_timer();
        if self.resume_until.is_some_and(|until| self.now < until) {
            self.election_at = self.now + self.config.heartbeat_interval;
        }
        if !self.membership.voters.contains_key(&self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.id);
        let message =
            Message::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let next_term = self.hard_state.term + 1;
        for id in self.other_voters() {
            self.send_in_term(id, next_term, message.clone());
        }
        self.count_pre_votes();
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term > self.hard_state.term
            && self.is_log_up_to_date(last_index, last_term)
            && !self.may_another_leader_hold_lease(from);
        let reply_term = if granted { term } else { self.hard_state.term };
        self.send_in_term(from, reply_term, Message::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: MemberId, term: Term, granted: bool) {
        let is_current = term == self.hard_state.term + 1;
        if self.role == Role::PreCandidate && granted && is_current {
            self.votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if self.has_vote_quorum() {
            self.start_election(false);
        }
    }

    pub(crate) fn start_election(&mut self, transfer: bool) {
        if !self.membership.voters.contains_key(&self.id) {
            return;
        }
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.id);
        self.votes.clear();
        self.votes.insert(self.id);
        self.reset_election_timer();
        let message = Message::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for id in self.other_voters() {
            self.send(id, message.clone());
        }
        if self.has_vote_quorum() {
            self.become_leader();
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: MemberId,
        last_index: Index,
        last_term: Term,
        transfer: bool,
    ) {
        let can_vote = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let is_lease_over = transfer || !self.may_another_leader_hold_lease(from);
        let granted = self.role == Role::Follower
            && can_vote
            && is_lease_over
            && self.is_log_up_to_date(last_index, last_term);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer();
        }
        self.send(from, Message::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, granted: bool) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_quorum() {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.hard_state.last_leader = Some(self.id);
        self.leader_since = self.now;
        self.transfer_until = None;
        let next = self.log.last_index() + 1;
        let others = self.membership.others(self.id);
        self.progress = others.into_iter().map(|id| (id, Progress::new(next, self.now))).collect();
        self.term_start = self.append_entry(Payload::Empty);
        self.broadcast_append();
        self.heartbeat_at = self.now + self.config.heartbeat_interval;
    }

    pub(crate) fn tick_leader(&mut self) {
        if self.now < self.heartbeat_at {
            return;
        }
        let timeout = self.config.election_timeout;
        let acknowledged_at = self.quorum_acknowledged_at().unwrap_or(self.leader_since);
        // Thesis §6.2: a leader without replies from a quorum steps down.
        let has_lost_quorum = self.now >= acknowledged_at.max(self.leader_since) + timeout * 2;
        let is_transfer_over = self.transfer_until.is_some_and(|until| self.now >= until);
        if has_lost_quorum || is_transfer_over {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.heartbeat_at = self.now + self.config.heartbeat_interval;
        self.broadcast_append();
    }

    /// Latest send time that a quorum has acknowledged; the leader itself counts as acknowledging
    /// now.
    pub(crate) fn quorum_acknowledged_at(&self) -> Option<Time> {
        let mut times: Vec<Time> = self
            .membership
            .voters
            .keys()
            .filter_map(|id| match self.progress.get(id) {
                Some(progress) => progress.acknowledged_at,
                None => (*id == self.id).then_some(self.now),
            })
            .collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(self.membership.quorum() - 1).copied()
    }

    fn is_log_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn has_vote_quorum(&self) -> bool {
        let count = self.votes.iter().filter(|id| self.membership.voters.contains_key(id)).count();
        count >= self.membership.quorum()
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.membership.voters.keys();
        voters.copied().filter(|id| *id != self.id).collect()
    }
}
