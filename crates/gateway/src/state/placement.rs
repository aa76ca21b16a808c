//! Placement in a fleet with coordinators: which gateways are asked about a prompt, receive updates
//! and follow a store.

use super::GatewayState;
use crate::balancer::{Choice, ChoiceRequest, LoadUpdate, PromptEvent};
use crate::placement_request::{PlacementOffer, PlacementRequest};
use crate::shards::{GatewayList, Shard};
use crate::stores::MAX_STORE_READERS;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::GatewayListUpdate;
use topazmount_types::Time;

/// Time for which the selected stores are kept while the list of gateways stays. Each store's reader
/// asks several times a second.
const STORE_SELECTION_TIME: Duration = Duration::from_secs(1);

/// Stores that this gateway follows.
#[derive(Debug, Default)]
pub(super) struct FollowedStores {
    addresses: HashSet<String>,
    /// When they are selected anew.
    until: Time,
}

impl GatewayState {
    /// Chooses a replica of a shard that this gateway coordinates, or of the whole service.
    pub fn choose_in_shard(
        &mut self,
        request: &ChoiceRequest<'_>,
        shard: Option<Shard>,
        now: Time,
    ) -> Option<Choice> {
        let mut choice = self.balancer.choose_in_shard(request, shard, now, &mut self.policies)?;
        choice.save_to = self.balancer.select_store(&choice, request, shard, now);
        Some(choice)
    }

    /// Shards whose coordinators are asked for a placement, in order; empty if this gateway decides
    /// alone.
    pub fn shards_for(&mut self, request: &ChoiceRequest<'_>, now: Time) -> Vec<Shard> {
        let may_ask = request.engine.is_some() && !self.gateways.is_cut_off(now);
        if may_ask { self.balancer.shards_for(request) } else { Vec::new() }
    }

    /// The list of gateways, and which of them coordinate which shards.
    pub fn gateways(&mut self) -> &mut GatewayList {
        &mut self.gateways
    }

    /// Sets the address at which this gateway receives datagrams. All gateways use the same port.
    pub fn set_own_address(&mut self, own: SocketAddr) {
        self.datagram_port = own.port();
        self.gateways.set_own(own);
        self.quotas.set_own(own);
    }

    pub(super) fn set_gateways(&mut self, update: &GatewayListUpdate, now: Time) {
        if update.is_full {
            self.peer_addresses.clear();
            self.legacy_peers.clear();
        }
        for address in &update.removed {
            if let Some(peer) = self.peer_addresses.remove(address) {
                self.legacy_peers.remove(&peer);
            }
        }
        for report in &update.changed {
            if let Ok(address) = report.address.parse::<SocketAddr>() {
                let peer = SocketAddr::new(address.ip(), self.datagram_port);
                self.peer_addresses.insert(report.address.clone(), peer);
                match report.is_legacy {
                    true => self.legacy_peers.insert(peer),
                    false => self.legacy_peers.remove(&peer),
                };
                // A restarted gateway is listed as changed, too.
                if !self.gateways.is_own(peer) {
                    self.new_peers.push(peer);
                }
            }
        }
        self.gateways.set(self.peer_addresses.values().copied(), now);
        let (own, all) = self.gateways.ids(now);
        self.balancer.set_gateways(own, all);
        self.balancer.set_coordinated(self.gateways.uses_coordinators(now));
        self.followed_stores = FollowedStores::default();
    }

    /// Whether a gateway runs a legacy build, by its datagram address.
    pub fn is_legacy(&self, peer: SocketAddr) -> bool {
        self.legacy_peers.contains(&peer)
    }

    /// The placement request to the coordinator of a shard; `None` for a request without prompt.
    pub fn placement_request(
        &self,
        request: &ChoiceRequest<'_>,
        shard: Shard,
        now: Time,
    ) -> Option<PlacementRequest> {
        let unavailable = self.balancer.unavailable_replicas(request.service, shard, now);
        PlacementRequest::new(request, shard, &unavailable)
    }

