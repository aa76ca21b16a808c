//! Who takes part in the group.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Identity of a member's disk. A member whose disk is lost draws a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "m{:x}", self.0)
    }
}

/// What others need to know to reach a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Declared name, the same before and after a disk was lost.
    pub name: String,
    /// Internal address, `ip:port`.
    pub address: String,
}

/// Voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count.
    pub voters: BTreeMap<MemberId, MemberInfo>,
    /// Members that receive the log and do not count.
    pub learners: BTreeMap<MemberId, MemberInfo>,
    /// Voters that the group is meant to have: as many as it had when all of them had answered for a
    /// while. 0 where it is not known: in a group that has not settled yet, since others may be about to
    /// join its founders, and in state that older versions wrote.
    #[serde(rename = "full_size", default, skip_serializing_if = "is_unknown")]
    pub target_size: usize,
}

fn is_unknown(target_size: &usize) -> bool {
    *target_size == 0
}

/// How a member takes part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipStatus {
    /// It does not: it must ask to join.
    #[default]
    Outside,
    /// It receives the log and does not count.
    Learner,
    /// Its votes and acknowledgements count.
    Voter,
}

/// One step from a membership to the next; only one is under way at a time (thesis §4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner.
    AddLearner(MemberId, MemberInfo),
    /// Turns a learner into a voter.
    Promote(MemberId),
    /// Removes a voter or learner. The group is meant to have as many voters as before.
    Remove(MemberId),
    /// Takes the number of voters there are as the number that the group is meant to have.
    #[serde(rename = "Settle")]
    SetTargetSize,
}

impl Membership {
    /// The founders of a group.
    pub fn initial(voters: BTreeMap<MemberId, MemberInfo>) -> Self {
        Membership { voters, ..Membership::default() }
    }

    /// Voters that the group is meant to have; as many as there are where that is not known.
    pub fn target_size_or_current(&self) -> usize {
        if is_unknown(&self.target_size) { self.voters.len() } else { self.target_size }
    }

    /// Smallest number of voters that any two decisions share.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the member takes part at all.
    pub fn contains(&self, id: MemberId) -> bool {
        self.voters.contains_key(&id) || self.learners.contains_key(&id)
    }

    /// How a member takes part.
    pub fn status(&self, id: MemberId) -> MembershipStatus {
        if self.voters.contains_key(&id) {
            MembershipStatus::Voter
        } else if self.learners.contains_key(&id) {
            MembershipStatus::Learner
        } else {
            MembershipStatus::Outside
        }
    }

    /// All members but `own`.
    pub fn others(&self, own: MemberId) -> Vec<MemberId> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|id| *id != own).collect()
    }

    /// What is known of a member.
    pub fn info(&self, id: MemberId) -> Option<&MemberInfo> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// The membership after a change, or `None` when the change makes no sense here.
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
                // Where it was not known before, the size counts from here on.
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
