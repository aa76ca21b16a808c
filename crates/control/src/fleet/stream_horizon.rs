//! How long streams that have begun can be resumed.

use std::time::Duration;
use topazmount_types::Time;

/// Time for which a stream can be resumed after its last event.
pub const STREAM_RETENTION: Duration = Duration::from_secs(60);

/// Tells until when a stream can be resumed that began at a replica which has ended since.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamHorizon {
    /// Maximum time for a request for a stream that begins now.
    longest_stream: Duration,
    /// Until when a stream that began while another maximum was set may be under way.
    earlier_streams_until: Option<Time>,
}

impl StreamHorizon {
    /// Sets the maximum time for a request for a stream that begins from now on.
    pub fn set_longest_stream(&mut self, longest_stream: Duration, now: Time) {
        self.earlier_streams_until = Some(self.streams_until(now));
        self.longest_stream = longest_stream;
    }

    /// Until when a stream that has begun by now can be resumed.
    pub fn resumable_until(&self, now: Time) -> Time {
        self.streams_until(now) + STREAM_RETENTION
    }

    fn streams_until(&self, now: Time) -> Time {
        let until = now + self.longest_stream;
        self.earlier_streams_until.map_or(until, |earlier| earlier.max(until))
    }
}
