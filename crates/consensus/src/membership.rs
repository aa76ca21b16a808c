//! Members of a group.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Identity of a member, bound to its disk: after the loss of a disk, a new identity is drawn.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "m{:x}", self.0)
    }
}

/// Name and address of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Declared name; stays the same after the loss of a disk.
    pub name: String,
    /// Internal address, `ip:port`.
    pub address: String,
}

/// Voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and count for the quorum.
    pub voters: BTreeMap<MemberId, MemberInfo>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeMap<MemberId, MemberInfo>,
    /// Intended number of voters: the number when all of them last responded for some time. 0 if
    /// unknown: in a new group that more members may join, and in the state of older builds.
    #[serde(rename = "full_size", default, skip_serializing_if = "is_unknown")]
    pub target_size: usize,
}

fn is_unknown(target_size: &usize) -> bool {
    *target_size == 0
}

/// Status of a member in the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipStatus {
    /// Not a member.
    #[default]
    Outside,
    /// Receives the log but does not vote.
    Learner,
    /// Votes and counts for the quorum.
    Voter,
}

/// A membership change; only one can be in progress at a time (thesis §4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(MemberId, MemberInfo),
    /// Turns a learner into a voter.
    Promote(MemberId),
    /// Removes a voter or learner. The intended number of voters stays.
    Remove(MemberId),
    /// Sets the intended number of voters to the current number.
    #[serde(rename = "Settle")]
    SetTargetSize,
}

impl Membership {
    /// The membership of a new group.
    pub fn initial(voters: BTreeMap<MemberId, MemberInfo>) -> Self {
        Membership { voters, ..Membership::default() }
    }

    /// Intended number of voters; the current number if unknown.
    pub fn target_size_or_current(&self) -> usize {
        if is_unknown(&self.target_size) { self.voters.len() } else { self.target_size }
    }

    /// Number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the member is a voter or learner.
    pub fn contains(&self, id: MemberId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// Status of a member in the group.
    pub fn status(&self, id: MemberId) -> MembershipStatus {
        if self.voters.contains_key(&id) {
            MembershipStatus::Voter
        } else if self.learners.contains_key(&id) {
            MembershipStatus::Learner
        } else {
            MembershipStatus::Outside
        }
    }

    /// All members except `own`.
    pub fn others(&self, own: MemberId) -> Vec<MemberId> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|id| *id != own).collect()
    }

    /// Name and address of a member.
    pub fn info(&self, id: MemberId) -> Option<&MemberInfo> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// The membership after a change; `None` if the change does not apply.
    pub fn after_change(&self, change: &MembershipChange) -> Option<Membership> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id, info) => {
                if self.contains(*id) {
                    return None;
                }
                next.learners.insert(*id, info.clone());
            }
            MembershipChange::Promote(id) => {
                let info = next.learners.remove(id)?;
                next.voters.insert(*id, info);
            }
            MembershipChange::Remove(id) => {
                // An unknown size becomes known here.
                next.target_size = self.target_size_or_current();
                let was_learner = next.learners.remove(id).is_some();
                let was_voter = next.voters.remove(id).is_some();
                if !(was_learner || was_voter) || next.voters.is_empty() {
                    return None;
                }
            }
            MembershipChange::SetTargetSize => {
                if next.target_size == next.voters.len() {
                    return None;
                }
                next.target_size = next.voters.len();
            }
        }
        Some(next)
    }
}
