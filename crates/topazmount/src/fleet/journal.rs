//! Bounded log lines: a budget a second, with a count of what was left out.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines a second.
const LINES_PER_SECOND: u32 = 400;
/// Length of a budget's period.
const PERIOD: Duration = Duration::from_secs(1);

struct Period {
    began: Instant,
    lines: u32,
    left_out: u64,
}

/// Writes lines of which there may be many.
pub struct Journal {
    period: Mutex<Period>,
}

impl Default for Journal {
    fn default() -> Self {
        Journal { period: Mutex::new(Period { began: Instant::now(), lines: 0, left_out: 0 }) }
    }
}

impl Journal {
    /// Writes a line, unless this second's budget is used up; `text` is made only when needed.
    pub fn line(&self, text: impl FnOnce() -> String) {
        if !log::log_enabled!(log::Level::Info) || !self.is_allowed() {
            return;
        }
        log::info!("{}", text());
    }

    fn is_allowed(&self) -> bool {
        let mut period = self.period.lock().unwrap();
        if period.began.elapsed() >= PERIOD {
            if period.left_out > 0 {
                log::info!("log: event=left_out lines={}", period.left_out);
            }
            *period = Period { began: Instant::now(), lines: 0, left_out: 0 };
        }
        period.lines += 1;
        let is_allowed = period.lines <= LINES_PER_SECOND;
        period.left_out += u64::from(!is_allowed);
        is_allowed
    }
}
