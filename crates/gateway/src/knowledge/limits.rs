//! Limits of tenants: who grants, and what is granted.

use super::{Admission, Knowledge};
use crate::quota::{GrantAnswer, Granting, StripeId};
use std::net::SocketAddr;
use topazmount_control::FleetView;
use topazmount_types::{TenantId, Time};

impl Knowledge {
    /// What an admitted request counts of its tenant's limit: the hash of the tenant's name, and the units; `None` where
    /// nothing limits it.
    pub fn counted(&self, admission: &Admission, tokens: Option<u32>) -> Option<(u64, u32)> {
        let tenant = admission.tenant.as_ref()?;
        let amount = tenant.limit?.amount(tokens);
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
    pub fn granting(&self, stripe: StripeId, now: Time) -> Option<Granting> {
        self.quotas.granting(stripe, now)
    }

    /// Grants of a stripe, if this gateway may.
    pub fn grant(&mut self, stripe: StripeId, amount: u32, now: Time) -> GrantAnswer {
        let limit = self.catalog.as_ref().and_then(|all| all.tenant_limit(stripe.tenant).copied());
        match limit {
            Some(limit) => self.quotas.grant(stripe, &limit, amount, now),
            None => GrantAnswer::NotHolder,
        }
    }

    /// Takes back what a request was granted that did not run.
    pub fn give_back(&mut self, stripe: StripeId, amount: u32, now: Time) {
        self.quotas.give_back(stripe, amount, now);
    }

    /// Notes that a granter did not answer.
    pub fn note_silent_granter(&mut self, address: SocketAddr, now: Time) {
        self.quotas.note_silent(address, now);
    }

    /// Takes from this gateway's part of what all may spend without a grant.
    pub fn spend_ungranted(&mut self, tenant: u64, amount: u32, now: Time) -> bool {
        let limit = self.catalog.as_ref().and_then(|all| all.tenant_limit(tenant).copied());
        let gateways = self.gateway_count;
        limit
            .is_some_and(|limit| self.quotas.spend_ungranted(tenant, &limit, amount, gateways, now))
    }
}
