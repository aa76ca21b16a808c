//! A control member and the state that its replicated log is applied to.
//!
//! [`ControlState`] is the state machine: configuration revisions, the ledger of calls that may run
//! at most once, and the fleet that gateways serve. [`Member`] joins it with the log: it takes
//! requests and peer messages, makes state durable through a [`Disk`](topazmount_consensus::Disk),
//! and returns what to send. It opens no socket and reads no clock.

mod configuration;
mod events;
mod fleet;
mod fleet_member;
mod heartbeats;
mod identity;
mod joining;
mod ledger;
mod legacy;
mod member;
mod message_kinds;
mod participation;
mod protocol;
mod repair;
mod state;

pub use configuration::{Configuration, ConfigurationUpdate, HistoryRow};
pub use events::{ChangeReason, MembershipEvent};
pub use fleet::{
    ActionReport, Availability, BlockEvent, BlockedRequest, CRASHES_TO_BLOCK, CrashLedger,
    CrashRecord, CrashReport, DEFAULT_HEARTBEAT_INTERVAL, Document, FleetAction, FleetCommand,
    FleetRequest, FleetResponse, FleetState, FleetView, GATEWAY_TIMEOUT, GatewayListUpdate,
    GatewayLists, GatewayReport, HostKey, InstanceReport, InstanceStatus, LoadMode, LoadedModel,
    NoticeKind, NoticeSubject, OrderOutcome, Packed, PackedParts, RecordChange,
    RegistrationConflict, RegistrationStatus, RemovedInstance, ReplicaLists, ReplicaNotice,
    ReplicaReport, ReportSource, RolloutEvent, RolloutPlan, RolloutSettings, STREAM_RETENTION,
    SeenVersions, StreamHorizon, WatchRequest, WeightsEvent, WeightsOrder, replica_timeout,
};
pub use ledger::{ActionResult, ClaimId, ClaimOutcome, Ledger, LookupOutcome};
pub use legacy::{IncomingLegacyFrame, LegacyLink, OutgoingLegacyFrame};
pub use member::{Founding, Member, MemberError, MemberInput, MemberOutput, MemberSettings, Token};
pub use protocol::{
    ChangeReply, ChangeRequest, Frame, JoinResponse, MemberStatus, NodeReport, Request,
    RequestNumber, Response,
};
pub use state::{Command, ControlState, FeatureLevel, Reply, TimedCommand};
