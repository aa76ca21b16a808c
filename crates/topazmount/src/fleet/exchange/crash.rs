//! Tells a replica that ended under a request from a connection that broke.

use super::super::crash_watch;
use super::Exchange;
use topazmount_gateway::Choice;
use topazmount_types::Time;

impl Exchange<'_> {
    /// Whether replicas crash under the request, so that it must not be sent on.
    pub(super) fn is_blocked(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().crashes().is_blocked(self.digest, now)
    }

    /// After a connection broke under the request: suspects it, and looks whether its replica has ended. One request ended
    /// ten replicas in ten tries where nothing of it outlived a try, and ends four at most now.
    pub(super) async fn look_for_crash(&self, choice: &Choice, began: Time) {
        let now = self.shared.clock.now();
        let ran_for = now.since(began);
        let instance = &choice.instance.id;
        let name = choice.instance.incarnation_name();
        let crashed = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            // Its end is planned, and says nothing of what it ran.
            if knowledge.balancer().is_leaving(choice, now) {
                return;
            }
            knowledge.crashes().on_connection_broken(self.digest, &name, ran_for, now);
            // The next incarnation was known first.
            let has_ended = knowledge.balancer().has_ended(choice);
            if has_ended { knowledge.crashes().on_replica_ended(&name, now) } else { 0 }
        };
        self.shared.journal.line(|| {
            format!(
                "gateway: event=broke_off request={} digest={} instance={instance} start={} ran_ms={}",
                self.tags.id,
                self.digest,
                choice.instance.start,
                ran_for.as_millis()
            )
        });
        if crashed > 0 {
            return crash_watch::tell(self.shared, instance, crashed, "next_incarnation");
        }
        if crash_watch::is_ended(self.shared, &choice.instance).await {
            return;
        }
        if self.shared.broken_at.try_send(choice.instance.clone()).is_err() {
            self.shared.metrics.event("crash_watch_full");
        }
    }
}
