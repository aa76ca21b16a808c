//! Membership repair. A process with an empty disk joins as a learner. Once it has the whole log,
//! the identity that it replaces is removed, and then it becomes a voter, so that no machine counts
//! twice.

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

/// A silent voter with a successor is removed after this time; longer than two elections, so that a
/// voter that is slow to follow a new leader is kept.
const SUCCEEDED_VOTER_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A silent voter is removed for a new member after this time although other voters are silent too.
/// Longer than the restart of a process or machine.
const UNDECIDED_VOTER_TIMEOUT: Duration = Duration::from_secs(10);
/// A silent voter that does not make the group safer is removed after this time.
const SURPLUS_VOTER_TIMEOUT: Duration = Duration::from_secs(4);
/// A silent learner is removed after this time; it asks to join again.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);
/// All voters of a grown group must have responded for this time before the new size is confirmed.
/// Longer than a machine and its replacement run side by side, which is as long as the replacement
/// has to catch up (4 and 6 s on known deployments); short, since until then the group may shrink
/// back.
const GROWTH_CONFIRMATION_TIME: Duration = Duration::from_secs(10);
/// The same for a shrunk group; longer than a machine is away for repair.
const SHRINK_CONFIRMATION_TIME: Duration = Duration::from_secs(60);
/// Entries by which a learner may lag when it becomes a voter.
const MAX_PROMOTION_LAG: u64 = 0;

impl<D: Disk> Member<D> {
    pub(crate) fn on_join(&mut self, now: Time, id: MemberId, info: MemberInfo) -> Response {
        if !self.replica.has_lease(now) {
            return Response::Joining(JoinResponse::Redirect {
                leader: self.known_leader(now),
                members: self.known_addresses(now),
            });
        }
        let response = self.admit(id, &info);
        self.emit(MembershipEvent::JoinRequested { id, info, response: response.clone() });
        Response::Joining(response)
    }

    fn admit(&mut self, id: MemberId, info: &MemberInfo) -> JoinResponse {
        let membership = self.replica.membership();
        match membership.status(id) {
            MembershipStatus::Voter => return JoinResponse::Voter,
            MembershipStatus::Learner => return JoinResponse::Learner,
            MembershipStatus::Outside => {}
        }
        let (change, reason, response) = match stale_learner(membership, info) {
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
            Ok(()) => response,
            // The change is proposed again with the next request to join.
            Err(_) => JoinResponse::Busy,
        }
    }

    fn change_membership(
        &mut self,
        change: MembershipChange,
        reason: ChangeReason,
    ) -> Result<(), ProposeError> {
        let proposed = self.replica.propose_change(&change);
        let failed_change = proposed.err().map(|error| (change.clone(), error));
        // Retried at each tick, but emitted once.
        if failed_change.is_none() || failed_change != self.failed_change {
            let error = proposed.err();
            self.emit(MembershipEvent::ChangeProposed { change, reason, error });
        }
        self.failed_change = failed_change;
        proposed.map(|_| ())
    }

    /// Takes the next step of a repair; called while this member leads.
    pub(crate) fn repair_membership(&mut self, now: Time) {
        self.update_complete_since(now);
        if let Some((change, reason)) = self.next_repair(now) {
            // If it fails, it is proposed again at the next tick.
            let _ = self.change_membership(change, reason);
        }
    }

    fn update_complete_since(&mut self, now: Time) {
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
        let mut promotions = ready.filter_map(|(id, info)| self.promotion_step(now, *id, info));
        promotions
            .next()
            .or_else(|| replaced_voter(replica, now).map(remove(ChangeReason::VoterReplaced)))
            .or_else(|| {
                let is_oversized = membership.voters.len() > membership.target_size_or_current();
                let voter = self
                    .voter_with_successor(now, membership.target_size_or_current())
                    .filter(|_| is_oversized);
                voter.map(remove(ChangeReason::SuccessorReady))
            })
            .or_else(|| surplus_voter(replica, now).map(remove(ChangeReason::SurplusVoter)))
            .or_else(|| silent_learner(replica, now).map(remove(ChangeReason::LearnerTimedOut)))
            .or_else(|| {
                let change = (MembershipChange::SetTargetSize, ChangeReason::AllVotersResponding);
                self.is_size_confirmed(now).then_some(change)
            })
    }

    /// Whether the group has kept its current number of voters long enough for it to become the
    /// intended size.
    fn is_size_confirmed(&self, now: Time) -> bool {
        let membership = self.replica.membership();
        // An unknown size counts as a change.
        let time = match membership.voters.len().cmp(&membership.target_size) {
            Ordering::Greater => GROWTH_CONFIRMATION_TIME,
            Ordering::Less => SHRINK_CONFIRMATION_TIME,
            Ordering::Equal => return false,
        };
        let since = self.complete_since.map(|since| since.max(self.reported_membership.changed_at));
        since.is_some_and(|since| now >= since + time)
    }

