//! When old weights are over by a node's own count, while only members that follow tell it anything.
//!
//! A leader bars replicas on old weights in time, and says in the log that a bound is over. Where nobody leads, nobody does:
//! a gateway that heard followers alone for 20 s went on naming version 1 to a replica, the bound of 8 s notwithstanding.

use std::collections::HashMap;
use topazmount_control::{LoadedModel, RolloutSettings};
use topazmount_types::Time;

/// Versions remembered for a model. Of more the oldest are forgotten, which are over by the next one's count too.
const MOST_VERSIONS: usize = 16;

/// Counts bounds from the last word of a leader on: one that has just begun to lead counts anew, and may leave replicas open
/// until it has ordered them.
#[derive(Clone, Debug, Default)]
pub(super) struct Unled {
    cfg: RolloutSettings,
    named: HashMap<String, Vec<(u32, Time)>>,
    led_at: Time,
}

impl Unled {
    pub(super) fn set(&mut self, cfg: RolloutSettings) {
        self.cfg = cfg;
    }

    /// Notes a version when it is first heard of; each is higher than those before.
    pub(super) fn named(&mut self, loaded: &LoadedModel, now: Time) {
        let named = self.named.entry(loaded.model.clone()).or_default();
        named.push((loaded.version, now));
        let surplus = named.len().saturating_sub(MOST_VERSIONS);
        named.drain(..surplus);
    }

    pub(super) fn led(&mut self, now: Time) {
        self.led_at = self.led_at.max(now);
    }

    /// Whether the bound on a version is over.
    pub(super) fn is_over(&self, model: &str, version: u32, now: Time) -> bool {
        let named = self.named.get(model).into_iter().flatten();
        let newer_at = named.filter(|(one, _)| *one > version).map(|(_, at)| *at).min();
        newer_at.is_some_and(|at| now >= at.max(self.led_at) + self.cfg.exclude_after())
    }
}
