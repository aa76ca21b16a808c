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

/// Number of a request on one connection.
pub type RequestNumber = u64;

/// One frame on a connection to a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Between members: the sender's listening address and its message.
    Peer(String, Envelope),
    /// From a node, an operator or a joining member.
    Request(RequestNumber, Request),
    /// Response to the request of that number on the same connection.
    Response(RequestNumber, Response),
    /// Acknowledges a member's message, which shows that the connection works.
    #[serde(rename = "Heard")]
    Ack,
}

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A command on the ledger; answered by the leader only.
    Ledger(Command),
    /// A change of configuration; answered by the leader only.
    Change(ChangeRequest),
    /// Looks up a key; answered by the leader only.
    Lookup(ActionKey),
    /// A node reports its revision and asks for a newer one; answered by any member.
    Fetch {
        /// Node.
        node: NodeId,
        /// Its name.
        name: String,
        /// Its zone.
        zone: String,
        /// Revision in force there.
        have: Revision,
    },
    /// Reads all configuration texts; answered by the leader only.
    Source,
    /// Reads accepted changes; answered by any member.
    History,
    /// Reads the state of the member; answered by any member.
    Status,
    /// A process with an empty disk asks to become a member; only the leader can add it.
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

/// Response to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// Accepted as this revision.
    Accepted(Revision),
    /// The configuration is at this revision instead of the expected one.
    Conflict(Revision),
}

/// A node's last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Revision in force there.
    pub revision: Revision,
    /// When it was received, on the member's clock.
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
    /// Its standing, as far as it knows.
    pub standing: MembershipStatus,
    /// How long it has had this standing.
    pub standing_for: Duration,
    /// Voters and learners that responded recently, including itself; empty unless it leads.
    #[serde(rename = "answering")]
    pub responding: Vec<MemberId>,
}

impl MemberStatus {
    /// Voters that share their name with another voter: one of them has lost its disk and still
    /// counts.
    pub fn duplicate_voters(&self) -> usize {
        let voters = &self.membership.voters;
        let names: BTreeSet<&str> = voters.values().map(|info| info.name.as_str()).collect();
        voters.len() - names.len()
    }

    /// Voters that responded recently, if this member leads.
    pub fn responding_voters(&self) -> usize {
        let voters = &self.membership.voters;
        self.responding.iter().filter(|id| voters.contains_key(id)).count()
    }
}

/// Response to a process that asks to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinResponse {
    /// It was proposed as a learner.
    Proposed,
    /// A learner of the same name is removed first; the process should ask again.
    ReplacesLearner,
    /// Another membership change is in progress; the process should ask again.
    Busy,
    /// It is a learner already.
    Learner,
    /// It is a voter already.
    Voter,
    /// The member is not the leader.
    #[serde(rename = "AskElsewhere")]
    Redirect {
        /// The leader, if known.
        leader: Option<MemberInfo>,
        /// Addresses of known members.
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

/// A response of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Result of a ledger command.
    Ledger(Reply),
    /// Result of a change.
    Change(ChangeReply),
    /// Outcome of a lookup.
    Lookup(LookupOutcome),
    /// Update for the node.
    Update(ConfigurationUpdate),
    /// All texts and their revision.
    Source(Revision, SourceFiles),
    /// Accepted changes, newest first.
    History(Vec<HistoryRow>),
    /// State of the member.
    Status(Box<MemberStatus>),
    /// Response to a request to join.
    Joining(JoinResponse),
    /// The leader to ask instead; any other member if unknown.
    NotLeader(Option<MemberInfo>),
    /// Refused, with the reason.
    Refused(Refusal),
    /// About the fleet.
    Fleet(FleetResponse),
}
