//! Who could give a replica the parts of a prompt that it lacks.

use super::replica::Replica;
use super::view::PromptView;
use super::{Balancer, ChoiceRequest};
use topazmount_types::Time;

/// How sure it is that a source has the parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Certainty {
    /// A home that may have them.
    Guessed,
    /// A replica that was seen to read so many of the leading parts.
    Seen(usize),
    /// A store that tells that it holds so many of the leading parts, over a link of so many
    /// megabits a second.
    Told(usize, f64),
}

/// A replica or store to take parts from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Source {
    pub(super) address: String,
    pub(super) certainty: Certainty,
}

impl Balancer {
    /// The best source for a replica: the deepest holder with the same weights, a store where it is
    /// as deep and the holder is less sure, else the first home beside the replica itself.
    pub(super) fn source(
        &self,
        replica: &Replica,
        request: &ChoiceRequest<'_>,
        view: &PromptView,
        now: Time,
    ) -> Option<Source> {
        let version = replica.version(request.model)?;
        let may_give = |other: &&Replica| {
            other.slot != replica.slot
                && other.version(request.model) == Some(version)
                && other.may_give()
                && !other.is_suspect(now)
        };
        let own = view.kept.get(&replica.slot).map_or(0, |kept| kept.parts);
        let holders = view.kept.iter().filter(|(_, kept)| kept.parts > own);
        let seen = holders
            .filter_map(|(slot, kept)| {
                let holder = self.replicas.get(self.by_slot.get(slot)?)?;
                may_give(&holder).then_some((holder, *kept))
            })
            .max_by_key(|(holder, kept)| (kept.parts, std::cmp::Reverse(holder.slot)));
        let stored = view.stored.get(&version).filter(|stored| stored.parts >= own);
        if let Some((holder, kept)) = seen {
            let is_better = |parts: usize| {
                parts > kept.parts || (parts == kept.parts && kept.age > self.surely_kept)
            };
            if !stored.is_some_and(|stored| is_better(stored.parts)) {
                let certainty = Certainty::Seen(kept.parts);
                return Some(Source { address: holder.instance.address.clone(), certainty });
            }
        }
        if let Some(stored) = stored {
            let certainty = Certainty::Told(stored.parts, stored.link_mbps);
            return Some(Source { address: stored.address.clone(), certainty });
        }
        let homes = view.homes.iter().filter_map(|id| self.replicas.get(id));
        let home = homes.into_iter().find(may_give)?;
        let address = home.instance.address.clone();
        Some(Source { address, certainty: Certainty::Guessed })
    }
}
