//! State machine of a member: roles, proposals and the batches for the driver.

use crate::config::Config;
use crate::log::{Entry, Index, Log, Payload, Snapshot, Term};
use crate::membership::{MemberId, Membership, MembershipChange};
use crate::message::{Envelope, Message};
use crate::progress::Progress;
use crate::ready::{HardState, Ready};
use crate::wal::RecoveredState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use topazmount_types::Time;

/// Raft role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Collects pre-votes.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Accepts proposals and replicates entries.
    Leader,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This member is not the leader; contains the leader if known.
    #[error("not the leader")]
    NotLeader(Option<MemberId>),
    /// A membership change is in progress, or the leader has not committed an entry of its term
    /// yet.
    #[error("another membership change is in progress")]
    ChangePending,
    /// The change does not apply to the current membership.
    #[error("the change does not apply to the current membership")]
    BadChange,
}

/// A member of a Raft group.
#[derive(Clone)]
pub struct RaftMember {
    pub(crate) id: MemberId,
    pub(crate) config: Config,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    pub(crate) membership: Membership,
    pub(crate) membership_index: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) commit: Index,
    pub(crate) votes: BTreeSet<MemberId>,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) term_start: Index,
    pub(crate) leader_since: Time,
    pub(crate) election_at: Time,
    pub(crate) heartbeat_at: Time,
    pub(crate) leader_message_at: Option<Time>,
    /// Identifies this process in the timestamps of its replies.
    pub(crate) incarnation: u64,
    /// Send time of the latest own reply that a leader echoed when it confirmed its commit index.
    pub(crate) echoed_at: Option<Time>,
    /// Highest commit index reported by a leader.
    pub(crate) leader_commit: Index,
    /// Set during a leadership transfer: the member takes no proposals, has no lease, and steps
    /// down at this time at the latest, so that a delayed `TimeoutNow` can't overlap with a lease.
    pub(crate) transfer_until: Option<Time>,
    /// Set after the restart of a leader: until then it starts elections without waiting for an
    /// election timeout. The others can vote for it at once, since its own lease is over.
    pub(crate) resume_until: Option<Time>,
    pub(crate) incoming: Option<(Snapshot, Vec<u8>)>,
    pub(crate) outbox: Vec<Envelope>,
    pub(crate) now: Time,
    persisted: Index,
    applied: Index,
    saved_hard_state: HardState,
    unsaved_from: Option<Index>,
    unsaved_snapshot: bool,
    pending_restore: bool,
}

impl RaftMember {
    /// Creates a member from its state on disk. `seed` randomizes election timeouts and identifies
    /// the process; it must be different at each start.
    pub fn new(
        id: MemberId,
        config: Config,
        recovered: RecoveredState,
        seed: u64,
        now: Time,
    ) -> Self {
        let RecoveredState { hard_state, snapshot, log } = recovered;
        let mut member = RaftMember {
            id,
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hard_state,
            membership: Membership::default(),
            membership_index: 0,
            role: Role::Follower,
            leader: None,
            commit: snapshot.meta.index,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            term_start: 0,
            leader_since: Time::ZERO,
            election_at: now,
            heartbeat_at: Time::ZERO,
            leader_message_at: None,
            incarnation: seed,
            echoed_at: None,
            leader_commit: 0,
            transfer_until: None,
            resume_until: None,
            incoming: None,
            outbox: Vec::new(),
            now,
            persisted: log.last_index(),
            applied: snapshot.meta.index,
            saved_hard_state: hard_state,
            unsaved_from: None,
            unsaved_snapshot: false,
            pending_restore: snapshot.meta.index > 0,
            log,
            snapshot,
        };
        member.refresh_membership();
        // Before the restart, this member may have acknowledged a leader whose lease is still
        // running; it must not vote for another one until then.
        member.leader_message_at = Some(now);
        member.reset_election_timer();
        if member.hard_state.last_leader == Some(id) {
            member.resume_until = Some(now + member.config.election_timeout);
            member.election_at = now;
        }
        member
    }

    /// Initial state of a new group, the same for all initial members.
    pub fn bootstrap_state(membership: Membership, data: Vec<u8>) -> RecoveredState {
        let meta = crate::log::SnapshotMeta { index: 1, term: 1, membership };
        RecoveredState {
            hard_state: HardState { term: 1, voted_for: None, last_leader: None },
            snapshot: Snapshot { meta, data: data.into() },
            log: Log::new(1, 1, Vec::new()),
        }
    }

