//! Changes of the services' software versions, as a gateway has seen them.
//!
//! They decide which streams are recorded at control members. They prove nothing of a stream: a
//! version that came and went between two lists was not seen.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_control::StreamHorizon;
use topazmount_types::{Instance, SoftwareId, Time};

/// Which software versions a stream that can be resumed may have begun at.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// From when on all streams that can be resumed have begun since the list of replicas was first
    /// received, and since routes last led to other services.
    complete_from: Option<Time>,
    /// Until when a stream can be resumed that began at a version whose last replica was seen to end,
    /// by service.
    resumable_until: HashMap<String, HashMap<SoftwareId, Time>>,
    horizon: StreamHorizon,
}

impl SoftwareHistory {
    /// Records that the list of replicas was received.
    pub(crate) fn on_list(&mut self, now: Time) {
        self.complete_from.get_or_insert(self.horizon.resumable_until(now));
    }

    /// Records a catalog, by which routes of streams may lead to other services than before.
    pub(crate) fn on_catalog(&mut self, longest_stream: Duration, is_rerouted: bool, now: Time) {
        self.horizon.set_longest_stream(longest_stream, now);
        if is_rerouted {
            self.complete_from = Some(self.horizon.resumable_until(now));
        }
    }

    /// Records that a replica has ended or has another version.
    pub(crate) fn on_ended(&mut self, instance: &Instance, now: Time) {
        self.resumable_until.retain(|_, versions| {
            versions.retain(|_, until| now < *until);
            !versions.is_empty()
        });
        let until = self.horizon.resumable_until(now);
        let versions = self.resumable_until.entry(instance.service.clone()).or_default();
        versions.insert(SoftwareId::of(instance), until);
    }

    /// Whether the history reaches back as far as the begin of any stream that can be resumed.
    pub(crate) fn is_complete(&self, now: Time) -> bool {
        self.complete_from.is_some_and(|from| now >= from)
    }

    /// Whether a stream of the service that can be resumed may have begun at another version, which
    /// has ended.
    pub(crate) fn has_other(&self, service: &str, software: SoftwareId, now: Time) -> bool {
        let mut ended = self.resumable_until.get(service).into_iter().flatten();
        ended.any(|(other, until)| *other != software && now < *until)
    }
}
