//! Wake-up times of requests.

use std::collections::BTreeSet;
use topazmount_types::{RequestId, Time};

/// When to look at which request again. A request may be due more than once; a look that finds
/// nothing to do is harmless.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Time, RequestId)>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Time, request: RequestId) {
        self.due.insert((at, request));
    }

    pub(crate) fn next(&self) -> Time {
        self.due.first().map_or(Time::NEVER, |(at, _)| *at)
    }

    pub(crate) fn pop_due(&mut self, now: Time) -> Option<RequestId> {
        let (at, request) = *self.due.first()?;
        if now < at {
            return None;
        }
        self.due.pop_first();
        Some(request)
    }
}
