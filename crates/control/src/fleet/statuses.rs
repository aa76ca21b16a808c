//! The leader's statuses of replicas, sent to requesters in batches of changes.

use super::batches::{MAX_PER_RESPONSE, end_of_batch};
use super::protocol::{InstanceStatus, SeenVersions};
use super::state::FleetState;
use std::collections::BTreeMap;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId};

/// Statuses with the count of their last change. Invariant: a requester with this term and count
/// has all statuses changed up to it, of the replicas that this leader sent to it.
#[derive(Default)]
pub(super) struct StatusList {
    entries: BTreeMap<InstanceId, (InstanceStatus, u64)>,
    count: u64,
}

impl StatusList {
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Counts changes.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Updates the statuses of the replicas that were registered, changed or removed after a
    /// revision.
    pub(super) fn refresh_changed(
        &mut self,
        state: &FleetState,
        revision: u64,
        status: impl Fn(&Instance) -> Option<InstanceStatus>,
    ) {
        for id in state.removed_after(revision) {
            self.entries.remove(id);
        }
        let changed = state.instances().values().filter(|instance| instance.changed_at > revision);
        changed.for_each(|instance| self.record(instance, &status));
    }

    /// Updates the statuses of all registered replicas.
    pub(super) fn refresh(
        &mut self,
        state: &FleetState,
        status: impl Fn(&Instance) -> Option<InstanceStatus>,
    ) {
        self.entries.retain(|id, _| state.instances().contains_key(id));
        state.instances().values().for_each(|instance| self.record(instance, &status));
    }

    fn record(
        &mut self,
        instance: &Instance,
        status: &impl Fn(&Instance) -> Option<InstanceStatus>,
    ) {
        let Some(status) = status(instance) else { return };
        if self.entries.get(&instance.id).is_none_or(|(known, _)| *known != status) {
            self.count += 1;
            self.entries.insert(instance.id.clone(), (status, self.count));
        }
    }

    /// The next update for a requester: the statuses of all replicas sent in the same response, and
    /// the earliest changes of others. Replicas that are sent later come with their statuses.
    pub(super) fn update_since(
        &self,
        term: Term,
        seen: &SeenVersions,
        state: &FleetState,
        sent_replicas: &[Instance],
    ) -> Option<((Term, u64), Vec<InstanceStatus>)> {
        if seen.statuses == (term, self.count) && sent_replicas.is_empty() {
            return None;
        }
        let since = if seen.statuses.0 == term { seen.statuses.1 } else { 0 };
        let knows_all = seen.revision >= state.revision();
        let is_known = |id: &str| {
            let known = || state.instances().get(id);
            knows_all || known().is_some_and(|instance| instance.changed_at <= seen.revision)
        };
        let mut changed: Vec<&(InstanceStatus, u64)> = Vec::new();
        if seen.revision > 0 {
            let newer = self.entries.values().filter(|(_, changed_at)| *changed_at > since);
            changed.extend(newer.filter(|(status, _)| is_known(&status.id)));
        }
        let end = end_of_batch(changed.iter().map(|(_, changed_at)| *changed_at), MAX_PER_RESPONSE);
        let end = end.unwrap_or(self.count);
        changed.retain(|(_, changed_at)| *changed_at <= end);
        let with_replicas =
            sent_replicas.iter().filter_map(|instance| self.entries.get(&instance.id));
        let statuses = changed.into_iter().chain(with_replicas).map(|(status, _)| status.clone());
        Some(((term, end), statuses.collect()))
    }
}
