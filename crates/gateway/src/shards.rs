//! Shards of a large fleet: which part of a service's replicas a prompt belongs to, and which
//! gateways coordinate that part.
//!
//! With few gateways each one broadcasts its load updates to all others. With many, each shard of
//! replicas has coordinators, which all gateways derive alike from the list of gateways. A gateway
//! with a prompt asks a coordinator which replica to use and sends its load updates to the shard's
//! coordinators. The load of a shard is thus known in one place, and the cost for each gateway does
//! not grow with their number.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{ReplicaId, Time};

/// Maximum number of peers that load updates are broadcast to. With more gateways, coordinators
/// place prompts.
pub const MAX_BROADCAST_PEERS: usize = 15;
/// Approximate number of replicas per shard: few enough for one gateway to track, enough that a
/// busy one has an idle neighbor.
const REPLICAS_PER_SHARD: f64 = 16.0;
/// Number of coordinators of a shard. All receive the same updates, so that the second can take
/// over.
const COORDINATORS: usize = 2;
/// Time for which a coordinator that did not respond is skipped; a restarted one is back within it.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);
/// Time for which a gateway counts after it disappeared from the list, as the list of a new leader
/// is incomplete at first: it gets reports of all gateways within two of their watch requests, 0.8 s.
const UNLISTED_TIME: Duration = Duration::from_secs(2);
/// Number of requests without response after which a gateway considers itself cut off and stops
/// asking for a while, since a prompt would wait for each of them.
const MAX_TIMEOUTS: u32 = 4;

/// A shard of a service's replicas: one of `count`, which is a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// Index of the shard.
    pub index: u32,
    /// Number of shards of the service.
    pub count: u32,
}

impl Shard {
    /// Number of shards for a number of replicas.
    pub(crate) fn count_for(replicas: usize) -> u32 {
        let doublings = (replicas as f64 / REPLICAS_PER_SHARD).log2().round().max(0.0);
        1 << (doublings as u32)
    }

    /// The shard that a replica belongs to. When the count doubles, each shard splits into two.
    #[inline]
    pub(crate) fn of(replica: ReplicaId, count: u32) -> Self {
        let bits = count.max(1).ilog2();
        Shard { index: replica.0.checked_shr(u64::BITS - bits).unwrap_or(0) as u32, count }
    }

    /// Whether a replica belongs to the shard.
    pub(crate) fn contains(self, replica: ReplicaId) -> bool {
        Shard::of(replica, self.count) == self
    }

    /// Smallest hash of a replica that belongs to the shard.
    pub(crate) fn first_hash(self) -> ReplicaId {
        let bits = self.count.max(1).ilog2();
        ReplicaId(u64::from(self.index).checked_shl(u64::BITS - bits).unwrap_or(0))
    }

    /// Key for rendezvous hashing.
    fn key(self, service: &str) -> u64 {
        ReplicaId::from_name(&format!("{service}/{}/{}", self.index, self.count)).0
    }

    /// Key that selects the shard's store among all stores.
    pub(crate) fn store_key(self) -> u64 {
        self.key("store")
    }
}

/// A gateway of the list.
#[derive(Clone, Copy, Debug)]
struct ListedGateway {
    /// Address at which it receives datagrams.
    address: SocketAddr,
    /// Identifier for rendezvous hashing.
    id: ReplicaId,
    /// Until when it counts, if the newest list does not contain it.
    until: Time,
}

/// The list of gateways, as known to one of them.
#[derive(Clone, Debug, Default)]
pub struct GatewayList {
    own: Option<SocketAddr>,
    /// Sorted by address; includes this gateway.
    all: Vec<ListedGateway>,
    unresponsive_until: HashMap<SocketAddr, Time>,
    /// Number of requests without response since the last response.
    timeouts: u32,
    cut_off_until: Time,
}

impl GatewayList {
    /// Sets this gateway's own address for datagrams.
    pub fn set_own(&mut self, own: SocketAddr) {
        self.own = Some(own);
        self.set([], Time::ZERO);
    }

    /// Sets the datagram addresses of the other gateways. Gateways that are no longer listed still
    /// count for a while.
    pub fn set(&mut self, others: impl IntoIterator<Item = SocketAddr>, now: Time) {
        let listed_addresses: BTreeSet<SocketAddr> = others.into_iter().chain(self.own).collect();
        let (kept, gone): (Vec<ListedGateway>, Vec<ListedGateway>) =
            self.all.drain(..).partition(|gateway| listed_addresses.contains(&gateway.address));
        let known: BTreeSet<SocketAddr> = kept.iter().map(|gateway| gateway.address).collect();
        let new = listed_addresses.difference(&known).map(|address| ListedGateway {
            address: *address,
            id: ReplicaId::from_name(&address.to_string()),
            until: Time::NEVER,
        });
        let kept = kept.iter().map(|gateway| ListedGateway { until: Time::NEVER, ..*gateway });
        let gone = gone.iter().map(|gateway| ListedGateway {
            until: gateway.until.min(now + UNLISTED_TIME),
            ..*gateway
        });
        let mut all: Vec<ListedGateway> = kept.chain(new).chain(gone).collect();
        all.retain(|gateway| now < gateway.until);
        all.sort_by_key(|gateway| gateway.address);
        self.all = all;
    }

