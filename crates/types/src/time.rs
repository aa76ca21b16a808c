//! Time in microseconds since an origin.
//!
//! Processes count from the Unix epoch, so that stored times stay valid after a restart; the
//! simulator counts from the start of a run.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds in one second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Microseconds in one millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// A point in time, in microseconds since the origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);
    /// A time that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// Creates the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * MICROS_PER_MILLI)
    }

    /// Creates the time `seconds` seconds after the origin.
    pub const fn from_secs(seconds: u64) -> Self {
        Time(seconds * MICROS_PER_SECOND)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Seconds since the origin, with fractions.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Duration since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Whole microseconds, or the maximum.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(micros(duration)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.6}s", self.as_secs_f64())
    }
}