    /// Own identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Leader of the current term, when known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Current membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Commit index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Index of the last entry passed to the driver for application.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Index of the last entry in the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Next time at which [`RaftMember::tick`] has work to do.
    pub fn next_wakeup(&self) -> Time {
        match self.role {
            Role::Leader => self.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Entries after an index.
    pub fn entries_after(&self, index: Index) -> Vec<Entry> {
        self.log.range(index + 1, self.log.last_index())
    }

    /// Proposes a command.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] when this member is not the leader or transfers leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, ProposeError> {
        if self.role != Role::Leader || self.transfer_until.is_some() {
            return Err(ProposeError::NotLeader(self.leader.filter(|id| *id != self.id)));
        }
        Ok(self.append_entry(Payload::Command(command)))
    }

    /// Proposes a membership change.
    ///
    /// # Errors
    /// [`ProposeError`] with the reason.
    pub fn propose_change(&mut self, change: &MembershipChange) -> Result<Index, ProposeError> {
        if self.role != Role::Leader || self.transfer_until.is_some() {
            return Err(ProposeError::NotLeader(self.leader.filter(|id| *id != self.id)));
        }
        // Thesis §4.1 and its erratum: the last change and an entry of this term are committed.
        if self.membership_index > self.commit || self.commit < self.term_start {
            return Err(ProposeError::ChangePending);
        }
        let next = self.membership.after_change(change).ok_or(ProposeError::BadChange)?;
        let index = self.append_entry(Payload::Membership(next));
        self.refresh_membership();
        self.broadcast_append();
        Ok(index)
    }

    /// Asks an up-to-date voter to take over leadership; this member takes no proposals until an
    /// election timeout has passed. Returns whether a voter was asked.
    pub fn transfer_leadership(&mut self, now: Time) -> bool {
        self.now = now;
        if self.role != Role::Leader {
            return false;
        }
        let last = self.log.last_index();
        let target = self
            .progress
            .iter()
            .filter(|(id, _)| self.membership.voters.contains_key(id) && **id != self.id)
            .filter(|(_, progress)| progress.matched == last)
            .max_by_key(|(_, progress)| progress.acknowledged_at)
            .map(|(id, _)| *id);
        let Some(target) = target else { return false };
        self.transfer_until = Some(now + self.config.election_timeout);
        self.send(target, Message::TimeoutNow);
        true
    }

    /// Payload bytes of the log in memory.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Stores a snapshot of the applied state and removes entries before it, except for the
    /// retained ones. Returns the snapshot for the driver to make durable.
    pub fn compact(&mut self, data: Vec<u8>) -> Snapshot {
        let index = self.applied;
        let term = self.log.term(index).unwrap_or(self.snapshot.meta.term);
        let membership = self.membership_at(index);
        let meta = crate::log::SnapshotMeta { index, term, membership };
        self.snapshot = Snapshot { meta, data: data.into() };
        let oldest = index.saturating_sub(self.config.retained_entries);
        let retained_from = self.log.start_within(index, self.config.retained_bytes).max(oldest);
        if retained_from >= self.log.first_index() {
            self.log.compact(retained_from);
        }
        self.snapshot.clone()
    }

    /// Next batch of work for the driver.
    pub fn ready(&mut self) -> Option<Ready> {
        let mut ready = Ready::default();
        if self.hard_state != self.saved_hard_state {
            ready.hard_state = Some(self.hard_state);
            self.saved_hard_state = self.hard_state;
        }
        if std::mem::take(&mut self.unsaved_snapshot) {
            ready.snapshot = Some(self.snapshot.clone());
        }
        if let Some(from) = self.unsaved_from.take() {
            ready.entries = self.log.range(from, self.log.last_index());
        }
        ready.last_appended = ready.entries.last().map(|entry| entry.index);
        ready.messages = std::mem::take(&mut self.outbox);
        if std::mem::take(&mut self.pending_restore) {
            ready.restore = Some(self.snapshot.clone());
            self.applied = self.applied.max(self.snapshot.meta.index);
        }
        let apply_until = self.commit.min(self.persisted);
        if apply_until > self.applied {
            ready.committed = self.log.range(self.applied + 1, apply_until);
            self.applied = apply_until;
        }
        (!ready.is_empty()).then_some(ready)
    }

    /// Reports that a batch is durable, sent and applied.
    pub fn advance(&mut self, ready: &Ready) {
        if let Some(snapshot) = &ready.snapshot {
            self.persisted = self.persisted.max(snapshot.meta.index);
        }
        let Some(index) = ready.last_appended else {
            return;
        };
        self.persisted = self.persisted.max(index).min(self.log.last_index());
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Advances the clock and runs due timers.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Processes a received message.
    pub fn step(&mut self, now: Time, envelope: Envelope) {
        self.now = now;
        if envelope.to != self.id {
            return;
        }
        if !self.check_term(&envelope) {
            return;
        }
        let Envelope { from, term, message, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term);
            }
            Message::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote { last_index, last_term, transfer } => {
                self.on_vote(from, last_index, last_term, transfer);
            }
            Message::VoteReply { granted } => self.on_vote_reply(from, granted),
            Message::Append { previous_index, previous_term, entries, commit, sent_at, echoed } => {
                self.follow(from);
                self.leader_commit = self.leader_commit.max(commit);
                self.record_echo(echoed);
                self.on_append(from, (previous_index, previous_term), entries, commit, sent_at);
            }
            Message::AppendReply { accepted, index, previous_index, sent_at, timestamp } => {
                let rejected = (!accepted).then_some(previous_index);
                self.on_append_reply(from, rejected, index, sent_at, timestamp);
            }
            Message::Snapshot { meta, offset, chunk, done, sent_at } => {
                self.follow(from);
                self.on_snapshot(from, meta, (offset, chunk, done), sent_at);
            }
            Message::SnapshotReply { index, received, sent_at } => {
                self.on_snapshot_reply(from, index, received, sent_at);
            }
            Message::TimeoutNow => self.start_election(true),
        }
    }

