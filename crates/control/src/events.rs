//! What a member tells of who takes part in the group, so that logs can tell a process that was
//! never admitted from one that was admitted late, and from one that is counted twice.

use crate::protocol::JoinResponse;
use crate::state::FeatureLevel;
use std::fmt;
use topazmount_consensus::{
    MemberId, MemberInfo, Membership, MembershipChange, MembershipStatus, ProposeError,
};

/// Why a leader proposes a change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// A process that is no member asked to join.
    JoinRequested,
    /// A learner of the same name never became a voter: its disk was lost in turn.
    LearnerReplaced,
    /// A learner has the whole log.
    CaughtUp,
    /// A voter does not answer, and another identity of the same name does: its disk was lost.
    VoterReplaced,
    /// A voter does not answer, and another member is there for its place.
    SuccessorReady,
    /// A silent voter of a group of even size, which is no safer with it.
    SurplusVoter,
    /// A learner that does not answer any more.
    LearnerTimedOut,
    /// All voters have answered for a while.
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

/// Something that a member decided or learned about who takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The membership that this member acts by has changed, committed or not.
    Changed {
        /// Who takes part.
        membership: Membership,
        /// How this member does.
        standing: MembershipStatus,
    },
    /// As leader: answered a process that asked to join.
    JoinRequested {
        /// Identity of the process.
        id: MemberId,
        /// Its name and address.
        info: MemberInfo,
        /// What was said.
        response: JoinResponse,
    },
    /// Outside the group: a member was asked to take this process in.
    JoinResponse {
        /// Address that was asked.
        member: String,
        /// What it said; `None` where no answer came.
        response: Option<JoinResponse>,
    },
    /// As leader: proposed a change, or could not.
    ChangeProposed {
        /// The change.
        change: MembershipChange,
        /// Why.
        reason: ChangeReason,
        /// What hindered it; the change is tried again.
        error: Option<ProposeError>,
    },
    /// The group agreed that all members can apply the commands of a level.
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
            MembershipEvent::JoinRequested { id, info, response: answer } => {
                write!(f, "id={id} address={} answer={answer}", info.address)
            }
            MembershipEvent::JoinResponse { member, response: answer } => match answer {
                Some(answer) => write!(f, "member={member} answer={answer}"),
                None => write!(f, "member={member} answer=None"),
            },
            MembershipEvent::ChangeProposed { change, reason, error: hindrance } => {
                match change {
                    MembershipChange::AddLearner(id, info) => {
                        write!(f, "add_learner={id} address={}", info.address)?;
                    }
                    MembershipChange::Promote(id) => write!(f, "promote={id}")?,
                    MembershipChange::Remove(id) => write!(f, "remove={id}")?,
                    MembershipChange::SetTargetSize => write!(f, "settle")?,
                }
                write!(f, " reason={}", reason.name())?;
                match hindrance {
                    Some(error) => write!(f, " hindered={error:?}"),
                    None => Ok(()),
                }
            }
        }
    }
}

/// Members as `identity@address`, with commas between them.
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
