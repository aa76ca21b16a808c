//! The fleet that gateways serve: service catalog, replicas and weights.
//!
//! [`FleetState`] is replicated: the newest catalog document, the registered replicas and the
//! versions named for models, and the requests under which replicas crash. `FleetLeader` is what only the leader keeps in memory: when each
//! replica and gateway was last heard of, who waits for news, and the roll-out of weights.

mod belief;
mod crashes;
mod events;
mod gateways;
mod leader;
mod orders;
mod pace;
mod pieces;
mod protocol;
mod rollout;
mod schedule;
mod state;
mod statuses;
mod target;
mod turns;

pub use crashes::{BlockedRequest, CRASHES_TO_BLOCK, CrashLedger, CrashRecord, CrashReport};
pub use events::{RecordChange, ReportSource, RolloutEvent, WeightsEvent};
pub use gateways::GATEWAY_TIMEOUT;
pub(crate) use leader::FleetLeader;
pub use orders::{ActionReport, FleetAction, LoadMode, OrderOutcome, ReplicaReport, WeightsOrder};
pub use pace::RolloutPlan;
pub use protocol::{
    Availability, FleetRequest, FleetResponse, FleetView, GatewayListUpdate, GatewayReport,
    InstanceReport, InstanceStatus, LoadedModel, SeenVersions, WatchRequest,
};
pub use rollout::RolloutSettings;
pub use state::{
    Document, FleetCommand, FleetState, RegistrationConflict, RegistrationStatus, RemovedInstance,
};
