//! Log replication, commitment and snapshot transfer.

use crate::log::{Entry, Index, Payload, Snapshot, SnapshotMeta, Term};
use crate::member::{RaftMember, Role};
use crate::membership::MemberId;
use crate::message::{Message, ReplyTimestamp};
use crate::progress::SnapshotProgress;
use topazmount_types::Time;

impl RaftMember {
    /// Sends every follower its missing entries, or a heartbeat if it has all.
    pub fn broadcast_append(&mut self) {
        for id in self.membership.others(self.id) {
            self.send_append(id);
        }
    }

    /// Sends new proposals to followers. Called once per batch, so that proposals share a message
    /// and a sync.
    pub fn flush_proposals(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        for id in self.membership.others(self.id) {
            let progress = self.progress.get(&id);
            let is_behind =
                progress.is_some_and(|progress| progress.next <= last && !progress.is_probing);
            if is_behind {
                self.send_append(id);
            }
        }
    }

    fn send_append(&mut self, to: MemberId) {
        let can_confirm_commit = self.can_confirm_commit();
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let previous_index = progress.next - 1;
        let Some(previous_term) = self.log.term(previous_index) else {
            self.send_snapshot(to);
            return;
        };
        if progress.snapshot.is_some() {
            self.send_snapshot(to);
            return;
        }
        let entries = self.log.slice(progress.next, self.config.max_append_bytes);
        let sent = entries.len() as u64;
        let message = Message::Append {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            sent_at: self.now,
            echoed: progress.last_reply.filter(|_| can_confirm_commit),
        };
        self.send(to, message);
        if let Some(progress) = self.progress.get_mut(&to)
            && !progress.is_probing
        {
            progress.next += sent;
        }
    }

    pub(crate) fn on_append(
        &mut self,
        from: MemberId,
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent_at: Time,
    ) {
        let (previous_index, previous_term) = previous;
        let is_compacted = previous_index < self.log.first_index() - 1;
        let matches = is_compacted || self.log.term(previous_index) == Some(previous_term);
        if !matches {
            let index = self.log.last_index().min(previous_index.saturating_sub(1));
            let hint = index.max(self.commit);
            self.reply(from, false, hint, previous_index, sent_at);
            return;
        }
        let last_matching = previous_index + entries.len() as u64;
        self.append_entries(entries);
        // Only entries up to the last one in the message are known to match (thesis §3.5).
        self.commit = self.commit.max(commit.min(last_matching));
        let index = last_matching.max(self.commit);
        self.accept(from, index, sent_at);
    }

    fn accept(&mut self, from: MemberId, index: Index, sent_at: Time) {
        self.reply(from, true, index, index, sent_at);
    }

    /// Replies to an append.
    pub(crate) fn reply(
        &mut self,
        to: MemberId,
        accepted: bool,
        index: Index,
        previous_index: Index,
        sent_at: Time,
    ) {
        let timestamp = Some(ReplyTimestamp { incarnation: self.incarnation, sent_at: self.now });
        self.send(to, Message::AppendReply { accepted, index, previous_index, sent_at, timestamp });
    }

    fn append_entries(&mut self, entries: Vec<Entry>) {
        let mut changed = false;
        for entry in entries {
            if entry.index < self.log.first_index() {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            changed = true;
            self.push_entry(entry);
        }
        if changed {
            self.refresh_membership();
        }
    }

    /// Processes the reply to an append; `rejected` is its previous index if that entry did not
    /// match.
    pub(crate) fn on_append_reply(
        &mut self,
        from: MemberId,
        rejected: Option<Index>,
        index: Index,
        sent_at: Time,
        timestamp: Option<ReplyTimestamp>,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acknowledge(sent_at);
        progress.last_reply = timestamp;
        let must_send = match rejected {
            Some(previous) => progress.reject(previous, index),
            None => {
                progress.accept(index.min(last));
                progress.next <= last
            }
        };
        if rejected.is_none() {
            self.advance_commit();
        }
        if must_send {
            self.send_append(from);
        }
    }

    /// Commits entries of the leader's own term that a quorum has stored (thesis §3.6.2).
    pub(crate) fn advance_commit(&mut self) {
        let mut matched: Vec<Index> = self
            .membership
            .voters
            .keys()
            .map(|id| match self.progress.get(id) {
                Some(progress) => progress.matched,
                None if *id == self.id => self.persisted(),
                None => 0,
            })
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&index) = matched.get(self.membership.quorum() - 1) else {
            return;
        };
        let is_own_term = self.log.term(index) == Some(self.hard_state.term);
        if index > self.commit && is_own_term {
            self.commit = index;
            self.step_down_if_removed();
        }
    }

    /// Steps down as leader once its own removal is committed (thesis §4.2.2).
    fn step_down_if_removed(&mut self) {
        let removed = !self.membership.voters.contains_key(&self.id);
        if removed && self.membership_index <= self.commit {
            self.broadcast_append();
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn send_snapshot(&mut self, to: MemberId) {
        let snapshot = self.snapshot.clone();
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let index = snapshot.meta.index;
        let current = progress.snapshot.take().filter(|current| current.index == index);
        let current = current.unwrap_or(SnapshotProgress { index, received: 0 });
        let start = current.received as usize;
        let end = (start + self.config.snapshot_chunk_bytes).min(snapshot.data.len());
        progress.snapshot = Some(current);
        let message = Message::Snapshot {
            meta: snapshot.meta,
            offset: start as u64,
            chunk: snapshot.data[start..end].to_vec(),
            done: end == snapshot.data.len(),
            sent_at: self.now,
        };
        self.send(to, message);
    }

    pub(crate) fn on_snapshot(
        &mut self,
        from: MemberId,
        meta: SnapshotMeta,
        part: (u64, Vec<u8>, bool),
        sent_at: Time,
    ) {
        let (offset, chunk, done) = part;
        let index = meta.index;
        if index <= self.commit {
            self.accept(from, self.commit, sent_at);
            return;
        }
        if self.log.term(index) == Some(meta.term) {
            // A delayed snapshot must not remove acknowledged entries after it (thesis §5.1).
            self.commit = index;
            self.accept(from, index, sent_at);
            return;
        }
        let received = self.collect_chunk(&meta, offset, &chunk);
        if done && received == offset + chunk.len() as u64 {
            let data = self.incoming.take().map(|(_, data)| data).unwrap_or_default();
            self.install_snapshot(Snapshot { meta, data: data.into() });
            self.accept(from, index, sent_at);
            return;
        }
        self.send(from, Message::SnapshotReply { index, received, sent_at });
    }

    /// Appends a chunk if it continues the received data; returns the bytes received so far.
    fn collect_chunk(&mut self, meta: &SnapshotMeta, offset: u64, chunk: &[u8]) -> u64 {
        let is_same = self.incoming.as_ref().is_some_and(|(partial, _)| partial.meta == *meta);
        if !is_same {
            let partial = Snapshot { meta: meta.clone(), data: Vec::new().into() };
            self.incoming = Some((partial, Vec::new()));
        }
        let Some((_, data)) = &mut self.incoming else {
            return 0;
        };
        if data.len() as u64 == offset {
            data.extend_from_slice(chunk);
        }
        data.len() as u64
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: MemberId,
        index: Index,
        received: u64,
        sent_at: Time,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acknowledge(sent_at);
        if let Some(current) = &mut progress.snapshot
            && current.index == index
        {
            current.received = received;
            self.send_snapshot(from);
        }
    }

    /// Whether an entry is a command.
    pub fn is_command(entry: &Entry) -> bool {
        matches!(entry.payload, Payload::Command(_))
    }
}
