//! Timing and size parameters of a replica.

use std::time::Duration;

/// Parameters that all members should share.
#[derive(Clone, Debug)]
pub struct Config {
    /// Shortest silence of a leader after which a follower stands for election. Each wait is drawn
    /// from this to twice this.
    pub election_timeout: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How long after the sending of a heartbeat that a quorum answered the leader may rely on
    /// being the only one. Must be shorter than `election_timeout` by more than clocks drift
    /// within it.
    pub lease: Duration,
    /// Most payload bytes in one append message.
    pub max_append_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept behind a snapshot for followers that lag a little.
    pub retained_entries: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            election_timeout: Duration::from_millis(600),
            heartbeat_interval: Duration::from_millis(100),
            lease: Duration::from_millis(450),
            max_append_bytes: 256 * 1024,
            snapshot_chunk_bytes: 1024 * 1024,
            retained_entries: 1_000,
        }
    }
}
