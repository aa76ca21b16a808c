//! Processes of a fleet whose replicas register themselves: gateways that forward any HTTP request
//! and control members that keep the catalog, the registry and the directory.
//!
//! What calls look like is a [`Dialect`]'s; nothing here names a header, path or field of one.

mod answer;
mod caller;
mod changes;
mod clients;
mod control_service;
mod crash_watch;
mod dialect;
mod directory;
mod exchange;
mod external_log;
mod gateway;
mod http_service;
mod journal;
mod metrics;
mod orders;
mod peers;
mod pool;
mod process;
mod request_reader;
mod settings;
mod store_reader;
mod stream;
mod watcher;

pub use control_service::{ControlPlane, ControlPlaneOptions};
pub use dialect::{
    ControlCall, Dialect, HttpRequest, HttpResponse, ReplicaCall, RequestMetadata,
    ResponseMetadata, UpstreamMetadata,
};
pub use external_log::ExternalLogLimiter;
pub use gateway::{Gateway, GatewayOptions};
pub use metrics::{METRICS_PATH, Metrics};
pub use peers::GatewayMessage;
pub use process::{run_control, run_gateway};
pub use settings::{
    Bounds, CacheSettings, ConnectionPoolSettings, FleetPolicy, FleetSettings, ListenAddresses,
};
