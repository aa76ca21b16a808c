//! A registered replica.

use serde::{Deserialize, Serialize};

/// Identifier of one life of a replica; a restart draws a new one.
pub type InstanceId = String;

/// What the control group has committed of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier of this life.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: String,
    /// Address, `ip:port`.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Registry revision of the last change.
    pub changed_at: u64,
}
