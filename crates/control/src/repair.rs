//! Membership repair: a process with an empty disk joins as a learner. Once it has the whole log, the
//! identity whose place it takes is removed, and then it becomes a voter, so that no machine is ever
//! counted twice.

use crate::events::{ChangeReason, MembershipEvent};
use crate::member::Member;
use crate::protocol::{JoinResponse, Response};
use std::cmp::Ordering;
use std::time::Duration;
use topazmount_consensus::{
    Disk, MemberId, MemberInfo, Membership, MembershipChange, MembershipStatus, ProposeError,
    RaftMember,
};
use topazmount_types::Time;

/// Silence after which a voter for whose place another member is there is removed: two of the longest
/// waits for an election, so that one that was only slow to hear of a new leader is kept.
const SUCCEEDED_SILENCE: Duration = Duration::from_millis(2_400);
/// Silence after which a voter is removed for a newcomer, although others are silent as well. Longer
/// than a process or machine takes to start again.
const UNDECIDED_SILENCE: Duration = Duration::from_secs(10);
/// Silence after which a voter that the group is no safer with is removed.
const SURPLUS_SILENCE: Duration = Duration::from_secs(4);
/// Silence after which a learner is removed; it asks to join again by itself.
const LEARNER_SILENCE: Duration = Duration::from_secs(10);
/// Time for which all voters of a larger group must have answered before their number is what it is
/// meant to have. Longer than a machine and its successor run side by side in a planned replacement, for
/// as long as the successor has to catch up (4 and 6 s on the deployments that we know); short, since
/// until then the group may lose the members by which it grew.
const GROWING_TIME: Duration = Duration::from_secs(10);
/// The same of a smaller group: longer than a machine is away that is repaired or replaced.
const SHRINKING_TIME: Duration = Duration::from_secs(60);
/// Entries by which a learner may lag when it becomes a voter.
const PROMOTION_SLACK: u64 = 0;

impl<D: Disk> Member<D> {
    pub(crate) fn on_join(&mut self, now: Time, id: MemberId, info: MemberInfo) -> Response {
        if !self.replica.has_lease(now) {
            return Response::Joining(JoinResponse::Redirect {
                leader: self.known_leader(now),
                members: self.known_addresses(now),
            });
        }
        let answer = self.admit(id, &info);
        self.note(MembershipEvent::JoinRequested { id, info, response: answer.clone() });
        Response::Joining(answer)
    }

    fn admit(&mut self, id: MemberId, info: &MemberInfo) -> JoinResponse {
        let membership = self.replica.membership();
        match membership.status(id) {
            MembershipStatus::Voter => return JoinResponse::Voter,
            MembershipStatus::Learner => return JoinResponse::Learner,
            MembershipStatus::Outside => {}
        }
        let (change, reason, answer) = match stale_learner(membership, info) {
            Some(old) => (
                MembershipChange::Remove(old),
                ChangeReason::LearnerReplaced,
                JoinResponse::ReplacesLearner,
            ),
            None => (
                MembershipChange::AddLearner(id, info.clone()),
                ChangeReason::JoinRequested,
                JoinResponse::Proposed,
            ),
        };
        match self.change_membership(change, reason) {
            Ok(()) => answer,
            // It is asked for again with the next request to join.
            Err(_) => JoinResponse::Busy,
        }
    }

    fn change_membership(
        &mut self,
        change: MembershipChange,
        reason: ChangeReason,
    ) -> Result<(), ProposeError> {
        let proposed = self.replica.propose_change(&change);
        let hindered = proposed.err().map(|error| (change.clone(), error));
        // It is tried again at each tick and told once.
        if hindered.is_none() || hindered != self.hindered {
            let hindrance = proposed.err();
            self.note(MembershipEvent::ChangeProposed { change, reason, error: hindrance });
        }
        self.hindered = hindered;
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
        if voters.all(|id| self.replica.is_responsive(*id, now)) {
            self.complete_since.get_or_insert(now);
        } else {
            self.complete_since = None;
        }
    }

    fn next_repair(&self, now: Time) -> Option<(MembershipChange, ChangeReason)> {
        let replica = &self.replica;
        let membership = replica.membership();
        let ready = membership.learners.iter().filter(|(id, _)| is_ready(replica, **id, now));
        let mut placed = ready.filter_map(|(id, info)| self.place(now, *id, info));
        placed
            .next()
            .or_else(|| replaced_voter(replica, now).map(remove(ChangeReason::VoterReplaced)))
            .or_else(|| {
                let is_over = membership.voters.len() > membership.target_size_or_current();
                let gone = self
                    .succeeded_voter(now, membership.target_size_or_current())
                    .filter(|_| is_over);
                gone.map(remove(ChangeReason::SuccessorReady))
            })
            .or_else(|| surplus_voter(replica, now).map(remove(ChangeReason::SurplusVoter)))
            .or_else(|| silent_learner(replica, now).map(remove(ChangeReason::LearnerTimedOut)))
            .or_else(|| {
                let change = (MembershipChange::SetTargetSize, ChangeReason::AllVotersResponding);
                self.is_settled(now).then_some(change)
            })
    }

