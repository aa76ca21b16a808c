//! Counts and logs datagrams to other gateways that were not sent.

use super::metrics::Metrics;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Minimum time between two log lines about drops for one reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a datagram was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DropReason {
    /// The queue of outgoing messages is full.
    QueueFull,
    /// It exceeds the maximum size.
    TooLarge,
    /// The recipient's build has no such message.
    UnknownToRecipient,
    /// The message could not be encoded.
    Unencodable,
    /// The operating system refused it.
    SendFailed,
}

const REASONS: usize = 5;

impl DropReason {
    /// Event in metrics.
    fn event(self) -> &'static str {
        match self {
            DropReason::QueueFull => "datagram_queue_full",
            DropReason::TooLarge => "datagram_too_large",
            DropReason::UnknownToRecipient => "datagram_unknown_to_recipient",
            DropReason::Unencodable => "datagram_unencodable",
            DropReason::SendFailed => "datagram_send_failed",
        }
    }
}

/// Drops for one reason since its last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Instant>,
}

/// Counts drops in the metrics and logs them, at most one line per reason and interval.
pub(super) struct DatagramDrops {
    metrics: Arc<Metrics>,
    unlogged: Mutex<[Unlogged; REASONS]>,
}

impl DatagramDrops {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        DatagramDrops { metrics, unlogged: Mutex::default() }
    }

    /// Records a drop. `detail` is only called if a line is logged.
    pub(super) fn record(&self, reason: DropReason, detail: impl FnOnce() -> String) {
        self.metrics.count_event(reason.event());
        let count = {
            let mut unlogged = self.unlogged.lock().unwrap();
            let entry = &mut unlogged[reason as usize];
            entry.count += 1;
            if entry.logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
                return;
            }
            entry.logged_at = Some(Instant::now());
            std::mem::take(&mut entry.count)
        };
        log::warn!("gateway: event={} count={count} {}", reason.event(), detail());
    }
}
