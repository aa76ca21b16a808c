//! Which incarnations of replicas are known, and what control and refusals say of their weights.
//!
//! What is believed of a replica ends with its incarnation: the next one under the same identifier holds and knows
//! nothing of before. The control group's list says which one is there, whichever started later by the replica's clock.

use super::Balancer;
use super::choice::{Choice, ChoiceRequest};
use super::replica::Replica;
use std::collections::HashSet;
use std::time::Duration;
use topazmount_control::{InstanceStatus, LoadedModel, RolloutSettings};
use topazmount_types::{Instance, InstanceId, ReplicaId, Start, Time};

/// Time for which a replica that went back to older weights gets no request for a model, unless its status comes before:
/// the leader learns of it with its next heartbeat, 1.2 s later at most, and tells within the 400 ms of a held question.
pub const DOWNGRADE_PAUSE: Duration = Duration::from_millis(1_600);

/// What was taken back of the beliefs on a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Another incarnation is there.
    Replaced {
        /// The one that ended.
        previous: Instance,
        /// When the new one started.
        start: Start,
    },
    /// It holds older weights than was believed.
    Downgraded {
        /// Replica.
        id: InstanceId,
        /// Its incarnation.
        start: Start,
        /// Model.
        model: String,
        /// Version that was believed.
        recorded: u32,
        /// Version that it holds, where that is known.
        reported: Option<u32>,
    },
}

/// What was taken back by one piece of news.
pub type ReplicaChanges = Vec<ReplicaChange>;

/// What follows from a replica's refusal of the version that a request named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRefusal {
    /// The same replica may be asked again, with what is believed now.
    RetrySame,
    /// It holds older weights; another replica may be asked.
    Downgraded(ReplicaChange),
    /// It was refused for something else; another replica may be asked.
    Unexplained,
}

impl Balancer {
    /// Adds a replica, or takes over what changed of it. One that is known with another start has ended, and nothing of
    /// it is inherited.
    pub fn upsert(&mut self, instance: Instance) -> Option<ReplicaChange> {
        let mut earlier = None;
        if let Some(known) = self.replicas.get_mut(&instance.id) {
            if known.instance.start == instance.start {
                known.instance = instance;
                return None;
            }
            earlier = Some(known.instance.clone());
            let next = instance.incarnation_name();
            self.pushbacks.replaced(&known.name, &next, instance.start);
            let next = ReplicaId::from_name(&next).0;
            self.limits.replaced(known.key.0, next, instance.start);
            self.remove(&instance.id);
        }
        let (id, slot, start) = (instance.id.clone(), self.next_slot, instance.start);
        self.next_slot += 1;
        self.by_slot.insert(slot, id.clone());
        let mut replica = Replica::new(instance, slot);
        replica.earlier = earlier.as_ref().map(|one| (one.start, one.is_draining));
        self.by_key.insert(replica.key.0, id.clone());
        self.replicas.insert(id, replica);
        earlier.map(|earlier| ReplicaChange::Replaced { previous: earlier, start })
    }

    /// Forgets a replica.
    pub fn remove(&mut self, id: &str) {
        if let Some(replica) = self.replicas.remove(id) {
            self.by_slot.remove(&replica.slot);
            self.by_key.remove(&replica.key.0);
            self.holders.ended(replica.slot);
        }
    }

    /// Forgets all replicas but these.
    pub fn retain(&mut self, ids: &HashSet<InstanceId>) {
        let gone: Vec<InstanceId> =
            self.replicas.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    /// Replicas known.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.replicas.values().map(|replica| &replica.instance)
    }

