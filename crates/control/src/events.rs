//! Membership events for logs and metrics.

use crate::protocol::JoinResponse;
use crate::state::FeatureLevel;
use std::fmt;
use topazmount_consensus::{
    MemberId, MemberInfo, Membership, MembershipChange, MembershipStatus, ProposeError,
};

/// Why a leader proposes a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// A process outside the group asked to join.
    JoinRequested,
    /// A learner of the same name never became a voter; its disk was lost as well.
    LearnerReplaced,
    /// A learner has the whole log.
    CaughtUp,
    /// A voter is silent and another identity of the same name responds; its disk was lost.
    VoterReplaced,
    /// A voter is silent and another member can take its place.
    SuccessorReady,
    /// A silent voter of a group of even size, which it does not make safer.
    SurplusVoter,
    /// A learner does not respond any more.
    LearnerTimedOut,
    /// All voters have responded for a while.
    AllVotersResponding,
}

impl ChangeReason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ChangeReason::JoinRequested => "Asked",
            ChangeReason::LearnerReplaced => "LearnerReplaced",
            ChangeReason::CaughtUp => "CaughtUp",
            ChangeReason::VoterReplaced => "VoterReplaced",
            ChangeReason::SuccessorReady => "Succeeded",
            ChangeReason::SurplusVoter => "Surplus",
            ChangeReason::LearnerTimedOut => "LearnerGone",
            ChangeReason::AllVotersResponding => "Complete",
        }
    }
}

/// A membership event that a member decided or observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// This member's membership changed, committed or not.
    Changed {
        /// Voters and learners.
        membership: Membership,
        /// This member's standing.
        standing: MembershipStatus,
    },
    /// As leader: responded to a request to join.
    JoinRequested {
        /// Identity of the process.
        id: MemberId,
        /// Its name and address.
        info: MemberInfo,
        /// The response.
        response: JoinResponse,
    },
    /// Outside the group: sent a request to join to a member.
    JoinResponse {
        /// Address of the member.
        member: String,
        /// Its response; `None` if there was none.
        response: Option<JoinResponse>,
    },
    /// As leader: proposed a change, or could not.
    ChangeProposed {
        /// The change.
        change: MembershipChange,
        /// Why.
        reason: ChangeReason,
        /// Why it could not be proposed; it is tried again.
        error: Option<ProposeError>,
    },
    /// All members can apply the commands of this level.
    LevelRaised(FeatureLevel),
}

impl MembershipEvent {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            MembershipEvent::Changed { .. } => "membership",
            MembershipEvent::JoinRequested { .. } => "join_request",
            MembershipEvent::JoinResponse { .. } => "join_answer",
            MembershipEvent::ChangeProposed { .. } => "membership_change",
            MembershipEvent::LevelRaised(_) => "level_raised",
        }
    }
}

impl fmt::Display for MembershipEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={} ", self.name())?;
        match self {
            MembershipEvent::LevelRaised(FeatureLevel(level)) => write!(f, "level={level}"),
            MembershipEvent::Changed { membership, standing } => {
                let voters = Members(membership.voters.iter());
                let learners = Members(membership.learners.iter());
                let full_size = membership.target_size_or_current();
                write!(
                    f,
                    "own={standing:?} full_size={full_size} voters={voters} learners={learners}"
                )
            }
            MembershipEvent::JoinRequested { id, info, response } => {
                write!(f, "id={id} address={} answer={response}", info.address)
            }
            MembershipEvent::JoinResponse { member, response } => match response {
                Some(response) => write!(f, "member={member} answer={response}"),
                None => write!(f, "member={member} answer=None"),
            },
            MembershipEvent::ChangeProposed { change, reason, error } => {
                match change {
                    MembershipChange::AddLearner(id, info) => {
                        write!(f, "add_learner={id} address={}", info.address)?;
                    }
                    MembershipChange::Promote(id) => write!(f, "promote={id}")?,
                    MembershipChange::Remove(id) => write!(f, "remove={id}")?,
                    MembershipChange::SetTargetSize => write!(f, "settle")?,
                }
                write!(f, " reason={}", reason.name())?;
                match error {
                    Some(error) => write!(f, " hindered={error:?}"),
                    None => Ok(()),
                }
            }
        }
    }
}

/// Members as `identity@address`, separated by commas.
struct Members<'a, I: Iterator<Item = (&'a MemberId, &'a MemberInfo)> + Clone>(I);

impl<'a, I: Iterator<Item = (&'a MemberId, &'a MemberInfo)> + Clone> fmt::Display
    for Members<'a, I>
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut is_first = true;
        for (id, info) in self.0.clone() {
            let comma = if std::mem::take(&mut is_first) { "" } else { "," };
            write!(f, "{comma}{id}@{}", info.address)?;
        }
        if is_first { write!(f, "none") } else { Ok(()) }
    }
}
