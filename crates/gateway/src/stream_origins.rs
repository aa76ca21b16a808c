//! Which software version began a stream, for clients that resume it at any gateway.
//!
//! A stream goes on only at the software version that began it, and a client that resumes it names
//! no more than the request that brought its first event. Before a gateway passes on the first
//! event, it records the version and tells a few other gateways, which all gateways derive alike
//! from the stream's key, and control members where only they could tell after all gateways ended.
//! A record never changes, so a lost or late one can't contradict another.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::STREAM_RETENTION;
use topazmount_types::{Digest, SoftwareId, Time};

/// Number of gateways, besides its own, that a gateway tells of a stream. A stream is lost to
/// resumption once all of them have restarted.
pub const ORIGIN_HOLDERS: usize = 3;
/// Number of gateways that are asked for a stream's origin: one more, as lists of gateways differ
/// for a moment after a change.
pub const ORIGIN_QUERIES: usize = ORIGIN_HOLDERS + 1;
/// Number of control members that a gateway tells of a stream where the history of the registry can't
/// tell its version. They outlive a restart of all gateways.
pub const MEMBER_ORIGIN_HOLDERS: usize = 2;
/// Time for which a record is kept, and within which a stream can be resumed after its last record.
pub const ORIGIN_RETENTION: Duration = STREAM_RETENTION;
/// Interval at which the record of a stream under way is renewed.
pub const ORIGIN_RENEWAL: Duration = Duration::from_secs(20);
/// Maximum number of records at a gateway, 4.5 MB at most; the oldest are dropped.
const MAX_RECORDS: usize = 65_536;
/// Maximum number of records at a control member, 18 MB at most.
const MAX_MEMBER_RECORDS: usize = 262_144;

/// Identifies a stream: the hash of the tenant and of the client's request that brought its first
/// event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of a tenant's stream; the tenant's name is empty where there are no tenants.
    pub fn new(tenant: &str, request_id: &str) -> Self {
        StreamKey(Digest::of_parts(&[tenant.as_bytes(), request_id.as_bytes()]).prefix())
    }
}

/// The control members that are told of a stream, by rendezvous hashing.
pub fn member_holders(key: StreamKey, members: &[SocketAddr]) -> Vec<SocketAddr> {
    let weight = |member: &SocketAddr| {
        Digest::of_parts(&[&key.0.to_le_bytes(), member.to_string().as_bytes()]).prefix()
    };
    let mut members = members.to_vec();
    members.sort_by_cached_key(|member| Reverse(weight(member)));
    members.truncate(MEMBER_ORIGIN_HOLDERS);
    members
}

#[derive(Clone, Copy, Debug)]
struct Record {
    software: SoftwareId,
    recorded_at: Time,
}

/// Records of streams: at a gateway its own ones and those that others told it.
#[derive(Debug)]
pub struct StreamOrigins {
    max_records: usize,
    records: HashMap<StreamKey, Record>,
    /// Each record once more for each time that it was made, oldest first.
    by_age: VecDeque<(Time, StreamKey)>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self::with_limit(MAX_RECORDS)
    }
}

impl StreamOrigins {
    /// Records at a control member, which are those of many gateways.
    pub fn of_member() -> Self {
        Self::with_limit(MAX_MEMBER_RECORDS)
    }

    fn with_limit(max_records: usize) -> Self {
        StreamOrigins { max_records, records: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Records or renews the software version of a stream.
    pub fn record(&mut self, key: StreamKey, software: SoftwareId, now: Time) {
        self.remove_old(now);
        self.records.insert(key, Record { software, recorded_at: now });
        self.by_age.push_back((now, key));
    }

    /// Software version that began a stream, if it is known.
    pub fn software(&self, key: StreamKey, now: Time) -> Option<SoftwareId> {
        let record = self.records.get(&key)?;
        (now < record.recorded_at + ORIGIN_RETENTION).then_some(record.software)
    }

    /// Number of records.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    fn remove_old(&mut self, now: Time) {
        while let Some((at, key)) = self.by_age.front().copied() {
            if now < at + ORIGIN_RETENTION && self.by_age.len() < self.max_records {
                return;
            }
            self.by_age.pop_front();
            // A later entry stands for a renewed record.
            if self.records.get(&key).is_some_and(|record| record.recorded_at <= at) {
                self.records.remove(&key);
            }
        }
    }
}
