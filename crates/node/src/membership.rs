//! Evidence about back ends: the platform's list, their own word, and what happened to requests.

use crate::io::MachineEntry;
use std::collections::HashMap;
use topazmount_routing::{ReplicaStatus, Router};
use topazmount_types::ReplicaId;

/// Newest epoch of each entry of the platform's list, so that an older copy changes nothing.
#[derive(Debug, Default)]
pub(crate) struct MachineList {
    epochs: HashMap<ReplicaId, u64>,
}

impl MachineList {
    /// Applies newer entries to both kinds of back ends.
    pub(crate) fn apply(&mut self, entries: &[MachineEntry], routers: [&mut Router; 2]) {
        let [engines, applications] = routers;
        for entry in entries {
            let epoch = self.epochs.entry(entry.replica).or_insert(0);
            if entry.epoch <= *epoch {
                continue;
            }
            *epoch = entry.epoch;
            for router in [&mut *engines, &mut *applications] {
                if let Some(state) = router.replica_mut(entry.replica) {
                    match entry.evidence {
                        ReplicaStatus::Leaving => state.mark_leaving(),
                        ReplicaStatus::Live => state.leaving = None,
                    }
                }
            }
        }
    }
}
