//! Detects outdated weights while the control group is leaderless. Only a leader excludes replicas
//! with outdated weights; without one the gateway applies the time limit itself.

use std::collections::HashMap;
use topazmount_control::{LoadedModel, RolloutSettings};
use topazmount_types::Time;

/// Versions remembered per model; the oldest ones beyond are dropped.
const MAX_VERSIONS: usize = 16;

/// Applies the time limit on outdated weights, counted from the publication of a newer version or
/// from the last update of a leader, whichever is later. A new leader restarts the limit.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderlessBounds {
    cfg: RolloutSettings,
    published: HashMap<String, Vec<(u32, Time)>>,
    last_leader_update: Time,
}

impl LeaderlessBounds {
    pub(super) fn set_settings(&mut self, cfg: RolloutSettings) {
        self.cfg = cfg;
    }

    /// Records a newly published version, which must be higher than earlier ones.
    pub(super) fn record_published(&mut self, loaded: &LoadedModel, now: Time) {
        let published = self.published.entry(loaded.model.clone()).or_default();
        published.push((loaded.version, now));
        let surplus = published.len().saturating_sub(MAX_VERSIONS);
        published.drain(..surplus);
    }

    pub(super) fn record_leader_update(&mut self, now: Time) {
        self.last_leader_update = self.last_leader_update.max(now);
    }

    /// Whether a version is outdated for longer than the time limit.
    pub(super) fn is_outdated(&self, model: &str, version: u32, now: Time) -> bool {
        let published = self.published.get(model).into_iter().flatten();
        let newer_at = published
            .filter(|(published_version, _)| *published_version > version)
            .map(|(_, published_at)| *published_at)
            .min();
        newer_at.is_some_and(|at| now >= at.max(self.last_leader_update) + self.cfg.exclude_after())
    }
}
