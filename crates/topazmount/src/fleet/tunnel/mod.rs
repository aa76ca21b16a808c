//! Connections to replicas through another gateway, for a gateway that is cut off from them.
//!
//! After an authenticated exchange of one [`TunnelRequest`] and one [`TunnelResponse`], the requesting
//! gateway sends the bytes for the replica, and the carrier sends the replica's as segments. Closing
//! either connection closes the other.

mod carrier;
mod client;
mod session;

pub(super) use carrier::serve;
pub(super) use client::{Tunnel, TunnelError};

use serde::{Deserialize, Serialize};
use std::time::Duration;
use topazmount_gateway::TunnelRefusal;
use topazmount_types::InstanceId;

/// Time limit for a carrier to connect to a replica, the same as in an attempt.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks a gateway to connect to a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TunnelRequest {
    /// Identifier of the replica.
    id: InstanceId,
    /// Address of the replica, `ip:port`.
    address: String,
    /// Time after which the tunnel is closed.
    time_limit: Duration,
}

/// Response of the carrier.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum TunnelResponse {
    /// The connection to the replica is open.
    Connected,
    /// Nobody listens at the replica's address.
    ReplicaRefused,
    /// The replica did not accept the connection in time.
    ReplicaUnreachable,
    /// The gateway carries no tunnel to the replica.
    Refused(TunnelRefusal),
}
