//! Processes of a fleet whose replicas register themselves: gateways that forward HTTP requests, and
//! control members that store the catalog, the registry and the directory.
//!
//! Headers, paths and body formats are defined by a [`Dialect`], not here.

mod body_memory;
mod clients;
mod control_service;
mod crash_watch;
mod datagram_drops;
mod dialect;
mod directory;
mod exchange;
mod external_log;
mod gateway;
mod http_client;
mod http_service;
mod latch;
mod legacy_datagrams;
mod link_monitor;
mod log_text;
mod metrics;
mod orders;
mod origin_service;
mod peers;
mod pool;
mod process;
pub(crate) mod rate_limited_log;
mod replica_changes;
mod replica_failures;
mod request_reader;
mod response;
mod settings;
mod store_reader;
mod stream;
mod stream_origin;
mod tunnel;
mod watcher;

pub use control_service::{ControlPlane, ControlPlaneOptions};
pub use dialect::{
    ControlCall, Dialect, HttpRequest, HttpResponse, ReplicaCall, RequestMetadata,
    ResponseMetadata, UpstreamMetadata,
};
pub use external_log::ExternalLogLimiter;
pub use gateway::{Gateway, GatewayOptions};
pub use legacy_datagrams::{decode_legacy, encode_legacy};
pub use metrics::{METRICS_PATH, Metrics};
pub use peers::{GatewayMessage, SoftwareProof};
pub use process::{run_control, run_gateway};
pub use settings::{
    Bounds, CacheSettings, ConnectionPoolSettings, FleetPolicy, FleetSettings, ListenAddresses,
};