    /// The incarnation that is known under an identifier.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.replicas.get(id).map(|replica| &replica.instance)
    }

    /// Takes what the leader knows of a replica. A status of another incarnation counts nothing for this one.
    pub fn set_status(&mut self, status: &InstanceStatus) -> ReplicaChanges {
        let known = self.replicas.get_mut(&status.id);
        let Some(replica) = known.filter(|one| one.instance.start == status.start) else {
            return ReplicaChanges::new();
        };
        replica.availability = status.availability;
        replica.went_back_until = Time::ZERO;
        if status.correction <= replica.correction {
            for loaded in &status.models {
                replica.note_version(&loaded.model, loaded.version);
            }
            return ReplicaChanges::new();
        }
        replica.correction = status.correction;
        let before = std::mem::replace(&mut replica.models, status.models.clone());
        let went_back = |known: &LoadedModel| {
            let said = replica.version(Some(&known.model));
            (said < Some(known.version)).then(|| replica.went_back_from(known, said))
        };
        before.iter().filter_map(went_back).collect()
    }

    /// Takes the newest version named for each model. A member that lags tells an older one.
    pub fn set_published(&mut self, weights: &[LoadedModel], now: Time) {
        for loaded in weights {
            let known = self.named.entry(loaded.model.clone()).or_default();
            if loaded.version > *known {
                *known = loaded.version;
                self.unled.named(loaded, now);
            }
        }
    }

    /// Takes the oldest version of each model's weights that may begin on requests; it only rises.
    pub fn set_min_versions(&mut self, weights: &[LoadedModel]) {
        for loaded in weights {
            let known = self.oldest.entry(loaded.model.clone()).or_default();
            *known = loaded.version.max(*known);
        }
    }

    /// Whether the bound on a replica's weights is over, whatever its status says: a follower tells of it without one.
    pub(super) fn is_outdated(&self, replica: &Replica, model: Option<&str>) -> bool {
        let oldest = model.and_then(|model| self.oldest.get(model));
        let held = replica.version(model);
        oldest.is_some_and(|oldest| held.is_some_and(|held| held < *oldest))
    }

    /// Newest version named for a model, if any ever was.
    pub(super) fn named(&self, model: Option<&str>) -> Option<u32> {
        self.named.get(model?).copied()
    }

    /// Version that a prompt must name at a replica. Where one is named for the model, none begins without: followers tell
    /// of a replica before its status comes, and its weights may be older than the 8 s bound on them allows.
    pub(super) fn expected(
        &self,
        held: Option<u32>,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<u32> {
        self.version_to_name(held, request, now).or(self.named(request.model))
    }

    /// The version that a replica is believed to hold, or the newest where the bound on that one is over by this node's own
    /// count: it may have loaded meanwhile, which nobody told, and refuses otherwise.
    pub(super) fn version_to_name(
        &self,
        held: Option<u32>,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<u32> {
        let held = held?;
        let is_over = request.model.is_some_and(|model| self.unled.is_over(model, held, now));
        Some(if is_over { self.named(request.model).unwrap_or(held) } else { held })
    }

    /// Notes that a leader with a lease told news.
    pub fn record_leader_contact(&mut self, now: Time) {
        self.unled.led(now);
    }

    /// Sets the bounds on a roll-out.
    pub fn set_rollout_settings(&mut self, cfg: RolloutSettings) {
        self.unled.set(cfg);
    }

    /// Takes a replica's refusal of the version that a request named, and the version that it says it holds, if it does.
    /// What it is taken for must not be newer weights alone: a replica that started again may hold older ones.
    pub fn on_version_refused(
        &mut self,
        choice: &Choice,
        model: &str,
        said: Option<u32>,
        now: Time,
    ) -> VersionRefusal {
        let Some(expected) = choice.required_version else { return VersionRefusal::Unexplained };
        let named = self.named(Some(model));
        let Some(replica) = self.chosen_mut(choice) else { return VersionRefusal::Unexplained };
        match said {
            Some(said) if said == expected => return VersionRefusal::Unexplained,
            Some(said) if said > expected => {
                replica.note_version(model, said);
                return VersionRefusal::RetrySame;
            }
            // Only the named one is left to name, or none where none was.
            None if named.is_none_or(|named| named > expected) => {
                replica.forget_version(model);
                return VersionRefusal::RetrySame;
            }
            _ => {}
        }
        replica.forget_version(model);
        if let Some(said) = said {
            replica.note_version(model, said);
        }
        replica.went_back_until = now + DOWNGRADE_PAUSE;
        let before = LoadedModel { model: model.to_owned(), version: expected };
        VersionRefusal::Downgraded(replica.went_back_from(&before, said))
    }
}
