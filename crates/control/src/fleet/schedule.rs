//! When replicas must begin to load, so that each version is everywhere in time.

use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::Time;

/// Replicas of a service for each one that may load at the same time.
const REPLICAS_PER_LOAD: usize = 4;
/// Time that one replica takes from its order until it serves again.
const LOAD_TIME: Duration = Duration::from_millis(1_150);
/// Time for which gateways pass a replica over before its order, so that most of its runs end.
pub(crate) const PAUSE_BEFORE_ORDER: Duration = Duration::from_millis(300);
/// Replicas of a service that are paused while others load, to be the next.
const PAUSED_AHEAD: usize = 1;
/// Time kept back of the bound.
const MARGIN: Duration = Duration::from_millis(2_000);
/// Age that a version is given that was named before this holder led.
const ASSUMED_AGE: Duration = Duration::from_secs(4);

/// When versions were named. A load costs much and drops a cache, and the next version often comes
/// before the bound of this one: loads start as late as is safe and go straight to the newest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    named: BTreeMap<String, Vec<(u32, Time)>>,
    has_begun: bool,
}

impl Schedule {
    /// Notes versions that are newly named.
    pub(crate) fn note(&mut self, now: Time, weights: &BTreeMap<String, u32>) {
        let age = if self.has_begun { Duration::ZERO } else { ASSUMED_AGE };
        self.has_begun = true;
        for (model, version) in weights {
            let named = self.named.entry(model.clone()).or_default();
            if named.last().is_none_or(|(last, _)| last < version) {
                named.push((*version, now - age));
            }
        }
    }

    /// When the first version above this one was named.
    pub(crate) fn due(&self, model: &str, version: u32) -> Option<Time> {
        let named = self.named.get(model)?;
        named.iter().find(|(one, _)| *one > version).map(|(_, at)| *at)
    }

    /// Replicas of a service, of so many, that may load at the same time.
    pub(crate) fn at_once(replicas: usize) -> usize {
        replicas.div_ceil(REPLICAS_PER_LOAD)
    }

    /// How many of the replicas that wait, whose deadlines are given in rising order, must begin
    /// now. `under_way` load already; the service has `replicas`.
    pub(crate) fn starting(
        now: Time,
        deadlines: &[Time],
        replicas: usize,
        under_way: usize,
    ) -> usize {
        let at_once = Self::at_once(replicas);
        // Those that come next are paused while others load.
        let free = (at_once + PAUSED_AHEAD).saturating_sub(under_way);
        // The position-th replica has to wait for so many rounds before its own.
        let is_urgent = |(position, deadline): (usize, &Time)| {
            let rounds = (position + under_way) / at_once + 1;
            now + PAUSE_BEFORE_ORDER + LOAD_TIME * rounds as u32 + MARGIN >= *deadline
        };
        let is_any_urgent = deadlines.iter().enumerate().any(is_urgent);
        if is_any_urgent { free.min(deadlines.len()) } else { 0 }
    }
}