    fn listed(&self, now: Time) -> impl Iterator<Item = &ListedGateway> {
        self.all.iter().filter(move |gateway| now < gateway.until)
    }

    /// Listed gateways but those that did not respond lately.
    fn responsive(&self, now: Time) -> impl Iterator<Item = &ListedGateway> {
        self.listed(now).filter(move |gateway| {
            let until = self.unresponsive_until.get(&gateway.address);
            until.is_none_or(|until| now >= *until)
        })
    }

    /// Whether there are too many gateways to broadcast load updates, so that coordinators are
    /// used.
    pub fn uses_coordinators(&self, now: Time) -> bool {
        self.listed(now).count() > MAX_BROADCAST_PEERS + 1
    }

    /// All gateways but this one.
    pub fn others(&self, now: Time) -> Vec<SocketAddr> {
        let addresses = self.listed(now).map(|gateway| gateway.address);
        addresses.filter(|address| !self.is_own(*address)).collect()
    }

    /// Identifiers of this gateway and of all.
    pub fn ids(&self, now: Time) -> (Option<ReplicaId>, Vec<ReplicaId>) {
        let own = self.listed(now).find(|gateway| self.is_own(gateway.address));
        (own.map(|gateway| gateway.id), self.listed(now).map(|gateway| gateway.id).collect())
    }

    /// Whether there is any other gateway.
    pub fn has_others(&self, now: Time) -> bool {
        self.listed(now).any(|gateway| !self.is_own(gateway.address))
    }

    /// Rank of this gateway for a subject by rendezvous hashing; 0 is the first.
    pub fn rank(&self, subject: &str, now: Time) -> usize {
        let subject = ReplicaId::from_name(subject).0;
        let Some(own) = self.all.iter().find(|gateway| self.is_own(gateway.address)) else {
            return 0;
        };
        let own = rendezvous_weight(subject, own.id);
        self.listed(now).filter(|other| rendezvous_weight(subject, other.id) > own).count()
    }

    /// Coordinators of a service's shard, in the order in which to ask them. Those that did not
    /// respond lately are replaced by the next ones.
    pub fn coordinators(&self, service: &str, shard: Shard, now: Time) -> Vec<SocketAddr> {
        first_by_rendezvous(self.responsive(now), shard.key(service), COORDINATORS)
    }

    /// The first gateways for a key by rendezvous hashing, without this one.
    pub fn first_others(&self, key: u64, count: usize, now: Time) -> Vec<SocketAddr> {
        let others = self.listed(now).filter(|gateway| !self.is_own(gateway.address));
        first_by_rendezvous(others, key, count)
    }

    /// The first gateways for a key by rendezvous hashing.
    pub fn first(&self, key: u64, count: usize, now: Time) -> Vec<SocketAddr> {
        first_by_rendezvous(self.listed(now), key, count)
    }

    /// The first gateway for a key by rendezvous hashing, of those that are eligible.
    pub fn first_of(
        &self,
        key: u64,
        now: Time,
        is_eligible: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let eligible = self.listed(now).filter(|gateway| is_eligible(gateway.address));
        first_by_rendezvous(eligible, key, 1).first().copied()
    }

    /// Whether this gateway is a coordinator of a shard.
    pub fn is_coordinator(&self, service: &str, shard: Shard, now: Time) -> bool {
        let Some(own) = self.all.iter().find(|gateway| self.is_own(gateway.address)) else {
            return false;
        };
        let key = shard.key(service);
        let rank = |gateway: &ListedGateway| (rendezvous_weight(key, gateway.id), gateway.address);
        let own = rank(own);
        let before = self.responsive(now).filter(|gateway| rank(gateway) > own);
        // Ends at the second one, mostly after a few gateways.
        before.take(COORDINATORS).count() < COORDINATORS
    }

    /// This gateway's own address for datagrams, once it is set.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own
    }

    /// Whether an address is this gateway's.
    pub fn is_own(&self, address: SocketAddr) -> bool {
        self.own == Some(address)
    }

    /// Records that a coordinator did not respond.
    pub fn on_timeout(&mut self, address: SocketAddr, now: Time) {
        self.unresponsive_until.retain(|_, until| now < *until);
        self.unresponsive_until.insert(address, now + UNRESPONSIVE_TIME);
        self.timeouts += 1;
        if self.timeouts >= MAX_TIMEOUTS {
            self.cut_off_until = now + UNRESPONSIVE_TIME;
        }
    }

    /// Records that a coordinator responded.
    pub fn on_response(&mut self) {
        self.timeouts = 0;
        self.cut_off_until = Time::ZERO;
    }

    /// Whether this gateway seems to reach no coordinator.
    pub fn is_cut_off(&self, now: Time) -> bool {
        now < self.cut_off_until
    }
}

/// The `count` gateways with the greatest weights for a key, in descending order.
fn first_by_rendezvous<'a>(
    gateways: impl Iterator<Item = &'a ListedGateway>,
    key: u64,
    count: usize,
) -> Vec<SocketAddr> {
    let mut first: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
    for gateway in gateways {
        let rank = (rendezvous_weight(key, gateway.id), gateway.address);
        if first.len() == count && first.last().is_none_or(|last| rank < *last) {
            continue;
        }
        let position = first.partition_point(|other| *other > rank);
        first.insert(position, rank);
        first.truncate(count);
    }
    first.into_iter().map(|(_, address)| address).collect()
}
