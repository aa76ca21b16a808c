//! What the model takes as given about machines and shells: nothing here is measured by a run.

use std::time::Duration;
use topazmount_types::Time;

/// Share of a core that a control member gets.
pub const MEMBER_SHARE: f64 = 0.6;
/// Share of a core that a gateway gets.
pub const GATEWAY_SHARE: f64 = 0.12;
/// Link of a control member, in bytes per second.
pub const MEMBER_LINK: f64 = 125_000_000.0;
/// Link of a gateway, in bytes per second.
pub const GATEWAY_LINK: f64 = 1_250_000.0;
/// Memory beyond which a control member is killed, in bytes.
pub const MEMBER_MEMORY: f64 = 512e6;
/// Time of a message on its way.
pub const LATENCY: Duration = Duration::from_micros(900);
/// Time of a synced write.
pub const SYNC: Duration = Duration::from_millis(1);
/// Memory of a control member without connections and replicas, in bytes (seen on processes).
pub const MEMBER_BASE: f64 = 11e6;
/// Memory of a control member for each replica: state, log and snapshot, in bytes (seen on members
/// of a fleet that gateways did not reach).
pub const MEMBER_BYTES_PER_REPLICA: f64 = 4_500.0;
/// Memory of a control member for each connection, in bytes (seen on processes).
pub const CONNECTION_BYTES: usize = 20_000;
/// Memory of a gateway without replicas, in bytes (seen on processes).
pub const GATEWAY_BASE: f64 = 3e6;
/// Memory of a response at a gateway for each entry of its lists, in bytes.
pub const ENTRY_BYTES: usize = 320;
/// Memory of a waiting response, whose lists are shared, in bytes.
pub const RESPONSE_BYTES: usize = 1_500;
/// Processor time of a member for one HTTP call of a replica, beyond the core's.
pub const HTTP_CALL: Duration = Duration::from_micros(60);
/// Processor time for reading or writing one frame on a socket, beyond encoding it.
pub const SOCKET_CALL: Duration = Duration::from_micros(12);
/// Processor time of a gateway for one response, beyond what its lists take.
pub const GATEWAY_RESPONSE: Duration = Duration::from_micros(120);

/// A resource that does one thing at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Serial {
    free_at: Time,
}

impl Serial {
    /// Takes the resource for some time as soon as it is free; returns when that ends.
    pub fn take(&mut self, now: Time, takes: Duration) -> Time {
        self.free_at = self.free_at.max(now) + takes;
        self.free_at
    }

    /// When the resource is free.
    pub fn free_at(&self) -> Time {
        self.free_at
    }
}

/// Time of some bytes on a link.
pub fn link_time(bytes: usize, bytes_per_s: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_s)
}
