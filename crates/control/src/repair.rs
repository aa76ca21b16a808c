//! Membership repair: a process with an empty disk joins as a learner, becomes a voter once it
//! has the whole log, and only then replaces the identity that was lost.

use crate::events::{ChangeReason, MembershipEvent};
use crate::member::Member;
use crate::protocol::{JoinAnswer, Response};
use std::time::Duration;
use topazmount_consensus::{
    Disk, MemberId, MemberInfo, Membership, MembershipChange, ProposeError, Replica, Standing,
};
use topazmount_types::Time;

/// Silence after which a voter that the group is no safer with is removed.
const SURPLUS_SILENCE: Duration = Duration::from_secs(4);
/// Entries by which a learner may lag when it becomes a voter.
const PROMOTION_SLACK: u64 = 0;

impl<D: Disk> Member<D> {
    pub(crate) fn on_join(&mut self, now: Time, id: MemberId, info: MemberInfo) -> Response {
        if !self.replica.has_lease(now) {
            return Response::Joining(JoinAnswer::AskElsewhere {
                leader: self.known_leader(now),
                members: self.known_addresses(now),
            });
        }
        let answer = self.admit(id, &info);
        self.note(MembershipEvent::JoinAsked { id, info, answer: answer.clone() });
        Response::Joining(answer)
    }

    fn admit(&mut self, id: MemberId, info: &MemberInfo) -> JoinAnswer {
        let membership = self.replica.membership();
        match membership.standing(id) {
            Standing::Voter => return JoinAnswer::Voter,
            Standing::Learner => return JoinAnswer::Learner,
            Standing::Outside => {}
        }
        let (change, reason, answer) = match stale_learner(membership, info) {
            Some(old) => (
                MembershipChange::Remove(old),
                ChangeReason::LearnerReplaced,
                JoinAnswer::ReplacesLearner,
            ),
            None => (
                MembershipChange::AddLearner(id, info.clone()),
                ChangeReason::Asked,
                JoinAnswer::Proposed,
            ),
        };
        match self.change_membership(change, reason) {
            Ok(()) => answer,
            // It is asked for again with the next request to join.
            Err(_) => JoinAnswer::Busy,
        }
    }

    fn change_membership(
        &mut self,
        change: MembershipChange,
        reason: ChangeReason,
    ) -> Result<(), ProposeError> {
        let proposed = self.replica.propose_change(&change);
        let hindrance = proposed.err();
        self.note(MembershipEvent::Proposed { change, reason, hindrance });
        proposed.map(|_| ())
    }

    /// Takes the next step of a repair under way; called while this member leads.
    pub(crate) fn repair_membership(&mut self, now: Time) {
        let membership = self.replica.membership();
        let ready = membership
            .learners
            .keys()
            .find(|id| self.replica.is_caught_up(**id, PROMOTION_SLACK))
            .copied();
        let replaced =
            replaced_voter(&self.replica, now).map(|old| (old, ChangeReason::VoterReplaced));
        let removable = replaced
            .or_else(|| surplus_voter(&self.replica, now).map(|old| (old, ChangeReason::Surplus)));
        let (change, reason) = match (removable, ready) {
            (Some((old, reason)), _) => (MembershipChange::Remove(old), reason),
            (None, Some(id)) => (MembershipChange::Promote(id), ChangeReason::CaughtUp),
            (None, None) => return,
        };
        // What can't be proposed now is tried again at the next tick.
        let _ = self.change_membership(change, reason);
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
