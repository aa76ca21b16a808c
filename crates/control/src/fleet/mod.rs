//! The fleet that gateways serve: service catalog, replicas and weights.
//!
//! [`FleetState`] is replicated: the catalog document, the registered replicas, the published
//! weights and the requests that crash replicas. `FleetLeader` is kept in memory by the leader
//! only: last contact with replicas and gateways, pending watch requests and the roll-out of
//! weights.

mod batches;
mod columns;
mod crashes;
mod events;
mod gateways;
mod instance_table;
mod leader;
mod loading_slots;
mod notices;
mod orders;
mod packed;
mod plan;
mod proposed_crashes;
mod protocol;
mod publications;
mod rollout;
mod shared_updates;
mod software_history;
mod state;
mod statuses;
mod stream_horizon;
mod target;
mod weights_record;

pub use crashes::{
    BlockedRequest, CRASHES_TO_BLOCK, CrashLedger, CrashRecord, CrashReport, HostKey,
};
pub use events::{BlockEvent, RecordChange, ReportSource, RolloutEvent, WeightsEvent};
pub use gateways::GATEWAY_TIMEOUT;
pub(crate) use leader::FleetLeader;
pub use leader::{DEFAULT_HEARTBEAT_INTERVAL, replica_timeout};
pub use notices::{NoticeKind, NoticeSubject, ReplicaNotice};
pub use orders::{ActionReport, FleetAction, LoadMode, OrderOutcome, ReplicaReport, WeightsOrder};
pub use packed::{GatewayLists, Packed, PackedParts, ReplicaLists};
pub use plan::RolloutPlan;
pub(crate) use proposed_crashes::ProposedCrashes;
pub use protocol::{
    Availability, FleetRequest, FleetResponse, FleetView, GatewayListUpdate, GatewayReport,
    InstanceReport, InstanceStatus, LoadedModel, SeenVersions, WatchRequest,
};
pub use rollout::RolloutSettings;
pub(crate) use software_history::{BeforeCommand, SoftwareHistory};
pub use state::{
    Document, FleetCommand, FleetState, RegistrationConflict, RegistrationStatus, RemovedInstance,
};
pub use stream_horizon::{STREAM_RETENTION, StreamHorizon};
