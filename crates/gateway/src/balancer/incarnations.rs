//! Tracks replica incarnations and the versions of their weights.
//!
//! All state of a replica belongs to one incarnation; the next one under the same identifier starts
//! empty. The control group's list decides which incarnation is current, whatever the replica's
//! clock says.

use super::Balancer;
use super::choice::{Choice, ChoiceRequest};
use super::replica::Replica;
use std::collections::HashSet;
use std::time::Duration;
use topazmount_control::{InstanceStatus, LoadedModel, RolloutSettings};
use topazmount_types::{Instance, InstanceId, ReplicaId, SoftwareId, Start, Time};

/// Time for which a replica with older weights than recorded gets no requests for a model, unless
/// its next status comes earlier.
pub const DOWNGRADE_PAUSE: Duration = Duration::from_millis(1_600);

/// A change that invalidates records of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Another incarnation replaced the recorded one.
    Replaced {
        /// The incarnation that ended.
        previous: Instance,
        /// Start of the new one.
        start: Start,
    },
    /// The replica has older weights than recorded.
    Downgraded {
        /// Identifier of the replica.
        id: InstanceId,
        /// Start of its incarnation.
        start: Start,
        /// Name of the model.
        model: String,
        /// Version that was recorded.
        recorded: u32,
        /// Version that the replica reported, if it did.
        reported: Option<u32>,
    },
}

/// Changes caused by one update.
pub type ReplicaChanges = Vec<ReplicaChange>;

/// How to proceed after a replica refused the required version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRefusal {
    /// Retry at the same replica, with the version that is recorded now.
    RetrySame,
    /// The replica has older weights; try another one.
    Downgraded(ReplicaChange),
    /// The refusal has another reason; try another replica.
    Unexplained,
}

impl Balancer {
    /// Adds or updates a replica. If its start differs from the recorded one, the recorded
    /// incarnation has ended and its state is dropped.
    pub fn upsert(&mut self, instance: Instance) -> Option<ReplicaChange> {
        let mut previous = None;
        if let Some(known) = self.replicas.get_mut(&instance.id) {
            if known.instance.start == instance.start {
                self.service_index.remove(known);
                known.software = SoftwareId::of(&instance);
                known.instance = instance;
                self.service_index.insert(known);
                return None;
            }
            previous = Some(known.instance.clone());
            let next = instance.incarnation_name();
            self.pushbacks.on_replaced(&known.name, &next, instance.start);
            let next = ReplicaId::from_name(&next).0;
            self.limits.on_replaced(known.incarnation_id.0, next, instance.start);
            self.remove(&instance.id);
        }
        let (id, slot, start) = (instance.id.clone(), self.next_slot, instance.start);
        self.next_slot += 1;
        self.by_slot.insert(slot, id.clone());
        let mut replica = Replica::new(instance, slot);
        replica.previous = previous.as_ref().map(|replica| (replica.start, replica.is_draining));
        self.by_incarnation.insert(replica.incarnation_id.0, id.clone());
        self.by_identifier.insert(replica.stable_id.0, id.clone());
        self.service_index.insert(&replica);
        self.replicas.insert(id, replica);
        previous.map(|previous| ReplicaChange::Replaced { previous, start })
    }

    /// Removes a replica.
    pub fn remove(&mut self, id: &str) {
        if let Some(replica) = self.replicas.remove(id) {
            self.service_index.remove(&replica);
            self.by_slot.remove(&replica.slot);
            self.by_incarnation.remove(&replica.incarnation_id.0);
            self.by_identifier.remove(&replica.stable_id.0);
            self.cache_records.on_ended(replica.slot);
        }
    }

    /// Removes all replicas but these.
    pub fn retain(&mut self, ids: &HashSet<InstanceId>) {
        let gone: Vec<InstanceId> =
            self.replicas.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    /// All known replicas.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.replicas.values().map(|replica| &replica.instance)
    }

