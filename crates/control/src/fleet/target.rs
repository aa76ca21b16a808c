//! The weights that a replica should load, and the progress of the load.

use super::orders::{LoadMode, WeightsOrder};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, Time};

/// Phases of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Gateways are told to avoid the replica; the load is due by the deadline.
    Pausing { since: Time, deadline: Time },
    /// A slot is granted; the order may be given.
    Granted,
    /// The replica is queried before the order.
    Querying { since: Time },
    /// The order is sent.
    Ordering { since: Time },
    /// The replica loads.
    Loading { since: Time, query_at: Time, ordered_by: OrderedBy },
}

/// Whose order started a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderedBy {
    /// This leader's; the load time is known.
    ThisLeader,
    /// Another leader's; it was in progress when the replica was queried.
    OtherLeader,
}

/// The weights that one incarnation should load.
#[derive(Clone, Debug)]
pub(super) struct LoadTarget {
    pub(super) phase: Phase,
    pub(super) model: String,
    pub(super) version: u32,
    pub(super) service: String,
    /// When the slot was granted, and the concurrency at that time.
    pub(super) granted_at: Time,
    pub(super) concurrency: usize,
}

impl LoadTarget {
    /// Whether it occupies a loading slot. A hung load gives its slot up.
    pub(super) fn occupies_slot(&self, now: Time, hung_timeout: Duration) -> bool {
        match self.phase {
            Phase::Pausing { .. } => false,
            Phase::Granted | Phase::Querying { .. } | Phase::Ordering { .. } => true,
            Phase::Loading { .. } => now < self.granted_at + hung_timeout,
        }
    }

    /// Load time, if this leader's order started the load.
    pub(super) fn load_duration(&self, now: Time) -> Option<Duration> {
        let is_own = matches!(self.phase, Phase::Loading { ordered_by: OrderedBy::ThisLeader, .. });
        is_own.then(|| now.since(self.granted_at))
    }

    pub(super) fn order(
        &self,
        instance: &Instance,
        fence: Term,
        expected_sequence: u64,
    ) -> WeightsOrder {
        WeightsOrder {
            instance: instance.id.clone(),
            address: instance.address.clone(),
            model: self.model.clone(),
            version: self.version,
            mode: LoadMode::KeepRuns,
            fence,
            expected_sequence,
            start: instance.start,
        }
    }
}
