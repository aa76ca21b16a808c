//! Load shedding: refuses prompts that would miss their target latency.

use super::Exchange;
use std::time::Duration;
use topazmount_gateway::{Choice, RequestPlan, TtftEstimate};

impl Exchange<'_> {
    /// Retry delay for the client if its prompt should be refused because it would miss its target at
    /// the chosen replica. Requests that were sent before or that resume a stream are not refused.
    pub(super) fn load_shedding_wait(
        &self,
        plan: &RequestPlan,
        choice: &Choice,
    ) -> Option<Duration> {
        let has_started = !plan.tried().is_empty() || self.metadata.last_event_id.is_some();
        if has_started || self.metadata.prompt.is_none() {
            return None;
        }
        let ttft = TtftEstimate {
            estimate: Duration::from_secs_f64(choice.estimate_ms.max(0.0) / 1_000.0),
            elapsed: self.shared.clock.now().since(self.received_at),
            target: self.admission.route.target_latency,
            priority: self.admission.route.priority,
            has_empty_queue: choice.has_empty_queue,
            slot_utilization: choice.slot_utilization,
        };
        let wait = ttft.retry_delay_if_late(rand::random())?;
        self.shared.metrics.count_event("refused_late");
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=refused_late request={} instance={} estimate_ms={:.0} target_ms={} wait_ms={}",
                self.metadata.id,
                choice.instance.id,
                choice.estimate_ms,
                ttft.target.as_millis(),
                wait.as_millis()
            )
        });
        Some(wait)
    }
}
