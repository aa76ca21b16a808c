//! A replica that is to load a version of the weights, and how far it is.

use super::orders::{LoadMode, WeightsOrder};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, Time};

/// Time after which a load that has not ended takes no place any more: one and a half times what one is given. It may never
/// end: of 12 replicas with two places one such held up three others for the bound of 8 s.
const LONGEST_PLACE: Duration = Duration::from_millis(1_500);

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
}

/// What one incarnation should load.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) phase: Phase,
    pub(super) model: String,
    pub(super) version: u32,
}

impl Target {
    /// Whether it takes one of the places for loads.
    pub(super) fn takes_place(&self, now: Time) -> bool {
        match self.phase {
            Phase::Pausing { .. } => false,
            Phase::Granted | Phase::Asking { .. } | Phase::Ordering { .. } => true,
            Phase::Loading { since, .. } => now < since + LONGEST_PLACE,
        }
    }

    /// Whether it is on its way to a load or in one that may yet end. One that never ends must not keep another from being
    /// passed over in good time: of 12 replicas with two places it left one on old weights after the bound of 8 s.
    pub(super) fn is_under_way(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Pausing { .. }) || self.takes_place(now)
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
