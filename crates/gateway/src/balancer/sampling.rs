//! Draws replicas at random, for probes of the links.

use super::Balancer;
use rand::seq::{IteratorRandom, SliceRandom};
use std::collections::BTreeSet;

impl Balancer {
    /// Addresses of up to `count` random replicas that are not leaving: one of each service first, as
    /// all replicas of one service may be down.
    pub fn sample_addresses(&mut self, count: usize) -> Vec<String> {
        let instances = || {
            self.replicas.values().map(|replica| &replica.instance).filter(|one| !one.is_draining)
        };
        let mut services: Vec<&str> = instances()
            .map(|instance| instance.service.as_str())
            .collect::<BTreeSet<&str>>()
            .into_iter()
            .collect();
        services.shuffle(&mut self.rng);
        let mut addresses = Vec::new();
        for service in services.into_iter().take(count) {
            let of_service = instances().filter(|instance| instance.service == service);
            addresses.extend(of_service.choose(&mut self.rng).map(|one| one.address.clone()));
        }
        let others = instances().filter(|one| !addresses.contains(&one.address));
        let missing = count.saturating_sub(addresses.len());
        let others = others.map(|one| one.address.clone()).choose_multiple(&mut self.rng, missing);
        addresses.extend(others);
        addresses
    }
}
