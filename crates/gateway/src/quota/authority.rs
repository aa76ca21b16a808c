//! For which stripes of limits this gateway may grant, so that no other one does at the same time.
//!
//! All gateways rank each other alike for a stripe, by the list that the leader of the control group keeps. The first
//! one of the newest list that a gateway has may grant, for [`LEASE`] from when it asked for its newest answer of the
//! leader. Whoever becomes the first must have asked for an answer, in which it still is the first, after whoever was it
//! before could not grant any more without having asked the leader too, and so being in that list:
//!
//! - The first one was dropped from the list: the leader had not heard from it for [`GATEWAY_TIMEOUT`], and the rest of
//!   [`LEASE`] ends its lease.
//! - Else, and where the leader is new and may not have heard from the first one yet: a whole [`LEASE`].

use std::collections::{HashMap, HashSet};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_control::GATEWAY_TIMEOUT;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{ReplicaId, Time};

/// Time for which a gateway may grant after it asked for an answer that the leader then gave. The loss of a leader takes up to
/// 2.5 s (an election and the limits on calls that hang), in which grants must go on.
pub(super) const LEASE: Duration = Duration::from_secs(3);
/// What is left of the lease of a gateway when the leader drops it.
const REST_OF_LEASE: Duration =
    Duration::from_millis(LEASE.as_millis() as u64 - GATEWAY_TIMEOUT.as_millis() as u64);
/// Time for which a gateway is remembered that is no longer named: a bucket that rested for as long is full.
const MEMORY: Duration = Duration::from_secs(60);

/// A gateway of the newest list, or one that was lately.
#[derive(Clone, Copy, Debug)]
enum Presence {
    Named,
    /// A leader that had heard of all who may grant did not hear from it any more.
    Dropped(Time),
    /// A list did not name it whose leader was new.
    Missing(Time),
}

impl Presence {
    fn gone_since(self) -> Option<Time> {
        match self {
            Presence::Named => None,
            Presence::Dropped(at) | Presence::Missing(at) => Some(at),
        }
    }

    /// From when on it can't grant if it has not asked the leader again.
    fn ends_at(self) -> Time {
        match self {
            Presence::Named => Time::NEVER,
            Presence::Dropped(at) => at + REST_OF_LEASE,
            Presence::Missing(at) => at + LEASE,
        }
    }
}

/// What this gateway has heard of the leader's lists, without a break longer than a lease.
#[derive(Clone, Debug, Default)]
pub(super) struct Authority {
    own: Option<ReplicaId>,
    gateways: HashMap<ReplicaId, Presence>,
    /// Term of the newest list, and when the first one of that term came.
    term: Option<(Term, Time)>,
    /// When the newest answer of a leader was asked for.
    confirmed_at: Option<Time>,
    /// When the answers without a break began.
    began_at: Time,
}

impl Authority {
    pub(super) fn set_own(&mut self, own: ReplicaId) {
        self.own = Some(own);
    }

    /// Takes an answer of a leader that holds its lease; `list` is the list in it, if that changed.
    pub(super) fn confirm(
        &mut self,
        asked_at: Time,
        list: Option<(Term, Vec<ReplicaId>)>,
        now: Time,
    ) {
        if self.confirmed_at.is_none_or(|at| now >= at + LEASE) {
            self.began_at = now;
        }
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        if let Some((term, ids)) = list {
            self.set_list(term, &ids.into_iter().collect(), now);
        }
    }

    fn set_list(&mut self, term: Term, named: &HashSet<ReplicaId>, now: Time) {
        if self.term.is_none_or(|(known, _)| known != term) {
            self.term = Some((term, now));
        }
        let is_settled = self.term.is_some_and(|(_, since)| now >= since + LEASE);
        for (id, presence) in &mut self.gateways {
            if matches!(presence, Presence::Named) && !named.contains(id) {
                *presence = match is_settled {
                    true => Presence::Dropped(now),
                    false => Presence::Missing(now),
                };
            }
        }
        self.gateways.extend(named.iter().map(|id| (*id, Presence::Named)));
        self.gateways.retain(|_, one| one.gone_since().is_none_or(|at| now < at + MEMORY));
    }

    /// Who grants a stripe, as far as is known. Whoever is no longer named still counts until another one may grant: a
    /// new leader's first lists are short.
    pub(super) fn first(&self, stripe: u64, now: Time) -> Option<ReplicaId> {
        let may_grant = |one: &Presence| one.gone_since().is_none_or(|at| now < at + REST_OF_LEASE);
        let open = self.gateways.iter().filter(|(_, one)| may_grant(one)).map(|(id, _)| *id);
        open.max_by_key(|id| rendezvous_weight(stripe, *id))
    }

    /// Since when this gateway may have granted a stripe without a break; `None` where it may not.
    pub(super) fn holds(&self, stripe: u64, now: Time) -> Option<Held> {
        let own = self.own?;
        let confirmed_at = self.confirmed_at.filter(|at| now < *at + LEASE)?;
        let weight = rendezvous_weight(stripe, own);
        let mut held = Held { first_at: self.began_at, others_ended_at: self.began_at + LEASE };
        for (id, presence) in &self.gateways {
            if rendezvous_weight(stripe, *id) <= weight {
                continue;
            }
            held.first_at = held.first_at.max(presence.gone_since()?);
            held.others_ended_at = held.others_ended_at.max(presence.ends_at());
        }
        (confirmed_at >= held.others_ended_at).then_some(held)
    }
}

/// That a gateway may grant a stripe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Held {
    /// Since when it has been the first without a break.
    pub first_at: Time,
    /// From when on nobody else could grant.
    pub others_ended_at: Time,
}
