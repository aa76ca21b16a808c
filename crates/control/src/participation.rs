//! A member's participation in its group: status, known addresses and requests to join.

use crate::events::MembershipEvent;
use crate::member::{Member, MemberOutput};
use crate::protocol::{JoinResponse, MemberStatus, Request, Response};
use std::time::Duration;
use topazmount_consensus::{Disk, MemberId, MemberInfo, Membership, MembershipStatus, Role};
use topazmount_types::Time;

/// A member that has seen no leader for this time asks whether it was removed.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Nodes that have not reported for this time are left out of the status.
const NODE_REPORT_RETENTION: Duration = Duration::from_secs(60);

/// The membership last emitted as an event.
#[derive(Default)]
pub(crate) struct ReportedMembership {
    membership: Membership,
    standing: MembershipStatus,
    /// When the standing last changed.
    since: Time,
    /// When the membership last changed.
    pub(crate) changed_at: Time,
}

impl ReportedMembership {
    /// The state before any membership is known.
    pub(crate) fn new(now: Time) -> Self {
        ReportedMembership { since: now, ..ReportedMembership::default() }
    }
}

impl<D: Disk> Member<D> {
    /// Whether this process must ask to join: it never did, or it may have been removed while away.
    /// Removed members are not notified.
    pub(crate) fn must_join(&self, now: Time) -> bool {
        self.is_outside() || self.replica.time_since_leader(now) > REJOIN_TIMEOUT
    }

    /// Seeds in use.
    pub fn seeds(&self) -> &[String] {
        self.joining.seeds()
    }

    /// Replaces the seeds.
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

    pub(crate) fn emit(&mut self, event: MembershipEvent) {
        self.outputs.push(MemberOutput::Membership(event));
    }

    pub(crate) fn emit_membership_change(&mut self, now: Time) {
        let membership = self.replica.membership();
        if *membership == self.reported_membership.membership {
            return;
        }
        let membership = membership.clone();
        let standing = membership.status(self.replica.id());
        if standing != self.reported_membership.standing {
            self.reported_membership.since = now;
        }
        self.reported_membership.standing = standing;
        self.reported_membership.changed_at = now;
        self.reported_membership.membership = membership.clone();
        self.emit(MembershipEvent::Changed { membership, standing });
    }

    /// Sends due requests to join.
    pub(crate) fn tick_joining(&mut self, now: Time) {
        if !self.must_join(now) {
            return self.joining.stop();
        }
        let (id, info) = (self.replica.id(), &self.settings.info);
        for address in self.joining.take_due_addresses(now, &info.address, self.member_addresses())
        {
            let request = Request::Join(id, info.clone());
            self.outputs.push(MemberOutput::RequestJoin(address, request));
        }
    }

    pub(crate) fn on_join_response(
        &mut self,
        now: Time,
        member: String,
        response: Option<Response>,
    ) {
        self.joining.on_response(now, &member, response.as_ref());
        let response = match response {
            Some(Response::Joining(response)) => Some(response),
            // Sent by older builds.
            Some(Response::NotLeader(leader)) => {
                Some(JoinResponse::Redirect { leader, members: Vec::new() })
            }
            Some(_) | None => None,
        };
        self.emit(MembershipEvent::JoinResponse { member, response });
    }

    /// The leader, if it is another member: the one that this member follows, or outside the group
    /// the one last reported.
    pub(crate) fn known_leader(&self, now: Time) -> Option<MemberInfo> {
        let leader = self.replica.leader().filter(|id| *id != self.replica.id());
        let followed = leader.and_then(|id| self.replica.membership().info(id).cloned());
        let leader = followed.or_else(|| self.joining.leader(now).cloned());
        leader.filter(|info| info.address != self.settings.info.address)
    }

    pub(crate) fn status(&mut self, now: Time) -> MemberStatus {
        self.nodes.retain(|_, report| now < report.received_at + NODE_REPORT_RETENTION);
        let responding = match self.replica.role() {
            Role::Leader => self.responding_members(now),
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
            standing: self.reported_membership.standing,
            standing_for: now.since(self.reported_membership.since),
            responding,
        }
    }

    fn responding_members(&self, now: Time) -> Vec<MemberId> {
        let membership = self.replica.membership();
        let all = membership.voters.keys().chain(membership.learners.keys());
        all.copied().filter(|id| self.replica.is_responsive(*id, now)).collect()
    }
}
