//! What the leader believes of replicas, as a list whose changes are told in pieces.

use super::pieces::{MOST_TOLD, end_of_piece};
use super::protocol::{InstanceStatus, SeenVersions};
use super::state::FleetState;
use std::collections::BTreeMap;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId};

/// Statuses with the count at which each changed last. Invariant: a requester that was told of a term and count has each
/// status that changed up to then, of the replicas that it was told of by this leader.
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

    /// Takes over what is believed now of the replicas that there are.
    pub(super) fn refresh(
        &mut self,
        state: &FleetState,
        status: impl Fn(&Instance) -> Option<InstanceStatus>,
    ) {
        self.entries.retain(|id, _| state.instances().contains_key(id));
        for (id, instance) in state.instances() {
            let Some(status) = status(instance) else { continue };
            if self.entries.get(id).is_none_or(|(known, _)| *known != status) {
                self.count += 1;
                self.entries.insert(id.clone(), (status, self.count));
            }
        }
    }

    /// What a requester should hear next: the statuses of replicas that it is told of with them, whatever their number, and
    /// the earliest changes of others. Replicas that it is to be told of later come with their statuses then.
    pub(super) fn news(
        &self,
        term: Term,
        seen: &SeenVersions,
        state: &FleetState,
        told_now: &[Instance],
    ) -> Option<((Term, u64), Vec<InstanceStatus>)> {
        if seen.statuses == (term, self.count) && told_now.is_empty() {
            return None;
        }
        let since = if seen.statuses.0 == term { seen.statuses.1 } else { 0 };
        let knows_all = seen.revision >= state.revision();
        let is_known = |id: &str| {
            let known = || state.instances().get(id);
            knows_all || known().is_some_and(|one| one.changed_at <= seen.revision)
        };
        let mut changed: Vec<&(InstanceStatus, u64)> = Vec::new();
        if seen.revision > 0 {
            let later = self.entries.values().filter(|(_, changed_at)| *changed_at > since);
            changed.extend(later.filter(|(status, _)| is_known(&status.id)));
        }
        let end = end_of_piece(changed.iter().map(|(_, changed_at)| *changed_at), MOST_TOLD);
        let end = end.unwrap_or(self.count);
        changed.retain(|(_, changed_at)| *changed_at <= end);
        let with_replicas = told_now.iter().filter_map(|one| self.entries.get(&one.id));
        let told = changed.into_iter().chain(with_replicas).map(|(status, _)| status.clone());
        Some(((term, end), told.collect()))
    }
}
