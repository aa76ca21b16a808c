//! Limits, and how they are divided into stripes and allowances.

use std::time::Duration;
use topazmount_admission::RequestLimit;

/// Number of parts that a tenant's limit is divided into, each with its own granter. With three,
/// the others can serve a tenant while one granter is replaced.
pub const STRIPES: u8 = 3;
/// Share of the permitted excess that each stripe adds to its burst. The first has the largest, so
/// that one stripe can grant the largest request.
const STRIPE_EXCESS_SHARES: [f64; STRIPES as usize] = [0.3, 0.08, 0.08];
/// Share of the permitted excess that all gateways together may spend without a grant. The shares
/// add up to less than 1, as a reserve for differences between clocks.
const UNGRANTED_SHARE: f64 = 0.45;
/// Share of a gateway's ungranted allowance that it may spend as a burst; the rest accrues over the
/// window.
const UNGRANTED_BURST_SHARE: f64 = 0.75;

/// Minimum rate of requests to a replica with a limit, in requests per second, so that the end of a
/// limit is noticed.
const MIN_REPLICA_RATE: f64 = 0.1;
/// Time at a replica's limit whose requests may be sent as a burst, in addition to one request.
const REPLICA_BURST_TIME: Duration = Duration::from_millis(250);

/// Unit of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts its input and output tokens, or `unspecified` if it does not state them.
    Tokens {
        /// Tokens of a request that does not state them.
        unspecified: u32,
    },
}

/// A tenant's limit over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Units per second.
    pub rate: f64,
    /// Additional units that may be used as a burst.
    pub burst: f64,
    /// Unit that is counted.
    pub unit: LimitUnit,
}

impl TenantLimit {
    /// Units of a request that states this number of tokens.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { unspecified } => tokens.unwrap_or(unspecified),
        }
    }
}

/// How far all gateways together may exceed a limit: within any `window` a tenant uses at most
/// (rate x window + burst) x (1 + `overrun`) + `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Permitted excess as a share of the limit.
    pub overrun: f64,
    /// Permitted excess in units.
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
        let excess = STRIPE_EXCESS_SHARES.get(usize::from(stripe)).copied().unwrap_or(0.0);
        Allowance {
            rate: limit.rate / parts,
            burst: limit.burst / parts + excess * self.excess(limit),
        }
    }

    /// Rate and burst of what each of `gateways` gateways may spend without a grant.
    pub(super) fn ungranted(&self, limit: &TenantLimit, gateways: usize) -> Allowance {
        let share = UNGRANTED_SHARE * self.excess(limit) / gateways.max(1) as f64;
        let burst = share * UNGRANTED_BURST_SHARE;
        // In any window, burst and rate together give at most the share.
        Allowance { rate: (share - burst) / self.window.as_secs_f64(), burst }
    }
}

/// A rate with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Allowance {
    pub rate: f64,
    pub burst: f64,
}

impl Allowance {
    /// Allowance for requests to a replica with a limit.
    ///
    /// A request arrives within 0.5 s of its grant, so the requests that arrive within 4 s are
    /// those of at most 4.5 s at the limit's rate, and the burst. Replicas accept those of 6 s and
    /// five more.
    pub(super) fn of_replica(limit: RequestLimit) -> Self {
        let rate = limit.rate().max(MIN_REPLICA_RATE);
        Allowance { rate, burst: 1.0 + rate * REPLICA_BURST_TIME.as_secs_f64() }
    }
}
