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

/// Silence after which a voter in whose place others have come is removed: two of the longest waits for
/// an election, so that one that was only slow to hear of a new leader is kept.
const SUCCEEDED_SILENCE: Duration = Duration::from_millis(2_400);
/// Silence after which a voter that the group is no safer with is removed.
const SURPLUS_SILENCE: Duration = Duration::from_secs(4);
/// Silence after which a learner is removed; it asks to join again by itself.
const LEARNER_SILENCE: Duration = Duration::from_secs(10);
/// Time for which all voters must have answered before their number is what the group is meant to have.
/// Longer than a machine and its successor run side by side in a planned replacement; until then a group
/// that grew may shrink again to its former size where members fall silent.
const SETTLING_TIME: Duration = Duration::from_secs(10);
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
        self.note_complete(now);
        if let Some((change, reason)) = self.next_repair(now) {
            // What can't be proposed now is tried again at the next tick.
            let _ = self.change_membership(change, reason);
        }
    }

    fn note_complete(&mut self, now: Time) {
        let mut voters = self.replica.membership().voters.keys();
        if voters.all(|id| self.replica.is_answering(*id, now)) {
            self.complete_since.get_or_insert(now);
        } else {
            self.complete_since = None;
        }
    }

    fn next_repair(&self, now: Time) -> Option<(MembershipChange, ChangeReason)> {
        let replica = &self.replica;
        let remove = |reason| move |id| (MembershipChange::Remove(id), reason);
        let is_settled = self.complete_since.is_some_and(|since| now >= since + SETTLING_TIME);
        let is_news = replica.membership().full_size != replica.membership().voters.len();
        replaced_voter(replica, now)
            .map(remove(ChangeReason::VoterReplaced))
            .or_else(|| succeeded_voter(replica, now).map(remove(ChangeReason::Succeeded)))
            .or_else(|| surplus_voter(replica, now).map(remove(ChangeReason::Surplus)))
            .or_else(|| {
                let ready = ready_learner(replica, now)?;
                Some((MembershipChange::Promote(ready), ChangeReason::CaughtUp))
            })
            .or_else(|| silent_learner(replica, now).map(remove(ChangeReason::LearnerGone)))
            .or_else(|| {
                let change = (MembershipChange::Settle, ChangeReason::Complete);
                (is_settled && is_news).then_some(change)
            })
    }
}

/// A learner that has the whole log and answers.
fn ready_learner(replica: &Replica, now: Time) -> Option<MemberId> {
    let mut learners = replica.membership().learners.keys().copied();
    learners.find(|id| replica.is_caught_up(*id, PROMOTION_SLACK) && replica.is_answering(*id, now))
}

/// A learner that went away before it became a voter; it asks again when it is back.
fn silent_learner(replica: &Replica, now: Time) -> Option<MemberId> {
    let mut learners = replica.membership().learners.keys().copied();
    learners.find(|id| replica.member_silence(*id, now) > LEARNER_SILENCE)
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

/// A silent voter of a group in which as many others answer as it is meant to have: machines at other
/// addresses have come for those that are gone. In a group that lacks some, a silent one is kept: it
/// may be back with its disk, and what was committed may be on no other disk that lasts.
fn succeeded_voter(replica: &Replica, now: Time) -> Option<MemberId> {
    let membership = replica.membership();
    let voters = &membership.voters;
    let answering = voters.keys().filter(|id| replica.is_answering(**id, now)).count();
    if answering < membership.full_size() {
        return None;
    }
    voters.keys().copied().find(|id| replica.member_silence(*id, now) > SUCCEEDED_SILENCE)
}

/// A silent voter of a group of even size. Such a group bears no more losses than one that is
/// smaller by one, so the silent one only raises the quorum; it rejoins by itself when it is back.
fn surplus_voter(replica: &Replica, now: Time) -> Option<MemberId> {
    let voters = &replica.membership().voters;
    let is_even = voters.len().is_multiple_of(2);
    let mut silent = voters.keys().filter(|id| replica.member_silence(**id, now) > SURPLUS_SILENCE);
    silent.next().copied().filter(|_| is_even && voters.len() > 2)
}
