//! Distinguishes a replica that crashed while serving a request from a broken connection.

use super::super::crash_watch;
use super::{ClientProgress, Exchange, ResponseOutcome};
use std::time::Duration;
use topazmount_gateway::{Choice, Prompt, RequestPlan};
use topazmount_types::{ErrorKind, RequestDigest, Time};

/// Delay before the second check of a replica whose answer ended with its connection: a listener may
/// outlive the process that served the request for a moment.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(30);

impl Exchange<'_> {
    /// Whether an answer that ended with its connection may have been cut off: its replica, from which
    /// data last arrived at `last_data_at`, has ended. Not checked for prompts whose shared parts have
    /// all completed lately, nor without shared parts, since each check takes a connection.
    pub(super) async fn ended_with_replica(&self, choice: &Choice, last_data_at: Time) -> bool {
        let now = self.shared.clock.now();
        let is_trusted =
            self.shared.gateway_state.lock().unwrap().crashes().trusts(&self.parts, now);
        if is_trusted {
            return false;
        }
        if crash_watch::has_ended(self.shared, &choice.instance, last_data_at).await {
            return true;
        }
        async_io::Timer::after(SECOND_CHECK_DELAY).await;
        crash_watch::has_ended(self.shared, &choice.instance, last_data_at).await
    }

    /// Whether the request is blocked because it, or a part of its prompt, crashes replicas.
    pub(super) fn is_blocked(&self) -> bool {
        self.blocked_digest().is_some()
    }

    /// The digest of the request or of a part of its prompt, if that is blocked.
    fn blocked_digest(&self) -> Option<RequestDigest> {
        let now = self.shared.clock.now();
        let mut gateway_state = self.shared.gateway_state.lock().unwrap();
        let crashes = gateway_state.crashes();
        let mut digests = std::iter::once(&self.digest).chain(&self.parts);
        digests.find(|digest| crashes.is_blocked(**digest, now)).copied()
    }

    /// Rejects a request that is blocked.
    pub(super) async fn fail_blocked(
        &mut self,
        plan: &RequestPlan,
        progress: &ClientProgress,
    ) -> ResponseOutcome {
        if let Some(digest) = self.blocked_digest() {
            self.shared.event_log.info(|| {
                let matched = if digest == self.digest { "request" } else { "part" };
                let id = &self.metadata.id;
                format!("gateway: event=rejected_for_crashes request={id} matched={matched} digest={digest}")
            });
        }
        self.fail(plan, progress, ErrorKind::CrashesReplicas).await
    }

    /// Called after a connection broke while the replica served the request: records the suspicion and
    /// checks whether the replica has ended.
    pub(super) async fn check_for_crash(&self, choice: &Choice, started_at: Time) {
        let now = self.shared.clock.now();
        let ran_for = now.since(started_at);
        let instance = &choice.instance.id;
        let name = choice.instance.incarnation_name();
        let crashed = {
            let mut gateway_state = self.shared.gateway_state.lock().unwrap();
            // A leaving replica ends as planned; the request did not crash it.
            if gateway_state.balancer().is_leaving(choice, now) {
                return;
            }
            gateway_state.crashes().on_connection_broken(self.digest, &name, ran_for, now);
            gateway_state.crashes().on_parts_broken(&self.parts, &name, ran_for, now);
            // The next incarnation may have been seen already.
            let has_ended = gateway_state.balancer().has_ended(choice);
            if has_ended { gateway_state.crashes().on_replica_ended(&name, now) } else { 0 }
        };
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=broke_off request={} digest={} shared_parts={:x?} part_digests={:?} instance={instance} start={} ran_ms={}",
                self.metadata.id,
                self.digest,
                self.metadata.prompt.as_ref().map(Prompt::shared_parts).unwrap_or_default(),
                self.parts.iter().map(ToString::to_string).collect::<Vec<_>>(),
                choice.instance.start,
                ran_for.as_millis()
            )
        });
        if crashed > 0 {
            return crash_watch::report_crash(self.shared, instance, crashed, "next_incarnation");
        }
        if crash_watch::check_ended(self.shared, &choice.instance, now).await {
            return;
        }
        if self.shared.broken_connections.try_send(choice.instance.clone()).is_err() {
            self.shared.metrics.count_event("crash_watch_full");
        }
    }
}
