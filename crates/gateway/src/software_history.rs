//! Changes of the services' software versions, as a gateway has seen them.
//!
//! They decide which streams are recorded at control members. They prove nothing of a stream: a
//! version that came and went between two lists was not seen.

use crate::stream_origins::ORIGIN_RETENTION;
use std::collections::HashMap;
use topazmount_types::{Instance, SoftwareId, Time};

/// When the last replica of a software version was seen to end, by service.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// When the list of replicas was first received, or routes last led to other services.
    since: Option<Time>,
    ended_at: HashMap<String, HashMap<SoftwareId, Time>>,
}

impl SoftwareHistory {
    /// Records that the list of replicas was received.
    pub(crate) fn on_list(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// Records that routes of streams came to lead to other services.
    pub(crate) fn on_rerouted(&mut self, now: Time) {
        self.since = Some(now);
    }

    /// Records that a replica has ended or has another version.
    pub(crate) fn on_ended(&mut self, instance: &Instance, now: Time) {
        self.ended_at.retain(|_, ended_at| {
            ended_at.retain(|_, at| now < *at + ORIGIN_RETENTION);
            !ended_at.is_empty()
        });
        let ended_at = self.ended_at.entry(instance.service.clone()).or_default();
        ended_at.insert(SoftwareId::of(instance), now);
    }

    /// Whether the history reaches back as far as the begin of any stream that can be resumed.
    pub(crate) fn is_complete(&self, now: Time) -> bool {
        self.since.is_some_and(|since| now >= since + ORIGIN_RETENTION)
    }

    /// Whether a replica of the service with another version was seen to end lately.
    pub(crate) fn has_other(&self, service: &str, software: SoftwareId, now: Time) -> bool {
        let mut ended = self.ended_at.get(service).into_iter().flatten();
        ended.any(|(other, at)| *other != software && now < *at + ORIGIN_RETENTION)
    }
}
