//! Decides which stripes this gateway may grant, so that no stripe has two granters at the same
//! time.
//!
//! All gateways rank each other alike for a stripe by rendezvous hashing, based on the list that
//! the leader of the control group keeps. The first gateway of the newest list may grant for
//! [`LEASE`], counted from when it requested the leader's newest response. A new first gateway may
//! grant only after it has requested a response, in which it still is the first, after the end of
//! the previous one's lease. That lease ends:
//! - after the rest of [`LEASE`], if the leader dropped the previous one from the list, as it had
//!   not received a report from it for [`GATEWAY_TIMEOUT`];
//! - after a whole [`LEASE`] otherwise, and if the leader is new and may not know the previous one
//!   yet.

use std::collections::{HashMap, HashSet};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_control::GATEWAY_TIMEOUT;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{ReplicaId, Time};

/// Time for which a gateway may grant after it requested a response of the leader. It outlasts the
/// election of a new leader.
pub(super) const LEASE: Duration = Duration::from_secs(3);
/// Remaining lease of a gateway when the leader drops it.
const REMAINING_LEASE: Duration =
    Duration::from_millis(LEASE.as_millis() as u64 - GATEWAY_TIMEOUT.as_millis() as u64);
/// Time for which a gateway that is no longer listed is remembered; unused buckets are full by
/// then.
const MAX_MEMORY: Duration = Duration::from_secs(60);

/// Whether a gateway is in the newest list.
#[derive(Clone, Copy, Debug)]
enum Presence {
    Listed,
    /// Dropped from the list by a leader that knew all granters.
    Dropped(Time),
    /// Not in the list of a new leader.
    Missing(Time),
}

impl Presence {
    fn unlisted_since(self) -> Option<Time> {
        match self {
            Presence::Listed => None,
            Presence::Dropped(at) | Presence::Missing(at) => Some(at),
        }
    }

    /// When its lease ends at the latest, unless it has contacted the leader again.
    fn lease_ends_at(self) -> Time {
        match self {
            Presence::Listed => Time::NEVER,
            Presence::Dropped(at) => at + REMAINING_LEASE,
            Presence::Missing(at) => at + LEASE,
        }
    }
}

/// The leader's lists as received by this gateway, without a gap longer than a lease.
#[derive(Clone, Debug, Default)]
pub(super) struct Authority {
    own: Option<ReplicaId>,
    gateways: HashMap<ReplicaId, Presence>,
    /// Term of the newest list, and when the first list of that term was received.
    term: Option<(Term, Time)>,
    /// When the newest response of a leader was requested.
    confirmed_at: Option<Time>,
    /// When the responses without a gap began.
    contact_since: Time,
}

impl Authority {
    pub(super) fn set_own(&mut self, own: ReplicaId) {
        self.own = Some(own);
    }

    /// Applies a response of a leader that holds its lease; `list` is set if the list changed.
    pub(super) fn confirm(
        &mut self,
        asked_at: Time,
        list: Option<(Term, Vec<ReplicaId>)>,
        now: Time,
    ) {
        if self.confirmed_at.is_none_or(|at| now >= at + LEASE) {
            self.contact_since = now;
        }
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        if let Some((term, ids)) = list {
            self.set_list(term, &ids.into_iter().collect(), now);
        }
    }

    fn set_list(&mut self, term: Term, listed: &HashSet<ReplicaId>, now: Time) {
        if self.term.is_none_or(|(known, _)| known != term) {
            self.term = Some((term, now));
        }
        let knows_all_gateways = self.term.is_some_and(|(_, since)| now >= since + LEASE);
        for (id, presence) in &mut self.gateways {
            if matches!(presence, Presence::Listed) && !listed.contains(id) {
                *presence = match knows_all_gateways {
                    true => Presence::Dropped(now),
                    false => Presence::Missing(now),
                };
            }
        }
        self.gateways.extend(listed.iter().map(|id| (*id, Presence::Listed)));
        self.gateways
            .retain(|_, presence| presence.unlisted_since().is_none_or(|at| now < at + MAX_MEMORY));
    }

    /// The granter of a stripe as far as known. A gateway that is no longer listed counts until
    /// another one may grant, as a new leader's first lists are incomplete.
    pub(super) fn granter(&self, stripe: u64, now: Time) -> Option<ReplicaId> {
        let may_grant = |presence: &Presence| {
            presence.unlisted_since().is_none_or(|at| now < at + REMAINING_LEASE)
        };
        let candidates =
            self.gateways.iter().filter(|(_, presence)| may_grant(presence)).map(|(id, _)| *id);
        candidates.max_by_key(|id| rendezvous_weight(stripe, *id))
    }

    /// Number of gateways that are listed or were lately.
    pub(super) fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// Returns since when this gateway has been the granter of a stripe without a break; `None` if
    /// it may not grant.
    pub(super) fn grant_authority(&self, stripe: u64, now: Time) -> Option<GrantAuthority> {
        let own = self.own?;
        let confirmed_at = self.confirmed_at.filter(|at| now < *at + LEASE)?;
        let weight = rendezvous_weight(stripe, own);
        let mut authority = GrantAuthority {
            granter_since: self.contact_since,
            exclusive_since: self.contact_since + LEASE,
        };
        for (id, presence) in &self.gateways {
            if rendezvous_weight(stripe, *id) <= weight {
                continue;
            }
            authority.granter_since = authority.granter_since.max(presence.unlisted_since()?);
            authority.exclusive_since = authority.exclusive_since.max(presence.lease_ends_at());
        }
        (confirmed_at >= authority.exclusive_since).then_some(authority)
    }
}

/// Authority of a gateway to grant a stripe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GrantAuthority {
    /// Since when it has been the granter without a break.
    pub granter_since: Time,
    /// Since when no other gateway could grant.
    pub exclusive_since: Time,
}
