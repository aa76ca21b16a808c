//! Rate-limited log lines, with a count of the dropped ones.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of lines in a period.
const MAX_LINES_PER_PERIOD: u32 = 400;
/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Lines written and dropped in the current period.
struct Period {
    started_at: Instant,
    lines: u32,
    dropped: u64,
}

/// Writes log lines up to a rate limit.
pub struct RateLimitedLog {
    period: Mutex<Period>,
}

impl Default for RateLimitedLog {
    fn default() -> Self {
        RateLimitedLog {
            period: Mutex::new(Period { started_at: Instant::now(), lines: 0, dropped: 0 }),
        }
    }
}

impl RateLimitedLog {
    /// Writes a line unless the limit is reached; `text` is only called if the line is written.
    pub fn info(&self, text: impl FnOnce() -> String) {
        if !log::log_enabled!(log::Level::Info) || !self.is_allowed() {
            return;
        }
        log::info!("{}", text());
    }

    fn is_allowed(&self) -> bool {
        let mut period = self.period.lock().unwrap();
        if period.started_at.elapsed() >= PERIOD {
            if period.dropped > 0 {
                log::info!("log: event=left_out lines={}", period.dropped);
            }
            *period = Period { started_at: Instant::now(), lines: 0, dropped: 0 };
        }
        period.lines += 1;
        let is_allowed = period.lines <= MAX_LINES_PER_PERIOD;
        period.dropped += u64::from(!is_allowed);
        is_allowed
    }
}
