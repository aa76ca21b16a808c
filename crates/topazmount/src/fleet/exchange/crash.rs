//! Tells a replica that ended under a request from a connection that broke.

use super::Exchange;
use crate::http1::is_refused;
use std::time::Duration;
use topazmount_gateway::Choice;
use topazmount_types::Time;

/// Time for a replica to refuse a connection. A process that has ended is refused for by its machine, which
/// takes the way there and back; one without power, behind a cut or at work says nothing in it.
const REFUSAL_LIMIT: Duration = Duration::from_millis(100);

impl Exchange<'_> {
    /// Whether replicas crash under the request, so that it must not be sent on.
    pub(super) fn is_blocked(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().crashes().is_blocked(self.digest, now)
    }

    /// After a connection broke under the request: looks whether its replica has ended, and tells control.
    /// One request ended ten replicas in ten tries where nothing of it outlived a try, and ends three now.
    pub(super) async fn look_for_crash(&self, choice: &Choice, began: Time) {
        let Ok(address) = choice.instance.address.parse() else { return };
        if !is_refused(address, REFUSAL_LIMIT).await {
            return;
        }
        self.shared.metrics.event("crash_seen");
        let now = self.shared.clock.now();
        let ran_for = now.since(began);
        let instance = &choice.instance.id;
        self.shared.knowledge.lock().unwrap().crashes().crashed(
            self.digest,
            instance,
            ran_for,
            now,
        );
        self.shared.report_at_once();
        self.shared.journal.line(|| {
            format!(
                "gateway: event=crash_seen request={} digest={} instance={} ran_ms={}",
                self.tags.id,
                self.digest,
                choice.instance.id,
                ran_for.as_millis()
            )
        });
    }
}
