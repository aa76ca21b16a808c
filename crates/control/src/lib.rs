//! What the replicated log is applied to, and one control member around it.
//!
//! [`ControlState`] is the state machine: configuration revisions, the ledger of calls that may
//! run at most once, and the fleet that gateways serve. [`Member`] joins it with the log: it takes requests and peer messages, makes
//! state durable through a [`Disk`](topazmount_consensus::Disk), and says what to send. It opens no
//! socket and reads no clock.

mod configuration;
mod events;
mod first_form;
mod fleet;
mod fleet_member;
mod heartbeats;
mod identity;
mod joining;
mod kinds;
mod ledger;
mod member;
mod protocol;
mod repair;
mod standing;
mod state;

pub use configuration::{Configuration, ConfigurationUpdate, HistoryRow};
pub use events::{ChangeReason, MembershipEvent};
pub use first_form::{FirstFormLink, FirstFrame, OutgoingFrame};
pub use fleet::{
    Availability, BeliefChange, BlockedRequest, CRASHES_TO_BLOCK, CrashLedger, CrashNote,
    CrashNotes, Document, FleetAction, FleetCommand, FleetRequest, FleetResponse, FleetState,
    FleetView, ForeignCause, GATEWAY_SILENCE, GatewayNews, GatewayReport, InstanceReport,
    InstanceStatus, LoadMode, LoadedModel, OrderEnd, OrderReport, Plan, Registration,
    RemovedInstance, ReplicaReport, RolloutEvent, RolloutSettings, Seen, WatchRequest,
    WeightsEvent, WeightsOrder, WordSource,
};
pub use ledger::{ActionResult, ClaimId, ClaimOutcome, Ledger, LookupOutcome};
pub use member::{Founding, Member, MemberError, MemberInput, MemberOutput, MemberSettings, Token};
pub use protocol::{
    ChangeReply, ChangeRequest, Frame, JoinAnswer, MemberStatus, NodeReport, Request,
    RequestNumber, Response,
};
pub use state::{Command, ControlState, Level, Reply, TimedCommand};
