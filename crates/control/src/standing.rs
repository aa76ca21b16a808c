//! How a member takes part in its group: what it tells of that, and how it asks to be taken in.

use crate::events::MembershipEvent;
use crate::member::{Member, MemberOutput};
use crate::protocol::{JoinResponse, MemberStatus, Request, Response};
use std::time::Duration;
use topazmount_consensus::{Disk, MemberId, MemberInfo, Membership, MembershipStatus, Role};
use topazmount_types::Time;

/// Silence of all leaders after which a member asks whether it still is one.
const REJOIN_SILENCE: Duration = Duration::from_secs(2);
/// Time after which a node that no longer asks is left out of the status.
const NODE_REPORT_RETENTION: Duration = Duration::from_secs(60);

/// The membership that this member acts by, as it was told last.
#[derive(Default)]
pub(crate) struct Noted {
    membership: Membership,
    standing: MembershipStatus,
    /// When the standing began.
    since: Time,
    /// When the membership began.
    pub(crate) changed_at: Time,
}

impl Noted {
    /// Nothing yet, and outside the group.
    pub(crate) fn new(now: Time) -> Self {
        Noted { since: now, ..Noted::default() }
    }
}

impl<D: Disk> Member<D> {
    /// Whether this process must ask to join: it never did, or it was away so long that it may
    /// have been removed, of which a removed member is not told.
    pub(crate) fn must_join(&self, now: Time) -> bool {
        self.is_outside() || self.replica.time_since_leader(now) > REJOIN_SILENCE
    }

    /// Seeds in use.
    pub fn seeds(&self) -> &[String] {
        self.joining.seeds()
    }

    /// Takes the seeds of changed settings into use.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.joining.set_seeds(seeds);
    }

    pub(crate) fn is_outside(&self) -> bool {
        !self.replica.membership().contains(self.replica.id())
    }

    /// Addresses at which other members may be.
    pub(crate) fn known_addresses(&self, now: Time) -> Vec<String> {
        match self.is_outside() {
            true => self.joining.addresses(now, self.member_addresses()).into_iter().collect(),
            false => self.member_addresses(),
        }
    }

    /// Internal addresses of all members.
    pub(crate) fn member_addresses(&self) -> Vec<String> {
        let membership = self.replica.membership();
        let all = membership.voters.values().chain(membership.learners.values());
        all.map(|info| info.address.clone()).collect()
    }

    pub(crate) fn note(&mut self, event: MembershipEvent) {
        self.outputs.push(MemberOutput::Membership(event));
    }

    pub(crate) fn note_membership(&mut self, now: Time) {
        let membership = self.replica.membership();
        if *membership == self.noted.membership {
            return;
        }
        let membership = membership.clone();
        let standing = membership.status(self.replica.id());
        if standing != self.noted.standing {
            self.noted.since = now;
        }
        self.noted.standing = standing;
        self.noted.changed_at = now;
        self.noted.membership = membership.clone();
        self.note(MembershipEvent::Changed { membership, standing });
    }

    /// Asks to join where that is due.
    pub(crate) fn tick_joining(&mut self, now: Time) {
        if !self.must_join(now) {
            return self.joining.end();
        }
        let (id, info) = (self.replica.id(), &self.settings.info);
        for address in self.joining.due(now, &info.address, self.member_addresses()) {
            let request = Request::Join(id, info.clone());
            self.outputs.push(MemberOutput::RequestJoin(address, request));
        }
    }

    pub(crate) fn on_join_answer(&mut self, now: Time, member: String, answer: Option<Response>) {
        self.joining.answered(now, &member, answer.as_ref());
        let answer = match answer {
            Some(Response::Joining(answer)) => Some(answer),
            // From a member of an older version.
            Some(Response::NotLeader(leader)) => {
                Some(JoinResponse::Redirect { leader, members: Vec::new() })
            }
            Some(_) | None => None,
        };
        self.note(MembershipEvent::JoinResponse { member, response: answer });
    }

    /// Another member that leads: the one that this member follows, or, outside the group, the one
    /// that was named.
    pub(crate) fn known_leader(&self, now: Time) -> Option<MemberInfo> {
        let leader = self.replica.leader().filter(|id| *id != self.replica.id());
        let followed = leader.and_then(|id| self.replica.membership().info(id).cloned());
        let leader = followed.or_else(|| self.joining.leader(now).cloned());
        leader.filter(|info| info.address != self.settings.info.address)
    }

    pub(crate) fn status(&mut self, now: Time) -> MemberStatus {
        self.nodes.retain(|_, report| now < report.received_at + NODE_REPORT_RETENTION);
        let answering = match self.replica.role() {
            Role::Leader => self.answering(now),
            _ => Vec::new(),
        };
        MemberStatus {
            id: self.replica.id(),
            name: self.settings.info.name.clone(),
            is_leader: self.replica.has_lease(now),
            term: self.replica.term(),
            applied: self.replica.applied(),
            membership: self.replica.membership().clone(),
            revision: self.state.configuration.revision(),
            ledger_keys: self.state.ledger.len() as u64,
            nodes: self.nodes.values().cloned().collect(),
            now,
            standing: self.noted.standing,
            standing_for: now.since(self.noted.since),
            responding: answering,
        }
    }

    fn answering(&self, now: Time) -> Vec<MemberId> {
        let membership = self.replica.membership();
        let all = membership.voters.keys().chain(membership.learners.keys());
        all.copied().filter(|id| self.replica.is_responsive(*id, now)).collect()
    }
}
