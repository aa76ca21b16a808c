//! Log lines of what other writers say stay few and short, whatever is said.

use std::time::{Duration, Instant};
use topazmount::fleet::ExternalLogLimiter;

const EVENT: &str = "heartbeat_foreign";

#[test]
fn each_identifier_has_one_line_in_five_seconds() {
    let (mut lines, began) = (ExternalLogLimiter::default(), Instant::now());
    let first = lines.note(began, EVENT, "i-1", "address");
    assert_eq!(first, ["event=heartbeat_foreign id=i-1 reason=address"]);
    for tick in 0..100 {
        let now = began + Duration::from_millis(tick * 49);
        assert!(lines.note(now, EVENT, "i-1", "state").is_empty(), "tick {tick}");
    }
    assert_eq!(lines.note(began, EVENT, "i-2", "state").len(), 1, "another identifier");
    assert_eq!(lines.note(began, "departure_foreign", "i-1", "born").len(), 1, "another event");
    let later = lines.note(began + Duration::from_secs(5), EVENT, "i-1", "address");
    assert_eq!(
        later,
        ["event=foreign_left_out lines=100", "event=heartbeat_foreign id=i-1 reason=address"]
    );
}

#[test]
fn all_identifiers_together_have_32_lines_in_five_seconds() {
    let (mut lines, began) = (ExternalLogLimiter::default(), Instant::now());
    let count = |from: u64, lines: &mut ExternalLogLimiter, now| -> usize {
        (from..from + 10_000)
            .map(|number| lines.note(now, EVENT, &format!("i-{number}"), "unreadable").len())
            .sum()
    };
    assert_eq!(count(0, &mut lines, began), 32);
    let next = began + Duration::from_secs(5);
    assert_eq!(count(20_000, &mut lines, next), 33, "one line tells how many were left out");
}

#[test]
fn no_identifier_breaks_or_fills_a_line() {
    for id in
        ["", "a\nevent=order", "\u{1b}[2J", "\u{fffd}\u{1f600}", "x=\"y\"", &"é".repeat(9_000)]
    {
        let line = ExternalLogLimiter::default().note(Instant::now(), EVENT, id, "id").concat();
        assert!(line.len() < 600, "{} bytes", line.len());
        assert!(line.bytes().all(|byte| (0x20..0x7f).contains(&byte)), "{line:?}");
    }
}
