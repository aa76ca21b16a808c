//! Counts and logs calls that external writers make in replicas' names. They may come at any rate and
//! under any identifier, so that the number and length of log lines are limited.

use super::metrics::Metrics;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Period over which lines are limited.
const WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of lines per window, over all identifiers.
const MAX_LINES: usize = 32;
/// Characters of an identifier that are logged.
const MAX_ID_CHARS: usize = 64;

/// Limits log lines to one per event and identifier in a window, and to a total number per window.
#[derive(Debug, Default)]
pub struct ExternalLogLimiter {
    window_start: Option<Instant>,
    written: HashSet<(&'static str, String)>,
    /// Lines dropped in the current window.
    dropped: u64,
}

impl ExternalLogLimiter {
    /// Lines to write now for an event under an identifier.
    pub fn lines(
        &mut self,
        now: Instant,
        event: &'static str,
        id: &str,
        reason: &str,
    ) -> Vec<String> {
        let mut lines = Vec::new();
        let is_expired =
            |window_start: Instant| now.saturating_duration_since(window_start) >= WINDOW;
        if self.window_start.is_none_or(is_expired) {
            self.window_start = Some(now);
            self.written.clear();
            let dropped = std::mem::take(&mut self.dropped);
            if dropped > 0 {
                lines.push(format!("event=foreign_left_out lines={dropped}"));
            }
        }
        let id_text = shorten_id(id);
        let key = (event, id_text);
        if self.written.len() < MAX_LINES && !self.written.contains(&key) {
            lines.push(format!("event={event} id={} reason={reason}", key.1));
            self.written.insert(key);
        } else {
            self.dropped += 1;
        }
        lines
    }
}

/// The start of an identifier, escaped, followed by its length if it is cut.
fn shorten_id(id: &str) -> String {
    let start: String = id.chars().take(MAX_ID_CHARS).flat_map(char::escape_default).collect();
    match id.chars().nth(MAX_ID_CHARS) {
        Some(_) => format!("{start}...{}_bytes", id.len()),
        None => start,
    }
}

/// Logs and counts the calls of external writers.
pub(super) struct ExternalLog {
    metrics: Arc<Metrics>,
    limiter: Mutex<ExternalLogLimiter>,
}

impl ExternalLog {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        ExternalLog { metrics, limiter: Mutex::default() }
    }

    /// Logs and counts an event under an identifier.
    pub(super) fn record(&self, event: &'static str, id: &str, reason: &str) {
        self.metrics.count_event(event);
        for line in self.limiter.lock().unwrap().lines(Instant::now(), event, id, reason) {
            log::info!("control: {line}");
        }
    }
}
