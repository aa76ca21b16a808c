//! Where gateways are many: who is asked about a prompt, who is told of it, and who follows which store.

use super::GatewayState;
use crate::balancer::{Choice, ChoiceRequest, LoadUpdate, PromptEvent};
use crate::question::{PlacementOffer, PlacementRequest};
use crate::shards::{GatewayList, Shard};
use crate::stores::MAX_STORE_READERS;
use std::net::SocketAddr;
use topazmount_control::GatewayListUpdate;
use topazmount_types::Time;

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

    /// Shards whose coordinators are asked where a prompt should go, in order; none where this gateway
    /// decides by itself.
    pub fn shards_for(&mut self, request: &ChoiceRequest<'_>, now: Time) -> Vec<Shard> {
        let may_ask = request.engine.is_some() && !self.gateways.is_cut_off(now);
        if may_ask { self.balancer.shards_for(request) } else { Vec::new() }
    }

    /// The gateways, and who of them coordinates what.
    pub fn gateways(&mut self) -> &mut GatewayList {
        &mut self.gateways
    }

    /// Sets the address at which this gateway takes datagrams of others. All use the same port.
    pub fn set_own_address(&mut self, own: SocketAddr) {
        self.own_port = own.port();
        self.gateways.set_own(own);
        self.quotas.set_own(own);
    }

    pub(super) fn set_gateways(&mut self, news: &GatewayListUpdate, now: Time) {
        if news.is_full {
            self.named.clear();
        }
        for address in &news.removed {
            self.named.remove(address);
        }
        for report in &news.changed {
            if let Ok(address) = report.address.parse::<SocketAddr>() {
                let peer = SocketAddr::new(address.ip(), self.own_port);
                self.named.insert(report.address.clone(), peer);
                // One that has started again changes whether it is ready.
                if !self.gateways.is_own(peer) {
                    self.newcomers.push(peer);
                }
            }
        }
        self.gateways.set(self.named.values().copied(), now);
        self.balancer.set_coordinated(self.gateways.uses_coordinators(now));
    }

    /// The question for a request to the coordinator of a shard; `None` where it has no prompt.
    pub fn placement_request(
        &self,
        request: &ChoiceRequest<'_>,
        shard: Shard,
        now: Time,
    ) -> Option<PlacementRequest> {
        let unwilling = self.balancer.unwilling(request.service, shard, now);
        PlacementRequest::new(request, shard, &unwilling)
    }

    /// Answers another gateway's question about a shard that this one coordinates; `None` where it
    /// knows no replica that may be asked.
    pub fn place(&mut self, question: &PlacementRequest, now: Time) -> Option<PlacementOffer> {
        let catalog = self.catalog.clone()?;
        let prompt = question.prompt();
        let exclude = self.balancer.names_of(&question.skipped);
        let request = ChoiceRequest {
            service: &question.service,
            tenant: question.tenant,
            prompt: Some(&prompt),
            model: question.model.as_deref(),
            namespace: question.namespace,
            isolated_tenant: question.isolated_tenant.as_deref(),
            tried: &exclude,
            pinned_to: None,
            engine: catalog.service(&question.service)?.engine.as_ref(),
        };
        let choice = self.choose_in_shard(&request, Some(question.shard), now)?;
        self.balancer.offer(&choice)
    }

    /// The choice that a coordinator's offer makes, if this gateway may follow it.
    pub fn accept_offer(
        &self,
        offer: &PlacementOffer,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<Choice> {
        self.balancer.accept_offer(offer, request, now)
    }

    /// Whether a prompt is better asked for at a further shard.
    pub fn is_overloaded(&self, choice: &Choice, request: &ChoiceRequest<'_>) -> bool {
        self.balancer.is_overloaded(choice, request)
    }

    /// What others should know of a prompt at its choice, and who, if there is anything to tell.
    pub fn load_update(
        &self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        event: PromptEvent,
        now: Time,
    ) -> Option<(Vec<SocketAddr>, LoadUpdate)> {
        let news = self.balancer.load_update(choice, request, event)?;
        Some((self.told_of(choice, now), news))
    }

    /// The same after the prompt ended.
    pub fn end_update(
        &self,
        choice: &Choice,
        event: PromptEvent,
        now: Time,
    ) -> Option<(Vec<SocketAddr>, LoadUpdate)> {
        let news = self.balancer.end_update(choice, event)?;
        Some((self.told_of(choice, now), news))
    }

    /// Who should be told of a prompt at its choice: the coordinators of that replica's shard, or all
    /// other gateways where they are few.
    fn told_of(&self, choice: &Choice, now: Time) -> Vec<SocketAddr> {
        let Some(shard) = self.balancer.shard_of(choice) else { return self.gateways.others(now) };
        let mut told = self.gateways.coordinators(&choice.instance.service, shard, now);
        told.retain(|address| !self.gateways.is_own(*address));
        told
    }

    /// Whether this gateway should follow the events of a store, which holds few calls at a time: some
    /// of all gateways do, or the coordinators of the shards whose prompts it keeps.
    pub fn should_follow_store(&mut self, address: &str, now: Time) -> bool {
        if !self.gateways.uses_coordinators(now) {
            return self.gateways.rank(address, now) < MAX_STORE_READERS;
        }
        let Some(catalog) = self.catalog.clone() else { return false };
        let mut services = catalog.services().iter().filter(|service| service.engine.is_some());
        services.any(|service| {
            let shards = self.balancer.shards_of(&service.name);
            shards.into_iter().any(|shard| {
                self.balancer.stores().for_shard(shard) == Some(address)
                    && self.gateways.is_coordinator(&service.name, shard, now)
            })
        })
    }
}
