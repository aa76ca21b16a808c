//! Log lines about external writers stay few and short, whatever the writers send.

use std::time::{Duration, Instant};
use topazmount::fleet::ExternalLogLimiter;

const EVENT: &str = "heartbeat_foreign";

#[test]
fn each_event_and_identifier_is_logged_once_in_five_seconds() {
    let (mut limiter, start) = (ExternalLogLimiter::default(), Instant::now());
    let first = limiter.lines(start, EVENT, "i-1", "address");
    assert_eq!(first, ["event=heartbeat_foreign id=i-1 reason=address"]);
    for tick in 0..100 {
        let now = start + Duration::from_millis(tick * 49);
        assert!(limiter.lines(now, EVENT, "i-1", "state").is_empty(), "tick {tick}");
    }
    assert_eq!(limiter.lines(start, EVENT, "i-2", "state").len(), 1, "another identifier");
    assert_eq!(limiter.lines(start, "departure_foreign", "i-1", "born").len(), 1, "another event");
    let later = limiter.lines(start + Duration::from_secs(5), EVENT, "i-1", "address");
    assert_eq!(
        later,
        ["event=foreign_left_out lines=100", "event=heartbeat_foreign id=i-1 reason=address"]
    );
}

#[test]
fn at_most_32_lines_are_logged_in_five_seconds() {
    let (mut limiter, start) = (ExternalLogLimiter::default(), Instant::now());
    let count = |from: u64, limiter: &mut ExternalLogLimiter, now| -> usize {
        (from..from + 10_000)
            .map(|number| limiter.lines(now, EVENT, &format!("i-{number}"), "unreadable").len())
            .sum()
    };
    assert_eq!(count(0, &mut limiter, start), 32);
    let next_window = start + Duration::from_secs(5);
    assert_eq!(count(20_000, &mut limiter, next_window), 33, "one line counts the dropped lines");
}

#[test]
fn identifiers_are_escaped_and_shortened() {
    for id in
        ["", "a\nevent=order", "\u{1b}[2J", "\u{fffd}\u{1f600}", "x=\"y\"", &"é".repeat(9_000)]
    {
        let line = ExternalLogLimiter::default().lines(Instant::now(), EVENT, id, "id").concat();
        assert!(line.len() < 600, "{} bytes", line.len());
        assert!(line.bytes().all(|byte| (0x20..0x7f).contains(&byte)), "{line:?}");
    }
}
