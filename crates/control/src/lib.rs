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
pub use first_form::{IncomingLegacyFrame, LegacyLink, OutgoingLegacyFrame};
pub use fleet::{
    ActionReport, Availability, BlockedRequest, CRASHES_TO_BLOCK, CrashLedger, CrashRecord,
    CrashReport, Document, FleetAction, FleetCommand, FleetRequest, FleetResponse, FleetState,
    FleetView, GATEWAY_TIMEOUT, GatewayListUpdate, GatewayReport, InstanceReport, InstanceStatus,
    LoadMode, LoadedModel, OrderOutcome, RecordChange, RegistrationConflict, RegistrationStatus,
    RemovedInstance, ReplicaReport, ReportSource, RolloutEvent, RolloutPlan, RolloutSettings,
    SeenVersions, WatchRequest, WeightsEvent, WeightsOrder,
};
pub use ledger::{ActionResult, ClaimId, ClaimOutcome, Ledger, LookupOutcome};
pub use member::{Founding, Member, MemberError, MemberInput, MemberOutput, MemberSettings, Token};
pub use protocol::{
    ChangeReply, ChangeRequest, Frame, JoinResponse, MemberStatus, NodeReport, Request,
    RequestNumber, Response,
};
pub use state::{Command, ControlState, FeatureLevel, Reply, TimedCommand};
