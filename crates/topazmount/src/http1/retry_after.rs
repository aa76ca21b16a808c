//! The field by which a server names a time to come back (RFC 9110, 10.2.3; fractions of seconds are in use too).

use std::time::{Duration, SystemTime};

/// Reads seconds from 0 on, fractions too, or a date; `None` for anything else. What is more than a duration can hold is its
/// longest, and a date that is over is no time.
pub fn retry_after(value: &[u8], now: SystemTime) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        Ok(seconds) if is_number => {
            Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        }
        _ => {
            let date = httpdate::parse_http_date(text).ok()?;
            Some(date.duration_since(now).unwrap_or(Duration::ZERO))
        }
    }
}
