//! The real clock behind the cores' time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use topazmount_types::Time;

/// Microseconds since the Unix epoch that never go back: the wall clock is read once, and time
/// since then is monotonic.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    origin: u64,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), origin: wall.as_micros() as u64 }
    }

    /// Now.
    pub fn now(&self) -> Time {
        Time(self.origin + self.started.elapsed().as_micros() as u64)
    }

    /// The instant at which a time is reached.
    pub fn instant(&self, time: Time) -> Option<Instant> {
        let offset = std::time::Duration::from_micros(time.0.checked_sub(self.origin)?);
        self.started.checked_add(offset)
    }
}
