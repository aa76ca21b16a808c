//! Limits of tenants, and of replicas, over all gateways together.
//!
//! A tenant's limit is divided into [`STRIPES`]. One gateway at a time grants of a stripe, from a bucket; whoever has a
//! request asks it. The sum of all grants keeps the limit, since a stripe never has two granters ([`authority`]), a
//! new granter begins with the bucket empty at the time at which the one before it had to end, and a grant is given
//! between the sending of its request and the arrival at a replica. Who reaches no granter spends its part of what may
//! be used beyond the limit.
//!
//! The limit that a replica names is one stripe, of one request each. Nothing is sent to such a replica without a grant:
//! others may be sent the request.

mod authority;
mod granter;
mod limit;

use authority::Authority;
use granter::{GrantBuckets, RetryOrder};
use limit::Allowance;
pub use limit::{LimitUnit, QuotaSettings, STRIPES, TenantLimit};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_admission::{RequestLimit, TokenBucket};
use topazmount_consensus::Term;
use topazmount_types::{ReplicaId, Time};

/// Time for which a granter that did not answer is not asked.
const SILENCE: Duration = Duration::from_secs(1);

/// Gateways whose addresses are remembered beyond those that are named; 300 KB at most.
const MOST_REMEMBERED: usize = 4_096;

/// A stripe of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StripeId {
    /// Hash of the name of whose limit it is: a tenant, or an incarnation of a replica.
    pub owner: u64,
    /// Which of its stripes.
    pub stripe: u8,
}

impl StripeId {
    /// The only stripe of a replica's limit.
    pub fn of_replica(incarnation: u64) -> Self {
        StripeId { owner: incarnation, stripe: 0 }
    }

    /// What names it in rankings.
    fn key(self) -> u64 {
        self.owner.rotate_left(u32::from(self.stripe) * 8 + 1) ^ u64::from(self.stripe)
    }
}

/// What a granter says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// The request may run.
    Granted,
    /// The stripe is used up; it has enough again after this time, if nobody else takes it.
    #[serde(rename = "Over")]
    LimitExceeded(Duration),
    /// It may not grant of this stripe.
    #[serde(rename = "NotHolder")]
    NotGranter,
}

/// Whose limit a grant is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitOwner {
    /// A tenant's.
    Tenant,
    /// A replica's. Older gateways know nothing of these and give no answer, though they grant of tenants' limits.
    Replica,
}

/// Where a grant can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granter {
    /// From this gateway itself.
    Local,
    /// From another one.
    Remote(SocketAddr),
}

/// What one gateway knows of limits, grants of them, and spends without a grant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quotas {
    settings: QuotaSettings,
    authority: Authority,
    own: Option<ReplicaId>,
    addresses: HashMap<ReplicaId, SocketAddr>,
    granter: GrantBuckets,
    ungranted: HashMap<u64, TokenBucket>,
    silent_until: HashMap<(LimitOwner, SocketAddr), Time>,
}

impl Quotas {
    pub(crate) fn set(&mut self, settings: QuotaSettings) {
        if self.settings != settings {
            self.settings = settings;
            self.ungranted.clear();
        }
    }

    pub(crate) fn set_own(&mut self, own: SocketAddr) {
        let id = ReplicaId::from_name(&own.to_string());
        self.own = Some(id);
        self.authority.set_own(id);
    }

    /// Takes an answer of a leader that holds its lease; `list` has its term and the addresses of all gateways, if they
    /// changed.
    pub(crate) fn confirm(
        &mut self,
        asked_at: Time,
        list: Option<(Term, Vec<SocketAddr>)>,
        now: Time,
    ) {
        let named = list.map(|(term, addresses)| {
            let id = |address: &SocketAddr| ReplicaId::from_name(&address.to_string());
            let named = addresses.iter().map(|address| (id(address), *address));
            self.addresses.extend(named);
            if self.addresses.len() > MOST_REMEMBERED.max(addresses.len() * 2) {
                self.addresses = addresses.iter().map(|address| (id(address), *address)).collect();
            }
            (term, addresses.iter().map(id).collect())
        });
        self.authority.confirm(asked_at, named, now);
    }

    /// Who grants of a stripe; `None` where nobody is known that answers.
    pub(crate) fn granting(
        &self,
        owner: LimitOwner,
        stripe: StripeId,
        now: Time,
    ) -> Option<Granter> {
        let first = self.authority.first(stripe.key(), now)?;
        if self.own == Some(first) {
            return Some(Granter::Local);
        }
        let address = self.addresses.get(&first)?;
        let silent_until = self.silent_until.get(&(owner, *address));
        let is_silent = silent_until.is_some_and(|until| now < *until);
        (!is_silent).then_some(Granter::Remote(*address))
    }

    pub(crate) fn note_silent(&mut self, owner: LimitOwner, address: SocketAddr, now: Time) {
        self.silent_until.retain(|_, until| now < *until);
        self.silent_until.insert((owner, address), now + SILENCE);
    }

    /// Grants of a stripe, if this gateway may.
    pub(crate) fn grant(
        &mut self,
        stripe: StripeId,
        limit: &TenantLimit,
        amount: u32,
        now: Time,
    ) -> GrantResponse {
        let Some(held) = self.authority.holds(stripe.key(), now) else {
            return GrantResponse::NotGranter;
        };
        let allowance = self.settings.stripe(limit, stripe.stripe);
        self.granter.grant(stripe, allowance, held, amount, RetryOrder::Sequential, now)
    }

    /// Grants one request to a replica that names a limit, if this gateway may.
    pub(crate) fn grant_send(
        &mut self,
        incarnation: u64,
        limit: RequestLimit,
        now: Time,
    ) -> GrantResponse {
        let stripe = StripeId::of_replica(incarnation);
        let Some(held) = self.authority.holds(stripe.key(), now) else {
            return GrantResponse::NotGranter;
        };
        self.granter.grant(
            stripe,
            Allowance::of_replica(limit),
            held,
            1,
            RetryOrder::Simultaneous,
            now,
        )
    }

    /// Takes back what a request was granted that did not run.
    pub(crate) fn give_back(&mut self, stripe: StripeId, amount: u32, now: Time) {
        self.granter.give_back(stripe, amount, now);
    }

    /// Takes from this gateway's part of what all may spend without a grant.
    pub(crate) fn spend_ungranted(
        &mut self,
        tenant: u64,
        limit: &TenantLimit,
        amount: u32,
        gateways: usize,
        now: Time,
    ) -> bool {
        let share = self.settings.ungranted(limit, gateways);
        let bucket = self
            .ungranted
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
