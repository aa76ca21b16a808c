//! Tenants' token rates on one node.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_admission::TokenBucket;
use topazmount_settings::{Declarations, Tenant};
use topazmount_types::{TenantId, Time};

/// Buckets of tenants that sent something lately; the others need no memory here.
#[derive(Debug, Default)]
pub(crate) struct TenantLimits {
    declared: HashMap<TenantId, Limit>,
    buckets: HashMap<TenantId, TokenBucket>,
    share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    rate: f64,
    burst: f64,
}

impl TenantLimits {
    /// Takes declared rates into use; this node may spend `share` of each.
    pub(crate) fn configure(&mut self, declarations: &Declarations, share: f64, now: Time) {
        self.share = share;
        let limit = |tenant: &Tenant| Limit {
            rate: tenant.rate_tokens_per_second as f64,
            burst: tenant.burst_tokens as f64,
        };
        self.declared =
            declarations.tenants.iter().map(|tenant| (tenant.id, limit(tenant))).collect();
        let declared = &self.declared;
        self.buckets.retain(|tenant, bucket| {
            let Some(limit) = declared.get(tenant) else {
                return false;
            };
            bucket.set_rate(limit.rate * share, limit.burst * share, now);
            true
        });
    }

    /// Takes tokens for a request.
    ///
    /// # Errors
    /// How long until they would be taken.
    pub(crate) fn take(
        &mut self,
        tenant: TenantId,
        tokens: f64,
        now: Time,
    ) -> Result<(), Duration> {
        self.bucket(tenant, now).take(tokens, now)
    }

    /// Gives back what a request did not use.
    pub(crate) fn give_back(&mut self, tenant: TenantId, tokens: f64, now: Time) {
        self.bucket(tenant, now).charge(-tokens, now);
    }

    fn bucket(&mut self, tenant: TenantId, now: Time) -> &mut TokenBucket {
        let limit = self.declared.get(&tenant).copied().unwrap_or(Limit { rate: 1.0, burst: 1.0 });
        let share = self.share;
        self.buckets
            .entry(tenant)
            .or_insert_with(|| TokenBucket::new(limit.rate * share, limit.burst * share, now))
    }
}
