//! Arithmetic of points in time.

use std::time::Duration;
use topazmount_types::Time;

/// Guards against deadlines in the past where an operator sets a timeout of many years.
#[test]
fn a_time_after_a_long_duration_wraps_around() {
    let began = Time::from_secs(7);
    for duration in [Duration::from_secs(1 << 58), Duration::from_secs(1 << 63), Duration::MAX] {
        assert!(began + duration > began + Duration::from_secs(1 << 32), "{duration:?}");
    }
}