    /// The next step to make a learner that is ready a voter. The voter it replaces is removed
    /// first, so that no machine has two votes.
    fn promotion_step(
        &self,
        now: Time,
        id: MemberId,
        info: &MemberInfo,
    ) -> Option<(MembershipChange, ChangeReason)> {
        let replica = &self.replica;
        let membership = replica.membership();
        let mut voters = membership.voters.iter();
        if let Some((lost, _)) = voters.find(|(_, voter)| voter.name == info.name) {
            // A voter that has just stopped may still count as responding.
            let is_gone = !replica.is_responsive(*lost, now);
            return is_gone.then(|| remove(ChangeReason::VoterReplaced)(*lost));
        }
        let promote = (MembershipChange::Promote(id), ChangeReason::CaughtUp);
        if membership.voters.len() < membership.target_size_or_current() {
            return Some(promote);
        }
        if let Some(voter) = self.voter_with_successor(now, membership.voters.len()) {
            return Some(remove(ChangeReason::SuccessorReady)(voter));
        }
        // The group grows only while all voters respond.
        let is_complete =
            membership.voters.keys().all(|voter| self.has_responded_since_last_change(*voter, now));
        is_complete.then_some(promote)
    }

    /// Whether a voter has responded since the last membership change. A voter that stopped just
    /// before may still count as responding, and the newest member may replace it.
    fn has_responded_since_last_change(&self, voter: MemberId, now: Time) -> bool {
        self.replica.is_responsive(voter, now)
            && self.replica.has_replied_since(voter, self.reported_membership.changed_at)
    }

    /// A silent voter that can be removed because `wanted` other members are present. If fewer are
    /// present, the choice waits longer, since the silent voter's disk may still be needed.
    fn voter_with_successor(&self, now: Time, wanted: usize) -> Option<MemberId> {
        let replica = &self.replica;
        let membership = replica.membership();
        let voters =
            membership.voters.keys().filter(|id| self.has_responded_since_last_change(**id, now));
        let learners = membership.learners.keys().filter(|id| is_ready(replica, **id, now));
        let is_complete = voters.count() + learners.count() >= wanted;
        let silence = if is_complete { SUCCEEDED_VOTER_TIMEOUT } else { UNDECIDED_VOTER_TIMEOUT };
        silent_voter(replica, now, silence)
    }
}

fn remove(reason: ChangeReason) -> impl Fn(MemberId) -> (MembershipChange, ChangeReason) {
    move |id| (MembershipChange::Remove(id), reason)
}

/// Whether a learner has the whole log and responds.
fn is_ready(replica: &RaftMember, learner: MemberId, now: Time) -> bool {
    replica.is_caught_up(learner, MAX_PROMOTION_LAG) && replica.is_responsive(learner, now)
}

/// A learner that stopped responding; it asks to join again when it is back.
fn silent_learner(replica: &RaftMember, now: Time) -> Option<MemberId> {
    let mut learners = replica.membership().learners.keys().copied();
    learners.find(|id| replica.time_since_reply(*id, now) > LEARNER_TIMEOUT)
}

/// A learner of the same name that never became a voter; its disk was lost as well.
fn stale_learner(membership: &Membership, info: &MemberInfo) -> Option<MemberId> {
    let mut learners = membership.learners.iter();
    learners.find(|(_, learner)| learner.name == info.name).map(|(id, _)| *id)
}

/// The silent one of two voters with the same name, if the other one responds.
fn replaced_voter(replica: &RaftMember, now: Time) -> Option<MemberId> {
    let voters = &replica.membership().voters;
    voters.iter().map(|(id, info)| (*id, info)).find_map(|(id, info)| {
        let has_responding_duplicate = voters.iter().any(|(other, other_info)| {
            *other != id && other_info.name == info.name && replica.is_responsive(*other, now)
        });
        (has_responding_duplicate && !replica.is_responsive(id, now)).then_some(id)
    })
}

/// The voter that has been silent longest, if for longer than `silence`.
fn silent_voter(replica: &RaftMember, now: Time, silence: Duration) -> Option<MemberId> {
    let voters = replica.membership().voters.keys().copied();
    let longest = voters.max_by_key(|id| replica.time_since_reply(*id, now))?;
    (replica.time_since_reply(longest, now) > silence).then_some(longest)
}

/// A silent voter of a group of even size. Such a group tolerates no more failures than one smaller
/// by one, so the silent voter only raises the quorum; it joins again when it is back. In a group
/// of odd size it is kept, since its disk may hold committed entries that are on no other disk.
fn surplus_voter(replica: &RaftMember, now: Time) -> Option<MemberId> {
    let count = replica.membership().voters.len();
    let is_even = count.is_multiple_of(2) && count > 2;
    silent_voter(replica, now, SURPLUS_VOTER_TIMEOUT).filter(|_| is_even)
}
