//! A registered replica and its incarnations.

use crate::Time;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifier of a replica. One that starts again may keep it; its [`Start`] tells its incarnations apart.
pub type InstanceId = String;

/// When an incarnation of a replica started, as the replica says: milliseconds of Unix time, by its own clock. Compared
/// with other starts under the same identifier, and with a clock of ours only where nothing else tells who said something.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Start(pub u64);

impl Start {
    /// Of a replica that does not say when it started.
    pub const UNKNOWN: Start = Start(0);

    /// The same moment by a process's clock, whose origin is Unix time's; what clocks are apart comes in addition.
    pub fn as_time(self) -> Time {
        Time::from_millis(self.0.min(u64::MAX / 1_000))
    }
}

impl fmt::Display for Start {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Start::UNKNOWN => formatter.write_str("unsaid"),
            Start(millis) => write!(formatter, "{millis}"),
        }
    }
}

/// What the control group has committed of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier.
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
    /// When this incarnation started.
    #[serde(default)]
    pub start: Start,
}

impl Instance {
    /// Name of this incarnation, see [`incarnation_name`].
    pub fn incarnation_name(&self) -> String {
        incarnation_name(&self.id, self.start)
    }
}

/// Name that tells an incarnation from all others under its identifier; the identifier alone where no start is said. A
/// `#` is in no identifier, since these come as part of a request's target.
pub fn incarnation_name(id: &str, start: Start) -> String {
    match start {
        Start::UNKNOWN => id.to_owned(),
        Start(millis) => format!("{id}#{millis}"),
    }
}
