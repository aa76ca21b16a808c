//! A registered replica and its incarnations.

use crate::{Digest, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifier of a replica, which can stay the same after a restart; [`Start`] distinguishes the
/// incarnations.
pub type InstanceId = String;

/// Start time of an incarnation as reported by the replica, in Unix milliseconds of its own clock.
/// Mostly compared with other start times of the same identifier; comparisons with other clocks
/// must tolerate clock skew.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Start(pub u64);

impl Start {
    /// Start time of a replica that reports none.
    pub const UNKNOWN: Start = Start(0);

    /// Converts to the time of a process, which also counts from the Unix epoch; does not correct
    /// clock skew.
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

/// A replica as registered with the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier.
    pub id: InstanceId,
    /// Name of its service.
    pub service: String,
    /// Address, `ip:port`.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub is_draining: bool,
    /// Registry revision of its last change.
    pub changed_at: u64,
    /// When this incarnation started.
    #[serde(default)]
    pub start: Start,
    /// Version of its software; empty if it reports none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: String,
}

/// Identifies a version of a service's software: the hash of the service's name and the version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SoftwareId(pub u64);

impl SoftwareId {
    /// Identifier of the software that a replica runs.
    pub fn of(instance: &Instance) -> Self {
        let parts = [instance.service.as_bytes(), instance.software.as_bytes()];
        SoftwareId(Digest::of_parts(&parts).prefix())
    }
}

impl fmt::Display for SoftwareId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Instance {
    /// Name of this incarnation; see [`incarnation_name`].
    pub fn incarnation_name(&self) -> String {
        incarnation_name(&self.id, self.start)
    }
}

/// Unique name of an incarnation: the identifier and the start time, or the identifier alone if the
/// start time is unknown. Identifiers contain no `#`, because they are part of request targets.
pub fn incarnation_name(id: &str, start: Start) -> String {
    match start {
        Start::UNKNOWN => id.to_owned(),
        Start(millis) => format!("{id}#{millis}"),
    }
}

/// Identifier and start time of an incarnation with a known start time; reverses
/// [`incarnation_name`].
pub fn parse_incarnation_name(name: &str) -> Option<(&str, Start)> {
    let (id, millis) = name.rsplit_once('#')?;
    Some((id, Start(millis.parse().ok()?)))
}
