//! Processor time of this thread and memory of this process.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Size of a page in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// Processor time that this thread has used.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Processor time of some work on this thread, in seconds.
pub fn seconds_of(work: impl FnOnce()) -> f64 {
    let before = thread_time();
    work();
    (thread_time() - before).as_secs_f64()
}

/// Resident memory of this process in bytes; 0 where the system does not tell.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
