//! Tunnels to replicas through other gateways, for a gateway that is cut off from them.
//!
//! The gateway that has the request keeps all decisions; the other one, the carrier, only passes
//! bytes between it and one replica. A carrier therefore never opens a tunnel of its own for one.

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_types::Time;

/// Time for which a gateway that refused a tunnel is not asked again.
const REFUSED_TIME: Duration = Duration::from_secs(1);
/// Time for which a gateway that did not respond once is not asked again; doubled with each further time
/// in a row. It may be the only one that reaches replicas, and have been slow for a moment.
const MIN_SILENT_TIME: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_SILENT_TIME: Duration = Duration::from_secs(2);
/// Number of gateways that carried tunnels which are preferred to gateways not asked yet. Several, to
/// spread the load.
const PREFERRED: usize = 4;
/// Maximum number of tunnels that a gateway carries, each of which takes two descriptors.
const MAX_CARRIED: usize = 512;

/// Why a gateway does not carry a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// It is stopping.
    Stopping,
    /// It is cut off from the replicas itself.
    Partitioned,
    /// It carries as many tunnels as it may.
    Full,
    /// It does not know this replica at this address.
    UnknownReplica,
}

impl TunnelRefusal {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            TunnelRefusal::Stopping => "stopping",
            TunnelRefusal::Partitioned => "partitioned",
            TunnelRefusal::Full => "full",
            TunnelRefusal::UnknownReplica => "unknown_replica",
        }
    }
}

/// State of a gateway that is asked to carry a tunnel.
#[derive(Clone, Copy, Debug)]
pub struct CarrierState {
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Whether its own links are partitioned.
    pub is_partitioned: bool,
    /// Whether it knows the replica at the requested address.
    pub knows_replica: bool,
    /// Number of tunnels that it carries.
    pub carried: usize,
}

impl CarrierState {
    /// Decides whether it carries another tunnel. Its own requests come first only by this limit: a
    /// tunnel costs far less than a request of its own.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&self) -> Result<(), TunnelRefusal> {
        match self {
            CarrierState { is_stopping: true, .. } => Err(TunnelRefusal::Stopping),
            CarrierState { is_partitioned: true, .. } => Err(TunnelRefusal::Partitioned),
            CarrierState { knows_replica: false, .. } => Err(TunnelRefusal::UnknownReplica),
            CarrierState { carried: MAX_CARRIED.., .. } => Err(TunnelRefusal::Full),
            _ => Ok(()),
        }
    }
}

/// Chooses the gateways that carry this one's tunnels.
#[derive(Clone, Debug, Default)]
pub struct Carriers {
    avoided_until: HashMap<SocketAddr, Time>,
    /// Number of times in a row that each gateway did not respond.
    silences: HashMap<SocketAddr, u32>,
    /// Gateways whose last tunnel was opened.
    working: Vec<SocketAddr>,
}

impl Carriers {
    /// Chooses one of the other gateways; `None` if all were asked lately and did not carry.
    pub fn choose(
        &mut self,
        others: &[SocketAddr],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.avoided_until.retain(|_, until| now < *until);
        self.working.retain(|address| others.contains(address));
        self.silences.retain(|address, _| others.contains(address));
        let is_usable = |address: &&SocketAddr| !self.avoided_until.contains_key(*address);
        let working = || self.working.iter().filter(is_usable);
        if working().count() >= PREFERRED {
            return working().choose(rng).copied();
        }
        others.iter().filter(is_usable).choose(rng).or_else(|| working().choose(rng)).copied()
    }

    /// Records that a gateway opened a tunnel, or tried to reach the replica.
    pub fn on_carried(&mut self, carrier: SocketAddr) {
        self.silences.remove(&carrier);
        if self.working.len() < PREFERRED && !self.working.contains(&carrier) {
            self.working.push(carrier);
        }
    }

    /// Records that a gateway refused a tunnel. One that does not know a replica may know others.
    pub fn on_refused(&mut self, carrier: SocketAddr, refusal: TunnelRefusal, now: Time) {
        self.silences.remove(&carrier);
        if refusal != TunnelRefusal::UnknownReplica {
            self.avoid(carrier, now + REFUSED_TIME);
        }
    }

    /// Records that a gateway did not respond. Requests that were asking it at the same time count as one.
    pub fn on_silent(&mut self, carrier: SocketAddr, now: Time) {
        if self.avoided_until.get(&carrier).is_some_and(|until| now < *until) {
            return;
        }
        let silences = self.silences.entry(carrier).or_default();
        let time = MIN_SILENT_TIME.saturating_mul(1 << (*silences).min(8)).min(MAX_SILENT_TIME);
        *silences += 1;
        self.avoid(carrier, now + time);
    }

    fn avoid(&mut self, carrier: SocketAddr, until: Time) {
        self.working.retain(|address| *address != carrier);
        self.avoided_until.insert(carrier, until);
    }
}
