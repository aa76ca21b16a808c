//! Remembers when requests and prompt parts last completed, the latest ones within a bound.

use std::collections::{HashMap, VecDeque};
use topazmount_types::{RequestDigest, Time};

/// Maximum number of remembered completions of requests, and of parts, 48 KB each at most. They are
/// evidence for one that is blocked by mistake, such as one that many clients send alike.
const MAX_COMPLETIONS: usize = 1_024;

/// What completed lately.
#[derive(Default)]
pub(super) struct Completions {
    completed_at: HashMap<RequestDigest, Time>,
    /// Each entry once, with a completion that was its last one when it was queued.
    queue: VecDeque<(RequestDigest, Time)>,
}

impl Completions {
    /// Records a completion.
    pub(super) fn add(&mut self, request: RequestDigest, now: Time) {
        if self.completed_at.insert(request, now).is_none() {
            self.queue.push_back((request, now));
        }
        while self.completed_at.len() > MAX_COMPLETIONS {
            let Some((oldest, queued_at)) = self.queue.pop_front() else { return };
            match self.completed_at.get(&oldest).copied() {
                Some(at) if at > queued_at => self.queue.push_back((oldest, at)),
                _ => drop(self.completed_at.remove(&oldest)),
            }
        }
    }

    /// The last remembered completion.
    pub(super) fn last(&self, request: RequestDigest) -> Option<Time> {
        self.completed_at.get(&request).copied()
    }
}
