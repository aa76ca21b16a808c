//! Limits of tenants and of replicas: who grants, and what is granted.

use super::{Admission, GatewayState};
use crate::balancer::{Choice, key_of};
use crate::quota::{GrantResponse, Granter, LimitOwner, StripeId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_admission::RequestLimit;
use topazmount_control::FleetView;
use topazmount_types::{TenantId, Time};

/// What a gateway was told of a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Hash of the name of the replica's incarnation.
    pub replica: u64,
    /// Its limit; `None` where it names none any more.
    pub limit: Option<RequestLimit>,
    /// How long ago it said so.
    pub age: Duration,
}

impl GatewayState {
    /// What an admitted request counts of its tenant's limit: the hash of the tenant's name, and the units; `None` where
    /// nothing limits it.
    pub fn limit_cost(&self, admission: &Admission, tokens: Option<u32>) -> Option<(u64, u32)> {
        let tenant = admission.tenant.as_ref()?;
        let amount = tenant.limit?.cost(tokens);
        Some((TenantId::from_name(&tenant.name).0, amount))
    }

    /// Takes the leader's list of gateways, after the view was applied, as the one by which grants are given. Only a leader with a lease knows it.
    pub fn confirm_grants(&mut self, view: &FleetView, asked_at: Time, now: Time) {
        if !view.is_leased() {
            return;
        }
        let news = view.gateways.as_ref();
        let list = news.map(|news| (news.count.0, self.named.values().copied().collect()));
        self.quotas.confirm(asked_at, list, now);
    }

    /// Who grants of a stripe; `None` where nobody is known that answers.
    pub fn granter(&self, stripe: StripeId, now: Time) -> Option<Granter> {
        self.quotas.granting(LimitOwner::Tenant, stripe, now)
    }

    /// Grants of a stripe, if this gateway may.
    pub fn grant(&mut self, stripe: StripeId, amount: u32, now: Time) -> GrantResponse {
        let limit = self.catalog.as_ref().and_then(|all| all.tenant_limit(stripe.owner).copied());
        match limit {
            Some(limit) => self.quotas.grant(stripe, &limit, amount, now),
            None => GrantResponse::NotGranter,
        }
    }

    /// Takes back what a request was granted that did not run.
    pub fn return_units(&mut self, stripe: StripeId, amount: u32, now: Time) {
        self.quotas.give_back(stripe, amount, now);
    }

    /// Notes that a granter did not answer.
    pub fn on_granter_timeout(&mut self, address: SocketAddr, now: Time) {
        self.quotas.note_silent(LimitOwner::Tenant, address, now);
    }

    /// Takes from this gateway's part of what all may spend without a grant.
    pub fn spend_without_grant(&mut self, tenant: u64, amount: u32, now: Time) -> bool {
        let limit = self.catalog.as_ref().and_then(|all| all.tenant_limit(tenant).copied());
        let gateways = self.gateway_count;
        limit
            .is_some_and(|limit| self.quotas.spend_ungranted(tenant, &limit, amount, gateways, now))
    }

    /// What is known of the limit of a chosen replica, if it ever named one.
    pub fn limit_update(&mut self, choice: &Choice, now: Time) -> Option<LimitUpdate> {
        let replica = key_of(&choice.instance);
        let named = self.balancer.limits().named(replica)?;
        Some(LimitUpdate { replica, limit: named.limit, age: now.since(named.said_at) })
    }

    /// Who should hear of a changed limit: whoever grants of it, and from there all others, so that gateways which hear of it
    /// together don't each tell all others.
    pub fn limit_update_recipients(&mut self, replica: u64, now: Time) -> Vec<SocketAddr> {
        match self.send_granter(replica, now) {
            Some(Granter::Remote(granter)) => vec![granter],
            Some(Granter::Local) | None => self.gateways.others(now),
        }
    }

    /// Takes what another gateway was told of a replica's limit. Returns who should hear it from this one.
    pub fn apply_limit_update(&mut self, news: &LimitUpdate, now: Time) -> Vec<SocketAddr> {
        let change = self.balancer.limits().told(news.replica, news.limit, now - news.age);
        let is_granted_here = self.send_granter(news.replica, now) == Some(Granter::Local);
        match change {
            Some(_) if is_granted_here => self.gateways.others(now),
            _ => Vec::new(),
        }
    }

    /// What gateways that have just been named should hear of the limits that this one grants of, each time once.
    pub fn limit_updates_for_new_gateways(
        &mut self,
        now: Time,
    ) -> (Vec<SocketAddr>, Vec<LimitUpdate>) {
        let newcomers = std::mem::take(&mut self.newcomers);
        if newcomers.is_empty() {
            return Default::default();
        }
        let quotas = &self.quotas;
        let is_granted_here = |replica: u64| {
            let stripe = StripeId::of_replica(replica);
            quotas.granting(LimitOwner::Replica, stripe, now) == Some(Granter::Local)
        };
        let limits = self.balancer.limits().all().filter(|(replica, _)| is_granted_here(*replica));
        let news = limits.map(|(replica, named)| LimitUpdate {
            replica,
            limit: named.limit,
            age: now.since(named.said_at),
        });
        (newcomers, news.collect())
    }

    /// Who grants requests to a replica that names a limit; `None` where nobody is known that answers.
    pub fn send_granter(&self, replica: u64, now: Time) -> Option<Granter> {
        self.quotas.granting(LimitOwner::Replica, StripeId::of_replica(replica), now)
    }

    /// Grants one request to a replica, if this gateway may. Where it knows better than the gateway that asks, a replica
    /// that names no limit any more is granted freely.
    pub fn grant_send(&mut self, asked: &LimitUpdate, now: Time) -> GrantResponse {
        self.apply_limit_update(asked, now);
        match self.balancer.limits().limit(asked.replica) {
            Some(limit) => self.quotas.grant_send(asked.replica, limit, now),
            None => GrantResponse::Granted,
        }
    }

    /// Notes that a granter of a replica's limit did not answer.
    pub fn on_send_granter_timeout(&mut self, address: SocketAddr, now: Time) {
        self.quotas.note_silent(LimitOwner::Replica, address, now);
    }

    /// Notes that nothing may be sent to a replica for so long, since its limit is used up or nobody grants of it.
    pub fn pause_replica(&mut self, replica: u64, wait: Duration, now: Time) {
        self.balancer.limits().note_spent(replica, now + wait);
    }
}