    /// The current incarnation of a replica.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.replicas.get(id).map(|replica| &replica.instance)
    }

    /// Applies the leader's status of a replica. A status of another incarnation is ignored.
    pub fn set_status(&mut self, status: &InstanceStatus) -> ReplicaChanges {
        let known = self.replicas.get_mut(&status.id);
        let Some(replica) = known.filter(|replica| replica.instance.start == status.start) else {
            return ReplicaChanges::new();
        };
        self.service_index.change_versions(replica, |replica| replica.apply_status(status))
    }

    /// Records the newest published version of each model; older ones from members that lag are
    /// ignored.
    pub fn set_published(&mut self, weights: &[LoadedModel], now: Time) {
        for loaded in weights {
            let known = self.published.entry(loaded.model.clone()).or_default();
            if loaded.version > *known {
                *known = loaded.version;
                self.leaderless.record_published(loaded, now);
            }
        }
    }

    /// Records the oldest version of each model that may still start requests; it only rises.
    pub fn set_min_versions(&mut self, weights: &[LoadedModel]) {
        for loaded in weights {
            let known = self.min_versions.entry(loaded.model.clone()).or_default();
            *known = loaded.version.max(*known);
        }
    }

    /// Whether a replica's weights are older than the oldest allowed version, whatever its status
    /// says: followers send this version without statuses.
    pub(super) fn is_outdated(&self, replica: &Replica, model: Option<&str>) -> bool {
        let min_version = model.and_then(|model| self.min_versions.get(model));
        let recorded = replica.version(model);
        min_version
            .is_some_and(|min_version| recorded.is_some_and(|recorded| recorded < *min_version))
    }

    /// Newest published version of a model, if any.
    pub(super) fn published(&self, model: Option<&str>) -> Option<u32> {
        self.published.get(model?).copied()
    }

    /// Version that a prompt must require at a replica. If the replica's version is unknown, it is
    /// the newest published one, as the replica may have outdated weights.
    pub(super) fn required_version(
        &self,
        recorded: Option<u32>,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<u32> {
        self.version_to_request(recorded, request, now).or(self.published(request.model))
    }

    /// The recorded version of a replica, or the newest published one if the recorded one is
    /// outdated by this node's own time limit: the replica may have loaded it without a report, and
    /// refuses the request otherwise.
    pub(super) fn version_to_request(
        &self,
        recorded: Option<u32>,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Option<u32> {
        let recorded = recorded?;
        let is_outdated =
            request.model.is_some_and(|model| self.leaderless.is_outdated(model, recorded, now));
        Some(if is_outdated { self.published(request.model).unwrap_or(recorded) } else { recorded })
    }

    /// Records an update from a leader that holds its lease.
    pub fn record_leader_contact(&mut self, now: Time) {
        self.leaderless.record_leader_update(now);
    }

    /// Sets the limits of a roll-out.
    pub fn set_rollout_settings(&mut self, cfg: RolloutSettings) {
        self.leaderless.set_settings(cfg);
    }

    /// Handles a replica's refusal of the required version, and the version that it reports, if
    /// any. A replica that restarted may have older weights than before.
    pub fn on_version_refused(
        &mut self,
        choice: &Choice,
        model: &str,
        reported: Option<u32>,
        now: Time,
    ) -> VersionRefusal {
        let Some(expected) = choice.required_version else { return VersionRefusal::Unexplained };
        let published = self.published(Some(model));
        let required = LoadedModel { model: model.to_owned(), version: expected };
        let refuse =
            |replica: &mut Replica| replica.on_version_refused(required, reported, published, now);
        self.change_versions(choice, refuse).unwrap_or(VersionRefusal::Unexplained)
    }

    /// Changes the recorded versions of the chosen incarnation, if it has not ended.
    pub(super) fn change_versions<T>(
        &mut self,
        choice: &Choice,
        change: impl FnOnce(&mut Replica) -> T,
    ) -> Option<T> {
        let replica = self.replicas.get_mut(&choice.instance.id)?;
        let is_chosen = replica.slot == choice.slot;
        is_chosen.then(|| self.service_index.change_versions(replica, change))
    }
}
