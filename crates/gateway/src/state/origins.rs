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
        let found = route.services().find(|service| self.balancer.has_software(service, software));
        found.map(str::to_owned)
    }

    /// Whether a stream of a route that began at a software version has to be recorded at control
    /// members, too: they could not tell its version from the history of the registry, or this gateway
    /// has not seen the registry for long enough to know.
    pub fn needs_member_record(&mut self, route: &Route, software: SoftwareId, now: Time) -> bool {
        // Several services have several versions.
        let Some(service) = route.only_service() else { return true };
        let is_only = self.registered_software(service) == Some(software);
        let history = &self.software_history;
        !is_only || !history.is_complete(now) || history.has_other(service, software, now)
    }

    /// The software version of all listed replicas of a service; `None` if they have several or there
    /// are none. Kept for each revision of the list, since each stream asks for it.
    fn registered_software(&mut self, service: &str) -> Option<SoftwareId> {
        let revision = self.seen.revision;
        if let Some((_, known)) = self.only_software.get(service).filter(|(at, _)| *at == revision)
        {
            return *known;
        }
        let only = self.balancer.only_software(service);
        self.only_software.insert(service.to_owned(), (revision, only));
        only
    }
}
