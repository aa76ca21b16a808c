//! The one clock that promises rest on.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;
use topazmount::clock::Clock;

/// Time that two readings of a clock one after the other may be apart on a busy machine.
const SLACK: Duration = Duration::from_millis(200);

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A test can't suspend the machine: that the clock is the one that counts suspended time is all that is shown here.
#[test]
fn the_clock_follows_the_time_since_boot() {
    let clock = Clock::start();
    let (began, boot_began) = (clock.now(), since_boot());
    std::thread::sleep(Duration::from_millis(30));
    let (elapsed, boot_elapsed) = (clock.now().since(began), since_boot() - boot_began);
    assert!(elapsed.abs_diff(boot_elapsed) < SLACK, "{elapsed:?} and {boot_elapsed:?}");
    assert!(elapsed >= Duration::from_millis(30));
}

#[test]
fn a_machine_that_was_not_suspended_says_so() {
    let clock = Clock::start();
    std::thread::sleep(Duration::from_millis(30));
    assert!(clock.suspended() < SLACK, "{:?}", clock.suspended());
}

#[test]
fn a_time_that_lies_ahead_has_its_instant() {
    let clock = Clock::start();
    let instant = clock.instant(clock.now() + Duration::from_secs(5)).unwrap();
    let ahead = instant.saturating_duration_since(std::time::Instant::now());
    assert!(ahead.abs_diff(Duration::from_secs(5)) < SLACK, "{ahead:?}");
}
