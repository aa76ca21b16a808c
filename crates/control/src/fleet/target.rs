//! A replica that is to load a version of the weights, and how far it is.

use super::orders::{LoadMode, WeightsOrder};
use topazmount_consensus::Term;
use topazmount_types::{Instance, Time};

/// Steps of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Gateways are told to pass it over; its version must be there by the deadline.
    Pausing { since: Time, deadline: Time },
    /// Its order may be given.
    Granted,
    /// A question is under way before the order.
    Asking { since: Time },
    /// An order is under way.
    Ordering { since: Time },
    /// It loads.
    Loading { since: Time, ask_at: Time },
    /// Something failed; it is tried again.
    Resting { until: Time },
}

/// What one incarnation should load.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) phase: Phase,
    pub(super) model: String,
    pub(super) version: u32,
}

impl Target {
    pub(super) fn is_loading(&self) -> bool {
        !matches!(self.phase, Phase::Pausing { .. } | Phase::Resting { .. })
    }

    pub(super) fn is_paused(&self) -> bool {
        !matches!(self.phase, Phase::Resting { .. })
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
