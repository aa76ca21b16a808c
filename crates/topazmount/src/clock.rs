//! The real clock behind the cores' time.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use topazmount_types::Time;

/// Microseconds since the Unix epoch that never go back: the wall clock is read once, and time since then is counted on,
/// also while the machine is suspended. Leases, confirmations and deadlines that others rely on end meanwhile;
/// a clock that stood still would let a leader that wakes up answer from before its successor's changes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
    /// The same moment on the clock that stands still while the machine is suspended.
    awake_since: Instant,
    origin: u64,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            started: since_boot(),
            awake_since: Instant::now(),
            origin: wall.as_micros() as u64,
        }
    }

    /// Now.
    pub fn now(&self) -> Time {
        Time(self.origin + self.elapsed().as_micros() as u64)
    }

    /// The instant at which a time is reached if the machine is not suspended until then.
    pub fn instant(&self, time: Time) -> Option<Instant> {
        Instant::now().checked_add(time.since(self.now()))
    }

    /// How long the machine has been suspended since the start.
    pub fn suspended(&self) -> Duration {
        self.elapsed().saturating_sub(self.awake_since.elapsed())
    }

    fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }
}

/// Time since the machine was booted, suspended time included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
