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
    /// After a connection broke under the request: looks whether its replica has ended.
    pub(super) async fn look_for_crash(&self, choice: &Choice, began: Time) {
        let Ok(address) = choice.instance.address.parse() else { return };
        if !is_refused(address, REFUSAL_LIMIT).await {
            return;
        }
        self.shared.metrics.event("crash_seen");
        let ran_for = self.shared.clock.now().since(began);
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
