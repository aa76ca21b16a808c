//! Notices a connection that carries nothing any more.
//!
//! A connection may go silent for good, without a reset, while new ones work; the system repeats unacknowledged bytes for a
//! quarter of an hour before it says so. So each side that sends on one expects to hear something, and connects anew if it
//! does not.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Silence after which a connection to a control member is made anew: an election timeout, in which a leader sends six
/// messages, and less than the 750 ms of a request for news.
pub const LINK_SILENCE: Duration = Duration::from_millis(600);

/// What was sent and heard on one connection.
#[derive(Debug, Default)]
pub struct Traffic {
    unanswered_since: Mutex<Option<Instant>>,
}

impl Traffic {
    /// Notes that something was sent to which something must come back.
    pub fn sent(&self) {
        self.unanswered_since.lock().unwrap().get_or_insert_with(Instant::now);
    }

    /// Notes that something came.
    pub fn heard(&self) {
        *self.unanswered_since.lock().unwrap() = None;
    }

    /// Whether nothing has come for so long since something was sent.
    pub fn is_silent(&self, limit: Duration) -> bool {
        let since = *self.unanswered_since.lock().unwrap();
        since.is_some_and(|since| since.elapsed() >= limit)
    }
}
