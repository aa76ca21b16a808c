//! The software versions that streams began at, and the services where they can go on.

use super::GatewayState;
use crate::catalog::Route;
use crate::stream_origins::{ORIGIN_HOLDERS, ORIGIN_QUERIES, StreamKey, StreamOrigins};
use std::net::SocketAddr;
use topazmount_types::{SoftwareId, Time};

impl GatewayState {
    /// Records of streams.
    pub fn stream_origins(&mut self) -> &mut StreamOrigins {
        &mut self.stream_origins
    }

    /// Gateways that are told of a stream.
    pub fn origin_holders(&self, key: StreamKey, now: Time) -> Vec<SocketAddr> {
        self.gateways.first_others(key.0, ORIGIN_HOLDERS, now)
    }

    /// Gateways that may know a stream's origin.
    pub fn origin_candidates(&self, key: StreamKey, now: Time) -> Vec<SocketAddr> {
        self.gateways.first_others(key.0, ORIGIN_QUERIES, now)
    }

    /// The service of a route that has replicas of a software version, if any.
    pub fn service_with(&self, route: &Route, software: SoftwareId) -> Option<String> {
        let mut services = route.split.iter().filter(|part| part.weight > 0);
        let found = services.find(|part| self.balancer.has_software(&part.service, software));
        found.map(|part| part.service.clone())
    }

    /// The only software version that a stream of the route can have begun at, if there is one.
    /// Where the client names the stream, this gateway must have seen the replicas for as long as a
    /// stream can be resumed. A client that does not could never resume at a gateway that has just
    /// started, as no record can be found for it.
    pub fn only_software(&self, route: &Route, is_named: bool, now: Time) -> Option<SoftwareId> {
        let mut services =
            route.split.iter().filter(|part| part.weight > 0).map(|part| part.service.as_str());
        let service = services.next()?;
        if services.next().is_some() {
            return None;
        }
        let software = self.balancer.only_software(service)?;
        let history = &self.software_history;
        let is_only = !history.has_other(service, software, now);
        (is_only && (!is_named || history.is_complete(now))).then_some(software)
    }
}
