//! Timing and size parameters of a member.

use std::time::Duration;

/// Parameters, the same for all members of a group.
#[derive(Clone, Debug)]
pub struct Config {
    /// Minimum time without a message of the leader before a follower starts an election. Each
    /// timeout is drawn at random between this and twice this.
    pub election_timeout: Duration,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Duration of the leader lease, counted from the sending of a heartbeat that a quorum
    /// acknowledged. Must be shorter than `election_timeout` by more than the clock drift within
    /// it.
    pub lease: Duration,
    /// Maximum payload bytes in one append message.
    pub max_append_bytes: usize,
    /// Maximum snapshot bytes in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept before a snapshot, so that followers slightly behind need no snapshot.
    pub retained_entries: u64,
    /// Maximum payload bytes of these entries. Followers that lag further get the snapshot.
    pub retained_bytes: usize,
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
            retained_bytes: 8 * 1024 * 1024,
        }
    }
}
