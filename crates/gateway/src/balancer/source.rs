//! Selects the source from which a replica can fetch the parts of a prompt that it has not cached.

use super::replica::Replica;
use super::view::PromptView;
use super::{Balancer, ChoiceRequest};
use topazmount_types::Time;

/// Which parts a source has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SourceParts {
    /// Unknown: the source is a home of the prompt.
    Likely,
    /// Number of leading parts that the replica's cache record contains.
    Recorded(usize),
    /// Number of leading parts that the store reports, and its link in megabits per second.
    Reported(usize, f64),
}

/// A replica or store to fetch parts from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Source {
    pub(super) address: String,
    pub(super) parts: SourceParts,
}

impl Balancer {
    /// Returns the best source for a replica: the replica with the same weights that has cached
    /// most, or a store that has more, or as much where the replica's record is old; else the first
    /// home other than the replica itself.
    pub(super) fn source(
        &self,
        replica: &Replica,
        request: &ChoiceRequest<'_>,
        view: &PromptView,
        now: Time,
    ) -> Option<Source> {
        let version = replica.version(request.model)?;
        let can_transfer = |other: &&Replica| {
            other.slot != replica.slot
                && other.version(request.model) == Some(version)
                && other.can_transfer()
                && !other.is_suspect(now)
        };
        let own_parts = view.cached.get(&replica.slot).map_or(0, |cached| cached.parts);
        let peers = view.cached.iter().filter(|(_, cached)| cached.parts > own_parts);
        let best_peer = peers
            .filter_map(|(slot, cached)| {
                let peer = self.replicas.get(self.by_slot.get(slot)?)?;
                can_transfer(&peer).then_some((peer, *cached))
            })
            .max_by_key(|(peer, cached)| (cached.parts, std::cmp::Reverse(peer.slot)));
        let stored = view.stored.get(&version).filter(|stored| stored.parts >= own_parts);
        if let Some((peer, cached)) = best_peer {
            let is_better = |parts: usize| {
                parts > cached.parts
                    || (parts == cached.parts && cached.age > self.reliable_cache_age)
            };
            if !stored.is_some_and(|stored| is_better(stored.parts)) {
                let parts = SourceParts::Recorded(cached.parts);
                return Some(Source { address: peer.instance.address.clone(), parts });
            }
        }
        if let Some(stored) = stored {
            let parts = SourceParts::Reported(stored.parts, stored.link_mbps);
            return Some(Source { address: stored.address.clone(), parts });
        }
        let homes = view.homes.iter().filter_map(|id| self.replicas.get(id));
        let home = homes.into_iter().find(can_transfer)?;
        let address = home.instance.address.clone();
        Some(Source { address, parts: SourceParts::Likely })
    }
}
