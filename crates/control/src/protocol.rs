//! Messages between nodes, operators and control members.

use crate::configuration::{ConfigurationUpdate, HistoryRow};
use crate::fleet::{FleetRequest, FleetResponse};
use crate::ledger::LookupOutcome;
use crate::state::{Command, Reply};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use topazmount_consensus::{
    Envelope, Index, MemberId, MemberInfo, Membership, MembershipStatus, Term,
};
use topazmount_settings::SourceFiles;
use topazmount_types::{ActionKey, Digest, NodeId, Refusal, Revision, Time};

/// Numbers a request on one connection.
pub type RequestNumber = u64;

/// One frame on a connection to a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Between members: the sender's listening address and its message.
    Peer(String, Envelope),
    /// From a node, an operator or a joining member.
    Request(RequestNumber, Request),
    /// Answer to the request of that number on the same connection.
    Response(RequestNumber, Response),
    /// A member's message has come: shows its sender that the connection carries something.
    #[serde(rename = "Heard")]
    Ack,
}

/// What a member can be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A command on the ledger; answered by the leader only.
    Ledger(Command),
    /// A change of configuration; answered by the leader only.
    Change(ChangeRequest),
    /// What is known of a key; answered by the leader only.
    Lookup(ActionKey),
    /// A node reports its revision and asks for a newer one; answered by any member.
    Fetch {
        /// Node.
        node: NodeId,
        /// Its name.
        name: String,
        /// Its zone.
        zone: String,
        /// Revision that it has in force.
        have: Revision,
    },
    /// All configuration texts; answered by the leader only.
    Source,
    /// Accepted changes; answered by any member.
    History,
    /// State of the member; answered by any member.
    Status,
    /// A process with an empty disk asks to become a member; only the leader can take it in.
    Join(MemberId, MemberInfo),
    /// About the fleet.
    Fleet(FleetRequest),
}

/// A change of configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Revision that the operator saw.
    pub expected: Revision,
    /// Hash of the operator's request identifier.
    pub request: Digest,
    /// New texts.
    pub source: SourceFiles,
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// Accepted as this revision.
    Accepted(Revision),
    /// The configuration is at this revision instead of the expected one.
    Conflict(Revision),
}

/// A node as a member last heard of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Revision in force there.
    pub revision: Revision,
    /// When it asked last, on the member's clock.
    #[serde(rename = "heard_at")]
    pub received_at: Time,
}

/// A member's view of itself and the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity.
    pub id: MemberId,
    /// Name.
    pub name: String,
    /// Whether it leads with a valid lease.
    pub is_leader: bool,
    /// Term.
    pub term: Term,
    /// Last applied entry.
    pub applied: Index,
    /// Membership.
    pub membership: Membership,
    /// Newest configuration that it applied.
    pub revision: Revision,
    /// Keys in the ledger.
    pub ledger_keys: u64,
    /// Nodes that report to it.
    pub nodes: Vec<NodeReport>,
    /// Its clock.
    pub now: Time,
    /// How it takes part, as far as it knows.
    pub standing: MembershipStatus,
    /// How long it has taken part so, or has not.
    pub standing_for: Duration,
    /// Voters and learners that answered it lately, itself among them; empty unless it leads.
    #[serde(rename = "answering")]
    pub responding: Vec<MemberId>,
}

impl MemberStatus {
    /// Voters that share their name with another voter: one of them is a lost identity that still
    /// counts.
    pub fn duplicate_voters(&self) -> usize {
        let voters = &self.membership.voters;
        let names: BTreeSet<&str> = voters.values().map(|info| info.name.as_str()).collect();
        voters.len() - names.len()
    }

    /// Voters that answered lately, if this member leads.
    pub fn responding_voters(&self) -> usize {
        let voters = &self.membership.voters;
        self.responding.iter().filter(|id| voters.contains_key(id)).count()
    }
}

/// What a member says to a process that asks to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinResponse {
    /// It was proposed as a learner.
    Proposed,
    /// A learner of the same name is removed first; the process should ask again.
    ReplacesLearner,
    /// Another change of the membership is under way; the process should ask again.
    Busy,
    /// It is a learner already.
    Learner,
    /// It is a voter already.
    Voter,
    /// The member that was asked does not lead.
    #[serde(rename = "AskElsewhere")]
    Redirect {
        /// Who does, if it knows.
        leader: Option<MemberInfo>,
        /// Addresses of members that it knows of.
        members: Vec<String>,
    },
}

impl fmt::Display for JoinResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JoinResponse::Redirect { leader, members } => {
                let leader = leader.as_ref().map_or("none", |info| info.address.as_str());
                write!(f, "AskElsewhere leader={leader} members={}", members.len())
            }
            JoinResponse::Proposed => f.write_str("Proposed"),
            JoinResponse::ReplacesLearner => f.write_str("ReplacesLearner"),
            JoinResponse::Busy => f.write_str("Busy"),
            JoinResponse::Learner => f.write_str("Learner"),
            JoinResponse::Voter => f.write_str("Voter"),
        }
    }
}

/// What a member answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Result of a ledger command.
    Ledger(Reply),
    /// Result of a change.
    Change(ChangeReply),
    /// What is known of a key.
    Lookup(LookupOutcome),
    /// What the node lacks.
    Update(ConfigurationUpdate),
    /// All texts and their revision.
    Source(Revision, SourceFiles),
    /// Accepted changes, newest first.
    History(Vec<HistoryRow>),
    /// State of the member.
    Status(Box<MemberStatus>),
    /// To a process that asks to join.
    Joining(JoinResponse),
    /// Ask this member instead, or any other when none is named.
    NotLeader(Option<MemberInfo>),
    /// Refused, with the reason.
    Refused(Refusal),
    /// About the fleet.
    Fleet(FleetResponse),
}