    /// Appends an entry as the leader.
    pub(crate) fn append_entry(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.push_entry(Entry { index, term: self.hard_state.term, payload });
        index
    }

    pub(crate) fn push_entry(&mut self, entry: Entry) {
        self.mark_unsaved(entry.index);
        self.log.push(entry);
    }

    pub(crate) fn truncate_log(&mut self, index: Index) {
        debug_assert!(index > self.commit, "a committed entry must not be removed");
        self.log.truncate(index);
        self.persisted = self.persisted.min(index - 1);
        if let Some(from) = self.unsaved_from {
            self.unsaved_from = (from < index).then_some(from);
        }
    }

    fn mark_unsaved(&mut self, index: Index) {
        self.unsaved_from = Some(self.unsaved_from.map_or(index, |from| from.min(index)));
    }

    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        self.log.reset(meta.index, meta.term);
        self.commit = meta.index;
        self.persisted = meta.index;
        self.unsaved_from = None;
        self.snapshot = snapshot;
        self.unsaved_snapshot = true;
        self.pending_restore = true;
        self.refresh_membership();
    }

    pub(crate) fn persisted(&self) -> Index {
        self.persisted
    }

    /// Uses the latest membership in the log, committed or not (thesis §4.1).
    pub(crate) fn refresh_membership(&mut self) {
        let (index, membership) = match self.log.newest_membership() {
            Some((index, membership)) if index > self.snapshot.meta.index => {
                (index, membership.clone())
            }
            _ => (self.snapshot.meta.index, self.snapshot.meta.membership.clone()),
        };
        self.membership_index = index;
        self.membership = membership;
        let next = self.log.last_index() + 1;
        if self.role == Role::Leader {
            for id in self.membership.others(self.id) {
                self.progress.entry(id).or_insert_with(|| Progress::new(next, self.now));
            }
            self.progress.retain(|id, _| self.membership.contains(*id));
        }
    }

    fn membership_at(&self, index: Index) -> Membership {
        let first = self.log.first_index().max(self.snapshot.meta.index + 1);
        let in_log =
            (first..=index).rev().find_map(|position| match &self.log.entry(position)?.payload {
                Payload::Membership(membership) => Some(membership.clone()),
                _ => None,
            });
        in_log.unwrap_or_else(|| self.snapshot.meta.membership.clone())
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        self.send_in_term(to, self.hard_state.term, message);
    }

    pub(crate) fn send_in_term(&mut self, to: MemberId, term: Term, message: Message) {
        self.outbox.push(Envelope { from: self.id, to, term, message });
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let base = self.config.election_timeout.as_micros() as u64;
        let wait = self.rng.random_range(base..base * 2);
        self.election_at = Time(self.now.0 + wait);
    }
}