    /// Whether the group has had another number of voters than it is meant to have for so long that it
    /// is meant to have these.
    fn is_settled(&self, now: Time) -> bool {
        let membership = self.replica.membership();
        // Where it is not known, any number is news.
        let time = match membership.voters.len().cmp(&membership.target_size) {
            Ordering::Greater => GROWING_TIME,
            Ordering::Less => SHRINKING_TIME,
            Ordering::Equal => return false,
        };
        let since = self.complete_since.map(|since| since.max(self.noted.changed_at));
        since.is_some_and(|since| now >= since + time)
    }

    /// The next step by which a learner that is ready becomes a voter. Room is made first: were a
    /// machine counted twice for a moment, the loss of its new disk too would cost two votes.
    fn place(
        &self,
        now: Time,
        id: MemberId,
        info: &MemberInfo,
    ) -> Option<(MembershipChange, ChangeReason)> {
        let replica = &self.replica;
        let membership = replica.membership();
        let mut voters = membership.voters.iter();
        if let Some((lost, _)) = voters.find(|(_, voter)| voter.name == info.name) {
            // One that has just ended still seems to answer for a moment.
            let is_gone = !replica.is_responsive(*lost, now);
            return is_gone.then(|| remove(ChangeReason::VoterReplaced)(*lost));
        }
        let promote = (MembershipChange::Promote(id), ChangeReason::CaughtUp);
        if membership.voters.len() < membership.target_size_or_current() {
            return Some(promote);
        }
        if let Some(gone) = self.succeeded_voter(now, membership.voters.len()) {
            return Some(remove(ChangeReason::SuccessorReady)(gone));
        }
        // The group grows only while nobody is missing.
        let is_complete = membership.voters.keys().all(|voter| self.is_present(*voter, now));
        is_complete.then_some(promote)
    }

    /// Whether a voter answers, and has since the newest member came: one that ended just before seems
    /// to answer for a moment longer, and the newest may have come in its place.
    fn is_present(&self, voter: MemberId, now: Time) -> bool {
        self.replica.is_responsive(voter, now)
            && self.replica.has_replied_since(voter, self.noted.changed_at)
    }

    /// A silent voter for whose place another member is there: `wanted` are, without it. Where fewer are,
    /// nobody can tell which of them is only away for a while: its disk may be needed, should
    /// the newcomer's be lost too. The choice is put off then.
    fn succeeded_voter(&self, now: Time, wanted: usize) -> Option<MemberId> {
        let replica = &self.replica;
        let membership = replica.membership();
        let voters = membership.voters.keys().filter(|id| self.is_present(**id, now));
        let learners = membership.learners.keys().filter(|id| is_ready(replica, **id, now));
        let is_complete = voters.count() + learners.count() >= wanted;
        let silence = if is_complete { SUCCEEDED_SILENCE } else { UNDECIDED_SILENCE };
        silent_voter(replica, now, silence)
    }
}

fn remove(reason: ChangeReason) -> impl Fn(MemberId) -> (MembershipChange, ChangeReason) {
    move |id| (MembershipChange::Remove(id), reason)
}

/// Whether a learner has the whole log and answers.
fn is_ready(replica: &RaftMember, learner: MemberId, now: Time) -> bool {
    replica.is_caught_up(learner, PROMOTION_SLACK) && replica.is_responsive(learner, now)
}

/// A learner that went away before it became a voter; it asks again when it is back.
fn silent_learner(replica: &RaftMember, now: Time) -> Option<MemberId> {
    let mut learners = replica.membership().learners.keys().copied();
    learners.find(|id| replica.time_since_reply(*id, now) > LEARNER_SILENCE)
}

/// A learner of the same name that never made it: its disk was lost in turn.
fn stale_learner(membership: &Membership, info: &MemberInfo) -> Option<MemberId> {
    let mut learners = membership.learners.iter();
    learners.find(|(_, learner)| learner.name == info.name).map(|(id, _)| *id)
}

/// The silent one of two voters that share a name, when the other one answers.
fn replaced_voter(replica: &RaftMember, now: Time) -> Option<MemberId> {
    let voters = &replica.membership().voters;
    voters.iter().map(|(id, info)| (*id, info)).find_map(|(id, info)| {
        let has_answering_twin = voters.iter().any(|(other, other_info)| {
            *other != id && other_info.name == info.name && replica.is_responsive(*other, now)
        });
        (has_answering_twin && !replica.is_responsive(id, now)).then_some(id)
    })
}

/// The voter that has been silent longest, if that is longer than a time.
fn silent_voter(replica: &RaftMember, now: Time, silence: Duration) -> Option<MemberId> {
    let voters = replica.membership().voters.keys().copied();
    let longest = voters.max_by_key(|id| replica.time_since_reply(*id, now))?;
    (replica.time_since_reply(longest, now) > silence).then_some(longest)
}

/// A silent voter of a group of even size. Such a group bears no more losses than one that is
/// smaller by one, so the silent one only raises the quorum; it rejoins by itself when it is back.
/// In a group of odd size it is kept: it may be back with its disk, and what was committed may be on
/// no other disk that lasts.
fn surplus_voter(replica: &RaftMember, now: Time) -> Option<MemberId> {
    let count = replica.membership().voters.len();
    let is_even = count.is_multiple_of(2) && count > 2;
    silent_voter(replica, now, SURPLUS_SILENCE).filter(|_| is_even)
}
