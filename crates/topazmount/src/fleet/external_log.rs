//! What other writers say in replicas' names, counted and logged. Who writes so may do it thousands of times a second
//! and under any identifier, so that lines are bounded in number and in length.

use super::metrics::Metrics;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which lines are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Most lines in that time, over all identifiers.
const MOST_LINES: usize = 32;
/// Characters of an identifier that are shown.
const SHOWN: usize = 64;

/// Which lines are written: one for each event and identifier in 5 s, and 32 in all.
#[derive(Debug, Default)]
pub struct ExternalLogLimiter {
    began: Option<Instant>,
    written: HashSet<(&'static str, String)>,
    left_out: u64,
}

impl ExternalLogLimiter {
    /// The lines to write now about something that was said under an identifier.
    pub fn note(
        &mut self,
        now: Instant,
        event: &'static str,
        id: &str,
        reason: &str,
    ) -> Vec<String> {
        let mut lines = Vec::new();
        let is_over = |began: Instant| now.saturating_duration_since(began) >= WINDOW;
        if self.began.is_none_or(is_over) {
            self.began = Some(now);
            self.written.clear();
            let left_out = std::mem::take(&mut self.left_out);
            if left_out > 0 {
                lines.push(format!("event=foreign_left_out lines={left_out}"));
            }
        }
        let shown = shown(id);
        let matter = (event, shown);
        if self.written.len() < MOST_LINES && !self.written.contains(&matter) {
            lines.push(format!("event={event} id={} reason={reason}", matter.1));
            self.written.insert(matter);
        } else {
            self.left_out += 1;
        }
        lines
    }
}

/// The beginning of an identifier, escaped, and its length where that is not all.
fn shown(id: &str) -> String {
    let beginning: String = id.chars().take(SHOWN).flat_map(char::escape_default).collect();
    match id.chars().nth(SHOWN) {
        Some(_) => format!("{beginning}...{}_bytes", id.len()),
        None => beginning,
    }
}

/// The log and the counters of a control member.
pub(super) struct ExternalLog {
    metrics: Arc<Metrics>,
    lines: Mutex<ExternalLogLimiter>,
}

impl ExternalLog {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        ExternalLog { metrics, lines: Mutex::default() }
    }

    /// Notes that something was said under an identifier that is no replica's own word.
    pub(super) fn note(&self, event: &'static str, id: &str, reason: &str) {
        self.metrics.event(event);
        for line in self.lines.lock().unwrap().note(Instant::now(), event, id, reason) {
            log::info!("control: {line}");
        }
    }
}
