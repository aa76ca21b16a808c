//! Requests that would be late at their choice.

use super::Exchange;
use std::time::Duration;
use topazmount_gateway::{Choice, RequestPlan, TtftEstimate};

impl Exchange<'_> {
    /// How long the client should stay away, where its prompt would be late at its choice. What was sent to a replica
    /// already, or has a part of its answer, goes on.
    pub(super) fn wait_if_late(&self, plan: &RequestPlan, choice: &Choice) -> Option<Duration> {
        let is_begun = !plan.tried().is_empty() || self.tags.last_event_id.is_some();
        if is_begun || self.tags.prompt.is_none() {
            return None;
        }
        let prospect = TtftEstimate {
            estimate: Duration::from_secs_f64(choice.estimate_ms.max(0.0) / 1_000.0),
            elapsed: self.shared.clock.now().since(self.received),
            target: self.admission.route.target_latency,
            priority: self.admission.route.priority,
            has_empty_queue: choice.has_empty_queue,
            slot_utilization: choice.slot_utilization,
        };
        let wait = prospect.retry_delay_if_late(rand::random())?;
        self.shared.metrics.event("refused_late");
        self.shared.journal.line(|| {
            format!(
                "gateway: event=refused_late request={} instance={} estimate_ms={:.0} target_ms={} wait_ms={}",
                self.tags.id,
                choice.instance.id,
                choice.estimate_ms,
                prospect.target.as_millis(),
                wait.as_millis()
            )
        });
        Some(wait)
    }
}
