//! One member's state machine: roles, proposals and the batches handed to the driver.

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

/// What a member does in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows, or waits for, a leader.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Orders entries.
    Leader,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead; the leader is named when known.
    #[error("not the leader")]
    NotLeader(Option<MemberId>),
    /// A membership change is still under way, or the leader has not committed in its term.
    #[error("another membership change is under way")]
    ChangePending,
    /// The change does not fit the membership.
    #[error("the change does not fit the membership")]
    BadChange,
}

/// A member of the group.
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
    pub(crate) leader_heard_at: Option<Time>,
    /// Marks the replies of this process.
    pub(crate) incarnation: u64,
    /// Newest own reply that came back with an append of a leader that could vouch for its commit position.
    pub(crate) echoed_at: Option<Time>,
    /// Newest commit position that a leader told.
    pub(crate) leader_commit: Index,
    /// Set while leadership is being handed over: proposals and the lease are over, and the member
    /// steps down at this time at the latest, so that a late `TimeoutNow` can't meet a live lease.
    pub(crate) transfer_until: Option<Time>,
    /// Set after the restart of a member that led: until then it asks to lead again without waiting
    /// out an election timeout. The others grant that at once, since its lease is over.
    pub(crate) resumes_until: Option<Time>,
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
    /// A member that starts from what its disk holds. `seed` draws the election timeouts and marks the replies; each
    /// start of a process needs another one.
    pub fn new(
        id: MemberId,
        config: Config,
        recovered: RecoveredState,
        seed: u64,
        now: Time,
    ) -> Self {
        let RecoveredState { hard_state, snapshot, log } = recovered;
        let mut replica = RaftMember {
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
            leader_heard_at: None,
            incarnation: seed,
            echoed_at: None,
            leader_commit: 0,
            transfer_until: None,
            resumes_until: None,
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
        replica.refresh_membership();
        // A member that may have given its word to a leader just before the restart must not help
        // elect another within that leader's lease.
        replica.leader_heard_at = Some(now);
        replica.reset_election_timer();
        if replica.hard_state.last_leader == Some(id) {
            replica.resumes_until = Some(now + replica.config.election_timeout);
            replica.election_at = now;
        }
        replica
    }

    /// A new group's first state: all initial members start from this same snapshot.
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

    /// Membership in force here.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Last entry known to be on a quorum of disks.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Last entry handed out to be applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Last entry in the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Next moment at which [`RaftMember::tick`] has something to do.
    pub fn next_wakeup(&self) -> Time {
        match self.role {
            Role::Leader => self.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Entries after a position.
    pub fn entries_after(&self, index: Index) -> Vec<Entry> {
        self.log.range(index + 1, self.log.last_index())
    }

    /// Proposes a command.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] when this member does not lead or is handing over.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, ProposeError> {
        if self.role != Role::Leader || self.transfer_until.is_some() {
            return Err(ProposeError::NotLeader(self.leader.filter(|id| *id != self.id)));
        }
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Proposes a membership change.
    ///
    /// # Errors
    /// [`ProposeError`] says why not.
    pub fn propose_change(&mut self, change: &MembershipChange) -> Result<Index, ProposeError> {
        if self.role != Role::Leader || self.transfer_until.is_some() {
            return Err(ProposeError::NotLeader(self.leader.filter(|id| *id != self.id)));
        }
        // Thesis §4.1 and its erratum: the last change and an entry of this term are committed.
        if self.membership_index > self.commit || self.commit < self.term_start {
            return Err(ProposeError::ChangePending);
        }
        let next = self.membership.after_change(change).ok_or(ProposeError::BadChange)?;
        let index = self.append_own(Payload::Membership(next));
        self.refresh_membership();
        self.broadcast_append();
        Ok(index)
    }

    /// Asks a voter that is up to date to take over; this member then takes no proposals until the
    /// next election timeout. Returns whether somebody was asked.
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

    /// Takes a snapshot of the applied state into use and drops the entries that it covers, but
    /// for a few. Returns it, for the driver to make durable.
    pub fn compact(&mut self, data: Vec<u8>) -> Snapshot {
        let index = self.applied;
        let term = self.log.term(index).unwrap_or(self.snapshot.meta.term);
        let membership = self.membership_at(index);
        let meta = crate::log::SnapshotMeta { index, term, membership };
        self.snapshot = Snapshot { meta, data: data.into() };
        let keep_from = index.saturating_sub(self.config.retained_entries);
        if keep_from >= self.log.first_index() {
            self.log.compact(keep_from);
        }
        self.snapshot.clone()
    }

    /// Work for the driver, or `None`.
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
        let ready_to_apply = self.commit.min(self.persisted);
        if ready_to_apply > self.applied {
            ready.committed = self.log.range(self.applied + 1, ready_to_apply);
            self.applied = ready_to_apply;
        }
        (!ready.is_empty()).then_some(ready)
    }

    /// Tells the replica that a batch is durable, sent and applied.
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

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Takes a message in.
    pub fn step(&mut self, now: Time, envelope: Envelope) {
        self.now = now;
        if envelope.to != self.id {
            return;
        }
        if !self.admit_term(&envelope) {
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

    /// Appends an entry of the leader's own.
    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        self.push_entry(Entry { index, term: self.hard_state.term, payload });
        index
    }

    pub(crate) fn push_entry(&mut self, entry: Entry) {
        self.mark_unsaved(entry.index);
        self.log.push(entry);
    }

    pub(crate) fn truncate_log(&mut self, index: Index) {
        debug_assert!(index > self.commit, "a committed entry must not be cut");
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

    /// The newest membership in the log counts, committed or not (thesis §4.1).
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
