//! Places of overload-prone replicas, divided among the gateways.
//!
//! An overload-prone replica fails if it has to reject more than a few requests in a second. Rejections
//! add up over all gateways, so each gateway may only have its share of a replica's slots in use.
//! The shares follow from the list of gateways alone: they need no messages, hold for a gateway
//! that has just started, and add up to the slots.

use super::{Balancer, ChoiceRequest, Replica};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{ReplicaId, Time};

/// Time for which an overload-prone replica that rejected a request gets none from this gateway.
const REJECTED_TIME: Duration = Duration::from_secs(1);

/// What a service's replicas last said of themselves, and in response to a request sent when.
#[derive(Clone, Copy, Debug)]
struct Word {
    is_overload_prone: bool,
    sent_at: Time,
}

/// Records of overload-prone services, and the list of gateways that share their replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct Places {
    services: HashMap<String, Word>,
    /// This gateway's requests in flight at each service.
    in_flight: HashMap<String, u32>,
    own: Option<ReplicaId>,
    gateways: Vec<ReplicaId>,
    /// Number of changes of the list of gateways.
    generation: u64,
}

/// A gateway's share of a replica's slots, by the list of gateways of this generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    generation: u64,
    slots: u32,
}

impl Places {
    fn is_overload_prone(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|word| word.is_overload_prone)
    }

    /// Slots of a replica that this gateway may use: all gateways have equal shares, and those ranked
    /// first for the replica have one more of what is left. Unlimited until the list of gateways is
    /// known.
    fn share(&self, replica: ReplicaId, slots: u32) -> u32 {
        let count = self.gateways.len() as u32;
        let Some(own) = self.own.filter(|_| count > 0) else { return u32::MAX };
        let left = slots % count;
        slots / count + u32::from(left > 0 && self.rank(own, replica) < left)
    }

    /// Counts a request as in flight at a service.
    pub(super) fn on_sent(&mut self, service: &str) {
        match self.in_flight.get_mut(service) {
            Some(count) => *count += 1,
            None => drop(self.in_flight.insert(service.to_owned(), 1)),
        }
    }

    /// Ends the count of a request.
    pub(super) fn on_ended(&mut self, service: &str) {
        if let Some(count) = self.in_flight.get_mut(service) {
            *count = count.saturating_sub(1);
        }
    }

    /// Number of gateways before this one in the order of a replica.
    fn rank(&self, own: ReplicaId, replica: ReplicaId) -> u32 {
        let own = (rendezvous_weight(replica.0, own), own);
        let weights = self.gateways.iter().map(|id| (rendezvous_weight(replica.0, *id), *id));
        weights.filter(|other| *other > own).count() as u32
    }
}

impl Balancer {
    /// Sets the identifiers of all gateways, and this one's.
    pub(crate) fn set_gateways(&mut self, own: Option<ReplicaId>, gateways: Vec<ReplicaId>) {
        let places = &mut self.places;
        if places.own != own || places.gateways != gateways {
            (places.own, places.gateways) = (own, gateways);
            places.generation += 1;
        }
    }

    /// Records whether a replica said in its response to a request sent at `sent_at` that it is
    /// overload-prone. Returns the state of the service if it changed.
    pub fn record_overload_risk(
        &mut self,
        service: &str,
        is_overload_prone: bool,
        sent_at: Time,
    ) -> Option<bool> {
        let known = self.places.services.get(service).copied();
        if known.is_some_and(|known| known.sent_at > sent_at) {
            return None;
        }
        self.places.services.insert(service.to_owned(), Word { is_overload_prone, sent_at });
        let was_overload_prone = known.is_some_and(|known| known.is_overload_prone);
        (was_overload_prone != is_overload_prone).then_some(is_overload_prone)
    }

    /// Records that the replica of a choice rejected a request for want of room.
    pub fn record_rejection(&mut self, choice: &super::Choice, now: Time) {
        let is_overload_prone = self.places.is_overload_prone(&choice.instance.service);
        if let Some(replica) = self.chosen_mut(choice).filter(|_| is_overload_prone) {
            replica.rejected_until = now + REJECTED_TIME;
        }
    }

    /// This gateway's share of a replica's slots.
    fn share(&self, replica: &Replica) -> u32 {
        let generation = self.places.generation;
        if let Some(share) = replica.share.get().filter(|share| share.generation == generation) {
            return share.slots;
        }
        let slots = self.places.share(replica.stable_id, replica.instance.slots);
        replica.share.set(Some(Share { generation, slots }));
        slots
    }

    /// Whether this gateway uses its share of a replica's slots, or was rejected there lately. With
    /// more gateways than slots some have no share; each may have one request at the service.
    pub(super) fn has_no_place(&self, replica: &Replica, now: Time) -> bool {
        let service = &replica.instance.service;
        if !self.places.is_overload_prone(service) {
            return false;
        }
        let is_first = self.places.in_flight.get(service).is_none_or(|count| *count == 0);
        now < replica.rejected_until || !is_first && replica.in_flight >= self.share(replica)
    }

    /// Whether the request can be sent as soon as one of this gateway's requests has ended.
    pub fn awaits_place(&self, request: &ChoiceRequest<'_>, now: Time) -> bool {
        let mut serving = self.serving(request.service);
        serving.any(|replica| {
            self.is_eligible(replica, request, now)
                && !self.has_pushed_back(replica, now)
                && replica.in_flight > 0
                && self.has_no_place(replica, now)
        })
    }
}
