//! Limits of tenants and of replicas over all gateways together.
//!
//! A tenant's limit is divided into [`STRIPES`]. Each stripe has one granter at a time, a gateway
//! that grants units from a token bucket; a gateway with a request asks the granter. The grants
//! together keep the limit, as a stripe never has two granters ([`authority`]), a new granter
//! starts with a bucket that was empty when the previous one had to stop, and a request is granted
//! after it arrives and before it is sent to a replica. A gateway that reaches no granter spends
//! its share of what may exceed the limit.
//!
//! The limit of a replica is a single stripe, and each request takes one unit. Requests are never
//! sent to such a replica without a grant, as other replicas may take them.

mod authority;
mod grants;
mod limit;

use authority::Authority;
use grants::{GrantBuckets, RetryOrder};
use limit::Allowance;
pub use limit::{LimitUnit, QuotaSettings, STRIPES, TenantLimit};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_admission::{RequestLimit, TokenBucket};
use topazmount_consensus::Term;
use topazmount_types::{ReplicaId, Time};

/// Time for which a granter that did not respond is not asked again.
const RETRY_GRANTER_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of remembered gateway addresses, unless more are listed.
const MAX_REMEMBERED_GATEWAYS: usize = 4_096;

/// Identifies a stripe of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StripeId {
    /// Hash of the name of the limit's owner: a tenant, or an incarnation of a replica.
    pub owner: u64,
    /// Index of the stripe.
    pub stripe: u8,
}

impl StripeId {
    /// The only stripe of a replica's limit.
    pub fn of_replica(incarnation: u64) -> Self {
        StripeId { owner: incarnation, stripe: 0 }
    }

    /// Key for rendezvous hashing.
    fn key(self) -> u64 {
        self.owner.rotate_left(u32::from(self.stripe) * 8 + 1) ^ u64::from(self.stripe)
    }
}

/// Response of a granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// The units are granted.
    Granted,
    /// The stripe is used up; it has enough units after this time if nobody else takes them.
    #[serde(rename = "Over")]
    LimitExceeded(Duration),
    /// The responding gateway is not the granter of the stripe.
    #[serde(rename = "NotHolder")]
    NotGranter,
}

/// Kind of a limit's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitOwner {
    /// A tenant.
    Tenant,
    /// A replica. Gateways of legacy builds don't respond to requests for these, though they do for
    /// tenants.
    Replica,
}

/// The gateway that grants a stripe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granter {
    /// This gateway.
    Local,
    /// Another gateway, by its datagram address.
    Remote(SocketAddr),
}

/// One gateway's state for limits: the granters, its own grants, and what it spends without a
/// grant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quotas {
    settings: QuotaSettings,
    authority: Authority,
    own: Option<ReplicaId>,
    addresses: HashMap<ReplicaId, SocketAddr>,
    grants: GrantBuckets,
    ungranted_buckets: HashMap<u64, TokenBucket>,
    unresponsive_until: HashMap<(LimitOwner, SocketAddr), Time>,
}

impl Quotas {
    pub(crate) fn set_settings(&mut self, settings: QuotaSettings) {
        if self.settings != settings {
            self.settings = settings;
            self.ungranted_buckets.clear();
        }
    }

    pub(crate) fn set_own(&mut self, own: SocketAddr) {
        let id = ReplicaId::from_name(&own.to_string());
        self.own = Some(id);
        self.authority.set_own(id);
    }

    /// Applies a response of a leader that holds its lease; `list` has its term and the addresses
    /// of all gateways, if they changed.
    pub(crate) fn confirm(
        &mut self,
        asked_at: Time,
        list: Option<(Term, Vec<SocketAddr>)>,
        now: Time,
    ) {
        let listed = list.map(|(term, addresses)| {
            let id = |address: &SocketAddr| ReplicaId::from_name(&address.to_string());
            let listed = addresses.iter().map(|address| (id(address), *address));
            self.addresses.extend(listed);
            if self.addresses.len() > MAX_REMEMBERED_GATEWAYS.max(addresses.len() * 2) {
                self.addresses = addresses.iter().map(|address| (id(address), *address)).collect();
            }
            (term, addresses.iter().map(id).collect())
        });
        self.authority.confirm(asked_at, listed, now);
    }

    /// Number of gateways that are listed or were lately.
    pub(crate) fn gateway_count(&self) -> usize {
        self.authority.gateway_count()
    }

    /// Granter of a stripe; `None` if no responsive one is known.
    pub(crate) fn granter(
        &self,
        owner: LimitOwner,
        stripe: StripeId,
        now: Time,
    ) -> Option<Granter> {
        let granter_id = self.authority.granter(stripe.key(), now)?;
        if self.own == Some(granter_id) {
            return Some(Granter::Local);
        }
        let address = self.addresses.get(&granter_id)?;
        let unresponsive_until = self.unresponsive_until.get(&(owner, *address));
        let is_unresponsive = unresponsive_until.is_some_and(|until| now < *until);
        (!is_unresponsive).then_some(Granter::Remote(*address))
    }

    pub(crate) fn on_granter_timeout(&mut self, owner: LimitOwner, address: SocketAddr, now: Time) {
        self.unresponsive_until.retain(|_, until| now < *until);
        self.unresponsive_until.insert((owner, address), now + RETRY_GRANTER_AFTER);
    }

    /// Grants units of a stripe, if this gateway is its granter.
    pub(crate) fn grant(
        &mut self,
        stripe: StripeId,
        limit: &TenantLimit,
        amount: u32,
        now: Time,
    ) -> GrantResponse {
        let Some(authority) = self.authority.grant_authority(stripe.key(), now) else {
            return GrantResponse::NotGranter;
        };
        let allowance = self.settings.stripe(limit, stripe.stripe);
        self.grants.grant(stripe, allowance, authority, amount, RetryOrder::Sequential, now)
    }

    /// Grants one request to a replica with a limit, if this gateway is the granter.
    pub(crate) fn grant_send(
        &mut self,
        incarnation: u64,
        limit: RequestLimit,
        now: Time,
    ) -> GrantResponse {
        let stripe = StripeId::of_replica(incarnation);
        let Some(authority) = self.authority.grant_authority(stripe.key(), now) else {
            return GrantResponse::NotGranter;
        };
        self.grants.grant(
            stripe,
            Allowance::of_replica(limit),
            authority,
            1,
            RetryOrder::Simultaneous,
            now,
        )
    }

    /// Returns units that were granted for a request that did not run.
    pub(crate) fn return_units(&mut self, stripe: StripeId, amount: u32, now: Time) {
        self.grants.return_units(stripe, amount, now);
    }

    /// Takes units from this gateway's allowance without a grant. Returns whether it had enough.
    pub(crate) fn spend_without_grant(
        &mut self,
        tenant: u64,
        limit: &TenantLimit,
        amount: u32,
        gateways: usize,
        now: Time,
    ) -> bool {
        let share = self.settings.ungranted(limit, gateways);
        let bucket = self
            .ungranted_buckets
            .entry(tenant)
            .or_insert_with(|| TokenBucket::new(share.rate, share.burst, now));
        bucket.set_rate(share.rate, share.burst, now);
        let amount = f64::from(amount);
        let is_enough = amount <= bucket.level(now);
        if is_enough {
            bucket.charge(amount, now);
        }
        is_enough
    }
}
