//! Which gateway lets a blocked request run as a trial, and at which replicas.

use super::GatewayState;
use crate::quota::Granter;
use topazmount_types::{RequestDigest, Time};

impl GatewayState {
    /// The gateway that grants trials of a request; `None` if none is known that responds.
    pub fn trial_coordinator(&self, request: RequestDigest, now: Time) -> Option<Granter> {
        let is_silent = |address| self.crashes.is_coordinator_silent(address, now);
        let address = self.gateways.first_of(request.0, now, |address| !is_silent(address))?;
        Some(match self.gateways.is_own(address) {
            true => Granter::Local,
            false => Granter::Remote(address),
        })
    }

    /// Incarnations where a trial would prove little, as replicas have ended at their addresses
    /// lately.
    pub fn unfit_for_trials(&self, service: &str, now: Time) -> Vec<String> {
        let replicas = self.balancer.instances().filter(|replica| replica.service == service);
        let unfit = replicas.filter(|replica| self.crashes.has_ended_at(&replica.address, now));
        unfit.map(|replica| replica.incarnation_name()).collect()
    }
}
