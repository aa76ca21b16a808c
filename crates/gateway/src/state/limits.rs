//! Limits of tenants and of replicas, and the grants against them.

use super::{Admission, GatewayState};
use crate::balancer::{Choice, incarnation_hash};
use crate::quota::{GrantResponse, Granter, LimitOwner, StripeId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_admission::RequestLimit;
use topazmount_control::FleetView;
use topazmount_types::{TenantId, Time};

/// A replica's request limit, as a gateway received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Hash of the name of the replica's incarnation.
    pub replica: u64,
    /// The limit; `None` if the replica has none any more.
    pub limit: Option<RequestLimit>,
    /// Time since the replica reported it.
    pub age: Duration,
}

impl GatewayState {
    /// Units that an admitted request takes of its tenant's limit, with the hash of the tenant's
    /// name; `None` if the tenant has no limit.
    pub fn limit_cost(&self, admission: &Admission, tokens: Option<u32>) -> Option<(u64, u32)> {
        let tenant = admission.tenant.as_ref()?;
        let amount = tenant.limit?.cost(tokens);
        Some((TenantId::from_name(&tenant.name).0, amount))
    }

    /// Confirms the list of gateways that grants are based on, after the view was applied. Only a
    /// leader that holds its lease can do so.
    pub fn confirm_grants(&mut self, view: &FleetView, asked_at: Time, now: Time) {
        if !view.is_leased() {
            return;
        }
        let update = view.gateways.as_ref();
        // Gateways of legacy builds grant nothing.
        let granters = self.peer_addresses.values().filter(|peer| !self.is_legacy(**peer));
        let list = update.map(|update| (update.count.0, granters.copied().collect()));
        self.quotas.confirm(asked_at, list, now);
    }

    /// Granter of a stripe; `None` if no responsive one is known.
    pub fn granter(&self, stripe: StripeId, now: Time) -> Option<Granter> {
        self.quotas.granter(LimitOwner::Tenant, stripe, now)
    }

    /// Grants units of a stripe, if this gateway is its granter.
    pub fn grant(&mut self, stripe: StripeId, amount: u32, now: Time) -> GrantResponse {
        let limit = self.catalog.as_ref().and_then(|all| all.tenant_limit(stripe.owner).copied());
        match limit {
            Some(limit) => self.quotas.grant(stripe, &limit, amount, now),
            None => GrantResponse::NotGranter,
        }
    }

    /// Returns units that were granted for a request that did not run.
    pub fn return_units(&mut self, stripe: StripeId, amount: u32, now: Time) {
        self.quotas.return_units(stripe, amount, now);
    }

    /// Records that a granter did not respond.
    pub fn on_granter_timeout(&mut self, address: SocketAddr, now: Time) {
        self.quotas.on_granter_timeout(LimitOwner::Tenant, address, now);
    }

    /// Takes units from this gateway's allowance without a grant. Returns whether it had enough.
    pub fn spend_without_grant(&mut self, tenant: u64, amount: u32, now: Time) -> bool {
        let limit = self.catalog.as_ref().and_then(|all| all.tenant_limit(tenant).copied());
        let gateways = self.sharing_gateways();
        limit.is_some_and(|limit| {
            self.quotas.spend_without_grant(tenant, &limit, amount, gateways, now)
        })
    }

    /// The known limit of a chosen replica, if it ever reported one.
    pub fn limit_update(&mut self, choice: &Choice, now: Time) -> Option<LimitUpdate> {
        let replica = incarnation_hash(&choice.instance);
        let known = self.balancer.limits().get(replica)?;
        Some(LimitUpdate { replica, limit: known.limit, age: now.since(known.reported_at) })
    }

    /// Recipients of a changed limit: its granter, which forwards it to all other gateways.
    pub fn limit_update_recipients(&mut self, replica: u64, now: Time) -> Vec<SocketAddr> {
        match self.send_granter(replica, now) {
            Some(Granter::Remote(granter)) => vec![granter],
            Some(Granter::Local) | None => self.gateways.others(now),
        }
    }

    /// Applies a limit update of another gateway. Returns the gateways to forward it to.
    pub fn apply_limit_update(&mut self, update: &LimitUpdate, now: Time) -> Vec<SocketAddr> {
        let change =
            self.balancer.limits().record_update(update.replica, update.limit, now - update.age);
        let is_granter = self.send_granter(update.replica, now) == Some(Granter::Local);
        match change {
            Some(_) if is_granter => self.gateways.others(now),
            _ => Vec::new(),
        }
    }

    /// Returns newly listed gateways, and the limits that this gateway grants, which they should
    /// receive. Each gateway is returned once.
    pub fn limit_updates_for_new_gateways(
        &mut self,
        now: Time,
    ) -> (Vec<SocketAddr>, Vec<LimitUpdate>) {
        let new_peers = std::mem::take(&mut self.new_peers);
        if new_peers.is_empty() {
            return Default::default();
        }
        let quotas = &self.quotas;
        let is_granter = |replica: u64| {
            let stripe = StripeId::of_replica(replica);
            quotas.granter(LimitOwner::Replica, stripe, now) == Some(Granter::Local)
        };
        let limits = self.balancer.limits().active().filter(|(replica, _)| is_granter(*replica));
        let updates = limits.map(|(replica, known)| LimitUpdate {
            replica,
            limit: known.limit,
            age: now.since(known.reported_at),
        });
        (new_peers, updates.collect())
    }

    /// Granter of requests to a replica with a limit; `None` if no responsive one is known.
    pub fn send_granter(&self, replica: u64, now: Time) -> Option<Granter> {
        self.quotas.granter(LimitOwner::Replica, StripeId::of_replica(replica), now)
    }

    /// Grants one request to a replica, if this gateway is the granter. If the replica is known to
    /// have no limit any more, the request is granted.
    pub fn grant_send(&mut self, request: &LimitUpdate, now: Time) -> GrantResponse {
        self.apply_limit_update(request, now);
        match self.balancer.limits().limit(request.replica) {
            Some(limit) => self.quotas.grant_send(request.replica, limit, now),
            None => GrantResponse::Granted,
        }
    }

    /// Records that the granter of a replica's limit did not respond.
    pub fn on_send_granter_timeout(&mut self, address: SocketAddr, now: Time) {
        self.quotas.on_granter_timeout(LimitOwner::Replica, address, now);
    }

    /// Records that a replica gets no requests for a while, as its limit is used up or has no
    /// granter.
    pub fn pause_replica(&mut self, replica: u64, wait: Duration, now: Time) {
        self.balancer.limits().set_exhausted_until(replica, now + wait);
    }
}
