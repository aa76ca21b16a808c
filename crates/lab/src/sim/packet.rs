//! What travels between places.

use topazmount_consensus::Envelope;
use topazmount_control::{ActionResult, LookupOutcome, Request, RequestNumber};
use topazmount_node::{Dispatch, NodeInput};
use topazmount_types::{ActionCall, ActionKey, AttemptId, ChatRequest, Refusal, RequestId, Usage};

/// Somebody that sends and receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    /// Callers of a zone, beside its node.
    Caller(usize),
    /// A node.
    Node(usize),
    /// An engine.
    Engine(usize),
    /// An application replica.
    Application(usize),
    /// A control member.
    Member(usize),
    /// Operators.
    Operator,
}

/// What a caller asks a node.
#[derive(Clone, Debug)]
pub enum Question {
    /// A completion.
    Chat(Box<ChatRequest>),
    /// A call that may run at most once.
    Action(Box<ActionCall>),
    /// What became of a call.
    Lookup(ActionKey),
}

/// What a node answers a caller.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Text of a streamed answer.
    Text(String),
    /// End of a completion.
    Finish(Usage),
    /// An error.
    Refuse(Refusal),
    /// Result of a call.
    Action(ActionResult),
    /// What is known of a call.
    Lookup(LookupOutcome),
    /// The node is gone: the connection broke.
    Broken,
    /// The node could not be connected to.
    NotConnected,
}

/// One message.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Caller to node.
    Ask(RequestId, Question),
    /// Caller to node: the caller closed the connection.
    Leave(RequestId),
    /// Node to caller.
    Answer(RequestId, Answer),
    /// Node to engine.
    Submit(Box<Dispatch>),
    /// Node to engine.
    Cancel(AttemptId),
    /// Node to application.
    Call(AttemptId, RequestId, Box<ActionCall>),
    /// Node, operator or joining member to member.
    Control(RequestNumber, Box<Request>),
    /// Member to operator or to a joining member.
    Reply(RequestNumber, Box<topazmount_control::Response>),
    /// Anybody to node.
    Input(Box<NodeInput>),
    /// Member to member: the sender's address and its message.
    Peer(String, Box<Envelope>),
}
