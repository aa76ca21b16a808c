//! What goes into a node's core and what comes out.

use crate::configuration::InForce;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{ActionResult, LookupOutcome, Request, RequestNumber, Response};
use topazmount_routing::{LoadReport, ReplicaStatus};
use topazmount_types::{
    ActionCall, ActionKey, AttemptId, ChatRequest, Incarnation, Refusal, ReplicaId, RequestId,
    Revision, Usage,
};

/// Why a completion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The engine's own end.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

impl FinishReason {
    /// The word used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// Why an engine did not accept a request; nothing of it ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It has more work than it takes.
    Busy,
    /// The same, and it wants nothing for so long.
    Resting(Duration),
    /// It is leaving.
    Leaving,
    /// It has other weights.
    OtherWeights,
    /// It can't serve the request at all; another replica won't either.
    Invalid,
}

/// How an attempt at an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte was handed over.
    NotConnected,
    /// The engine said that it did not accept the request.
    Refused(RefusalCause),
    /// The connection broke, or the engine broke its protocol, after the request was handed over.
    Lost,
}

/// How a call of an application failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionFailure {
    /// No byte was handed over.
    NotConnected,
    /// The application said that it did not accept the call.
    NotAccepted,
    /// The connection broke after the call was handed over.
    Lost,
}

/// Why a control member gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFailure {
    /// No connection, or it broke.
    Unreachable,
}

/// A row of the platform's list of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineEntry {
    /// Replica on the machine.
    pub replica: ReplicaId,
    /// What the list says.
    pub evidence: ReplicaStatus,
    /// Grows with each change of the entry; an older one is ignored.
    pub epoch: u64,
}

/// Where a resumed answer goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Tokens that the caller has.
    pub position: u32,
    /// Their text.
    pub text: String,
}

/// One attempt to be made at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Attempt.
    pub attempt: AttemptId,
    /// Request.
    pub request: RequestId,
    /// Engine.
    pub replica: ReplicaId,
    /// What to ask for.
    pub chat: Arc<ChatRequest>,
    /// Where to go on, when tokens were relayed already.
    pub resume: Option<Resume>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// Time passed.
    Tick,
    /// A caller's completion request.
    Chat(RequestId, Box<ChatRequest>),
    /// A caller's call that may run at most once.
    Action(RequestId, Box<ActionCall>),
    /// A caller asks what became of a call.
    Lookup(RequestId, ActionKey),
    /// The caller of a request went away.
    CallerGone(RequestId),
    /// An engine accepted an attempt; it tells its incarnation and load.
    Accepted {
        /// Attempt.
        attempt: AttemptId,
        /// Engine's incarnation.
        incarnation: Incarnation,
        /// Engine's load, when it tells.
        load: Option<LoadReport>,
    },
    /// An engine is still at work on an attempt that has no token yet.
    Waiting(AttemptId),
    /// Generated text.
    Tokens {
        /// Attempt.
        attempt: AttemptId,
        /// Tokens of the answer before this text.
        position: u32,
        /// Tokens in it.
        count: u32,
        /// The text.
        text: String,
        /// Prompt tokens found in cache, when the engine tells.
        cached_tokens: Option<u32>,
    },
    /// An engine ended an answer.
    Finished {
        /// Attempt.
        attempt: AttemptId,
        /// Why.
        reason: FinishReason,
        /// Token counts by the engine.
        usage: Usage,
        /// Engine's load, when it tells.
        load: Option<LoadReport>,
    },
    /// An attempt failed.
    Failed(AttemptId, AttemptFailure),
    /// An application answered.
    ActionAnswered(AttemptId, ActionResult),
    /// A call of an application failed.
    ActionFailed(AttemptId, ActionFailure),
    /// A control member answered, or did not.
    Control(RequestNumber, Result<Response, ControlFailure>),
    /// The platform's list of machines.
    Machines(Vec<MachineEntry>),
    /// The configuration of this revision is durable.
    Kept(Revision),
    /// Take no new requests and end when all are answered.
    Drain,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    /// Make an attempt at an engine.
    Dispatch(Dispatch),
    /// Call an application, once.
    DispatchAction {
        /// Attempt.
        attempt: AttemptId,
        /// Request.
        request: RequestId,
        /// Application replica.
        replica: ReplicaId,
        /// The call.
        call: Arc<ActionCall>,
    },
    /// Stop an attempt; nothing of it is wanted any more.
    Cancel(AttemptId),
    /// Give text to the caller.
    Relay {
        /// Request.
        request: RequestId,
        /// Text.
        text: String,
    },
    /// End an answer.
    Finish {
        /// Request.
        request: RequestId,
        /// Why it ended.
        reason: FinishReason,
        /// Token counts.
        usage: Usage,
        /// The whole text, for callers that don't read a stream.
        text: String,
    },
    /// Answer with an error; in mid-stream when text was relayed.
    Refuse(RequestId, Refusal),
    /// Answer a call that may run at most once.
    AnswerAction {
        /// Request.
        request: RequestId,
        /// Result.
        result: ActionResult,
        /// Whether the result was kept from an earlier run.
        replayed: bool,
    },
    /// Answer a lookup.
    AnswerLookup(RequestId, LookupOutcome),
    /// Ask a control member; `member` counts those of the settings.
    AskControl {
        /// Number, echoed in [`NodeInput::Control`].
        number: RequestNumber,
        /// Which member.
        member: usize,
        /// The request.
        request: Box<Request>,
    },
    /// Read the platform's list of machines.
    ReadMachines,
    /// Make a configuration durable, then say so with [`NodeInput::Kept`].
    Keep(Box<InForce>),
    /// The declarations changed: another revision is in force.
    Configured,
    /// All work is done after a drain.
    Drained,
}

/// Time limits that are the same everywhere.
pub(crate) const ACCEPT_TIMEOUT: Duration = Duration::from_millis(1_000);
