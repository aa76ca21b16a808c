//! What replicas ask of their callers: to rest for a while, or to turn elsewhere since they leave.

use std::time::Duration;

/// What one answer of a replica asks of the process that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pushback {
    /// Time from the answer on for which the replica wants nothing from this process.
    pub rest: Option<Duration>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Name of a field that can't be read, and then asks nothing.
    pub unreadable: Option<&'static str>,
}