    /// Chooses a replica for another gateway, in a shard that this one coordinates; `None` if none
    /// is available.
    pub fn place(&mut self, placement: &PlacementRequest, now: Time) -> Option<PlacementOffer> {
        let catalog = self.catalog.clone()?;
        let prompt = placement.prompt();
        let skipped = self.balancer.names_of(&placement.skipped);
        let request = ChoiceRequest {
            service: &placement.service,
            tenant: placement.tenant,
            prompt: Some(&prompt),
            model: placement.model.as_deref(),
            namespace: placement.namespace,
            isolated_tenant: placement.isolated_tenant.as_deref(),
            tried: &skipped,
            pinned_to: None,
            engine: catalog.service(&placement.service)?.engine.as_ref(),
            software: placement.software,
        };
        self.balancer.set_enforces_places(false);
        let choice = self.choose_in_shard(&request, Some(placement.shard), now);
        self.balancer.set_enforces_places(true);
        let choice = choice?;
        self.balancer.offer(&choice)
    }

    /// Turns a coordinator's offer into a choice, if this gateway may use that replica.
    pub fn accept_offer(
        &self,
        offer: &PlacementOffer,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<Choice> {
        self.balancer.accept_offer(offer, request, now)
    }

    /// Whether the prompt should be tried at a further shard.
    pub fn is_overloaded(&self, choice: &Choice, request: &ChoiceRequest<'_>) -> bool {
        self.balancer.is_overloaded(choice, request)
    }

    /// The load update about a prompt at its choice, with its recipients, if one is to be sent.
    pub fn load_update(
        &self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        event: PromptEvent,
        now: Time,
    ) -> Option<(Vec<SocketAddr>, LoadUpdate)> {
        let update = self.balancer.load_update(choice, request, event)?;
        Some((self.update_recipients(choice, now), update))
    }

    /// The load update after a prompt ended, with its recipients, if one is to be sent.
    pub fn end_update(
        &self,
        choice: &Choice,
        event: PromptEvent,
        now: Time,
    ) -> Option<(Vec<SocketAddr>, LoadUpdate)> {
        let update = self.balancer.end_update(choice, event)?;
        Some((self.update_recipients(choice, now), update))
    }

    /// Recipients of load updates about a choice: the coordinators of its shard, or all other
    /// gateways without coordinators.
    fn update_recipients(&self, choice: &Choice, now: Time) -> Vec<SocketAddr> {
        let Some(shard) = self.balancer.shard_of(choice) else { return self.gateways.others(now) };
        let mut recipients = self.gateways.coordinators(&choice.instance.service, shard, now);
        recipients.retain(|address| !self.gateways.is_own(*address));
        recipients
    }

    /// Whether this gateway should follow the events of a store, which accepts few connections: a
    /// limited number of gateways do, or the coordinators of the shards that save there.
    pub fn should_follow_store(&mut self, address: &str, now: Time) -> bool {
        if !self.gateways.uses_coordinators(now) {
            return self.gateways.rank(address, now) < MAX_STORE_READERS;
        }
        if now >= self.followed_stores.until {
            self.followed_stores = FollowedStores {
                addresses: self.stores_of_coordinated_shards(now),
                until: now + STORE_SELECTION_TIME,
            };
        }
        self.followed_stores.addresses.contains(address)
    }

    /// Stores that shards save to which this gateway coordinates.
    fn stores_of_coordinated_shards(&mut self, now: Time) -> HashSet<String> {
        let Some(catalog) = self.catalog.clone() else { return HashSet::new() };
        let mut addresses = HashSet::new();
        for service in catalog.services().iter().filter(|service| service.engine.is_some()) {
            let mut shards = self.balancer.shards_of(&service.name);
            shards.retain(|shard| self.gateways.is_coordinator(&service.name, *shard, now));
            let stores = self.balancer.stores();
            let selected = shards.into_iter().filter_map(|shard| stores.for_shard(shard));
            addresses.extend(selected.map(str::to_owned));
        }
        addresses
    }
}
