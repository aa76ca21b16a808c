//! Types shared by all crates: identifiers, time, error kinds and requests.
//!
//! Performs no I/O and reads no clock.

mod error;
mod identifier;
mod instance;
mod request;
mod time;

pub use error::{ErrorKind, Refusal, RunState};
pub use identifier::{
    ActionKey, AttemptId, Digest, Incarnation, ModelId, NodeId, ReplicaId, RequestDigest,
    RequestId, Revision, TenantId, WeightsVersion, ZoneId,
};
pub use instance::{
    Instance, InstanceId, SoftwareId, Start, incarnation_name, parse_incarnation_name,
};
pub use request::{ActionCall, ChatRequest, Endpoint, Priority, Usage};
pub use time::Time;
