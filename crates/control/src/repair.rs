//! Membership repair: a process with an empty disk joins as a learner, becomes a voter once it
//! has the whole log, and only then replaces the identity that was lost.

use crate::member::Member;
use crate::protocol::Response;
use std::time::Duration;
use topazmount_consensus::{Disk, MemberId, MemberInfo, Membership, MembershipChange, Replica};
use topazmount_types::Time;

/// Silence after which a voter that the group is no safer with is removed.
const SURPLUS_SILENCE: Duration = Duration::from_secs(4);
/// Entries by which a learner may lag when it becomes a voter.
const PROMOTION_SLACK: u64 = 0;

impl<D: Disk> Member<D> {
    pub(crate) fn on_join(&mut self, now: Time, id: MemberId, info: MemberInfo) -> Response {
        if !self.replica.has_lease(now) {
            return self.not_leader();
        }
        let membership = self.replica.membership();
        if !membership.contains(id) {
            let change = match stale_learner(membership, &info) {
                Some(old) => MembershipChange::Remove(old),
                None => MembershipChange::AddLearner(id, info),
            };
            // A change that can't be made now is asked for again with the next join request.
            let _ = self.replica.propose_change(&change);
        }
        Response::Joining
    }

    /// Takes the next step of a repair under way; called while this member leads.
    pub(crate) fn repair_membership(&mut self, now: Time) {
        let membership = self.replica.membership();
        let ready = membership
            .learners
            .keys()
            .find(|id| self.replica.is_caught_up(**id, PROMOTION_SLACK))
            .copied();
        let removable =
            replaced_voter(&self.replica, now).or_else(|| surplus_voter(&self.replica, now));
        let change = match (removable, ready) {
            (Some(old), _) => MembershipChange::Remove(old),
            (None, Some(id)) => MembershipChange::Promote(id),
            (None, None) => return,
        };
        let _ = self.replica.propose_change(&change);
    }
}

/// A learner of the same name that never made it: its disk was lost in turn.
fn stale_learner(membership: &Membership, info: &MemberInfo) -> Option<MemberId> {
    let mut learners = membership.learners.iter();
    learners.find(|(_, learner)| learner.name == info.name).map(|(id, _)| *id)
}

/// The silent one of two voters that share a name, when the other one answers.
fn replaced_voter(replica: &Replica, now: Time) -> Option<MemberId> {
    let voters = &replica.membership().voters;
    voters.iter().map(|(id, info)| (*id, info)).find_map(|(id, info)| {
        let has_answering_twin = voters.iter().any(|(other, other_info)| {
            *other != id && other_info.name == info.name && replica.is_answering(*other, now)
        });
        (has_answering_twin && !replica.is_answering(id, now)).then_some(id)
    })
}

/// A silent voter of a group of even size. Such a group bears no more losses than one that is
/// smaller by one, so the silent one only raises the quorum; a replacement at another address has
/// come, or it rejoins by itself when it is back.
fn surplus_voter(replica: &Replica, now: Time) -> Option<MemberId> {
    let voters = &replica.membership().voters;
    let is_even = voters.len().is_multiple_of(2);
    let mut silent = voters.keys().filter(|id| replica.member_silence(**id, now) > SURPLUS_SILENCE);
    silent.next().copied().filter(|_| is_even && voters.len() > 2)
}
