//! How much of a limit may be used, and how that is divided.

use std::time::Duration;
use topazmount_admission::RequestLimit;

/// Parts that a tenant's limit is divided into, each granted by a gateway of its own. Tenants use about half of their
/// limits: with three parts, two carry a tenant while the gateway of the third is being replaced.
pub const STRIPES: u8 = 3;
/// Part of what may be used beyond a limit that each stripe adds to its burst. The first takes most, so that one of them
/// can grant the largest request.
const EXCESS: [f64; STRIPES as usize] = [0.3, 0.08, 0.08];
/// Part of what may be used beyond a limit that all gateways together may spend without a grant: where 79 gateways have
/// started anew and nobody may grant yet, a short prompt or two of each tenant at each of them. The rest, a
/// tenth, is kept back for clocks that don't go alike.
const UNGRANTED: f64 = 0.45;
/// Part of a gateway's share of that which it may spend at once; the rest comes over the window.
const UNGRANTED_AT_ONCE: f64 = 0.75;

/// Least rate of requests to a replica that names a limit, in requests a second: a limit that is named no more must be noticed.
const PROBE_RATE: f64 = 0.1;
/// Time in which the burst of a replica's limit beyond one request comes together.
const REPLICA_BURST: Duration = Duration::from_millis(250);

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts one.
    Requests,
    /// A request counts its tokens, in and out; one that does not tell them counts `untold`.
    Tokens {
        /// Tokens of a request that does not tell them.
        unspecified: u32,
    },
}

/// A tenant's limit over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Units a second.
    pub rate: f64,
    /// Units beyond that, at once.
    pub burst: f64,
    /// What is counted.
    pub unit: LimitUnit,
}

impl TenantLimit {
    /// What a request counts that told so many tokens.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { unspecified: untold } => tokens.unwrap_or(untold),
        }
    }
}

/// How far all gateways together may exceed a limit: within any `window` what a tenant uses is at most
/// (rate x window + burst) x (1 + `overrun`) + `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share beyond the limit.
    pub overrun: f64,
    /// Units beyond that.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings { window: Duration::from_secs(8), overrun: 0.1, slack: 0.0 }
    }
}

impl QuotaSettings {
    fn excess(&self, limit: &TenantLimit) -> f64 {
        self.overrun * (limit.rate * self.window.as_secs_f64() + limit.burst) + self.slack
    }

    /// Rate and burst of one stripe.
    pub(super) fn stripe(&self, limit: &TenantLimit, stripe: u8) -> Allowance {
        let parts = f64::from(STRIPES);
        let excess = EXCESS.get(usize::from(stripe)).copied().unwrap_or(0.0);
        Allowance {
            rate: limit.rate / parts,
            burst: limit.burst / parts + excess * self.excess(limit),
        }
    }

    /// Rate and burst of what one of so many gateways may spend without a grant.
    pub(super) fn ungranted(&self, limit: &TenantLimit, gateways: usize) -> Allowance {
        let share = UNGRANTED * self.excess(limit) / gateways.max(1) as f64;
        let burst = share * UNGRANTED_AT_ONCE;
        // Any window then has the whole share at most.
        Allowance { rate: (share - burst) / self.window.as_secs_f64(), burst }
    }
}

/// What may be spent: a rate with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Allowance {
    pub rate: f64,
    pub burst: f64,
}

impl Allowance {
    /// What may be sent to a replica that names a limit.
    ///
    /// A request arrives within half a second of its grant. Of any 4 s, the requests of 4.5 s at the limit's rate and the
    /// burst arrive at most; replicas bear those of 6 s and five more.
    pub(super) fn of_replica(limit: RequestLimit) -> Self {
        let rate = limit.rate().max(PROBE_RATE);
        Allowance { rate, burst: 1.0 + rate * REPLICA_BURST.as_secs_f64() }
    }
}
