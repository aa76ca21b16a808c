//! Distinguishes a replica that crashed while serving a request from a broken connection.

use super::super::crash_watch::{self, ReplicaProcess};
use super::trial::Blocked;
use super::{Exchange, ResponseOutcome};
use crate::http1::ResponseHead;
use std::time::Duration;
use topazmount_control::HostKey;
use topazmount_gateway::{Choice, CrashVerdict, Prompt, RequestPlan, TrialRefusal};
use topazmount_types::{ErrorKind, Time};

/// Delay before the second check of a replica whose answer ended with its connection: a listener may
/// outlive the process that served the request for a moment.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Time for the second check of a replica, and for the control group to record a crash and to block
/// what caused it.
const DECISION_TIME: Duration = Duration::from_millis(60);
/// Time between checks whether the request is blocked.
const DECISION_CHECK_INTERVAL: Duration = Duration::from_millis(3);
/// Refusal of requests whose trial ended before a replica ran them.
const TRIAL_ENDED: TrialRefusal =
    TrialRefusal { wait: Duration::from_millis(250), is_pause: false };

impl Exchange<'_> {
    /// Whether an answer that ended with its connection may have been cut off: it is not certain that
    /// its replica, from which data last arrived at `last_data_at`, still runs. A killed process's
    /// connections end like those of a complete answer.
    pub(super) async fn may_be_cut_off(&self, choice: &Choice, last_data_at: Time) -> bool {
        let instance = &choice.instance;
        let first = crash_watch::check_process(self.shared, instance, last_data_at).await;
        if first == ReplicaProcess::Ended {
            return true;
        }
        async_io::Timer::after(SECOND_CHECK_DELAY).await;
        let second = crash_watch::check_process(self.shared, instance, last_data_at).await;
        if second == ReplicaProcess::Unknown {
            self.shared.metrics.count_event("answer_end_unknown");
            self.shared.event_log.info(|| {
                format!(
                    "gateway: event=answer_end_unknown request={} instance={}",
                    self.metadata.id, instance.id
                )
            });
        }
        second != ReplicaProcess::Running
    }

    /// Whether no further replica may be sent the request, as it or a part of its prompt is blocked.
    pub(super) fn is_blocked(&self) -> bool {
        self.blocked().is_some()
    }

    /// Whether the request may be sent to a replica: it is not blocked, or this is its trial, which is
    /// over once a replica may have run it.
    pub(super) fn may_be_sent(&self, plan: &RequestPlan) -> bool {
        !self.is_blocked() || self.trial.is_some() && !plan.may_have_run()
    }

    /// Acquires a trial if the request is blocked. Returns its outcome if it is rejected instead.
    pub(super) async fn begin_trial_if_blocked(
        &mut self,
        plan: &RequestPlan,
    ) -> Option<ResponseOutcome> {
        let blocked = self.blocked()?;
        match self.acquire_trial(&blocked).await {
            Ok(trial) => {
                self.trial = Some(trial);
                None
            }
            Err(refusal) => Some(self.reject_blocked(plan, &blocked, refusal).await),
        }
    }

    /// Rejects a request that is blocked. Only a confirmed one is told that a further try is of no use.
    async fn reject_blocked(
        &mut self,
        plan: &RequestPlan,
        blocked: &Blocked,
        refusal: TrialRefusal,
    ) -> ResponseOutcome {
        // For a while trials are left to requests that may be repeated.
        let waits_for_others = refusal.is_pause && !self.admission.route.is_retryable();
        let is_probable = blocked.verdict == CrashVerdict::Probable;
        if blocked.verdict == CrashVerdict::Confirmed || is_probable && waits_for_others {
            self.log_rejection(blocked, ErrorKind::CrashesReplicas);
            return self.fail(plan, ErrorKind::CrashesReplicas).await;
        }
        self.log_rejection(blocked, ErrorKind::SuspectedOfCrashes);
        self.send_error(plan, ErrorKind::SuspectedOfCrashes, Some(refusal.wait)).await
    }

    /// Ends a request that was blocked after its attempts, or whose trial is over.
    pub(super) async fn fail_blocked(
        &mut self,
        plan: &RequestPlan,
        failure: Option<(ResponseHead, Vec<u8>)>,
    ) -> ResponseOutcome {
        let blocked = self.blocked();
        match blocked.filter(|_| !plan.may_have_run() && !self.client.has_started()) {
            Some(blocked) => self.reject_blocked(plan, &blocked, TRIAL_ENDED).await,
            None => self.finish_unserved(plan, plan.refusal(), failure).await,
        }
    }

    fn log_rejection(&self, blocked: &Blocked, kind: ErrorKind) {
        self.shared.event_log.info(|| {
            let digests: Vec<String> = blocked.digests.iter().map(ToString::to_string).collect();
            format!(
                "gateway: event=rejected_for_crashes request={} status={} reason={} digest={} blocked={} verdict={:?} \
                 blocks_revision={} version={}",
                self.metadata.id,
                kind.status(),
                kind.name(),
                self.digest,
                digests.join(","),
                blocked.verdict,
                blocked.revision,
                self.admission.version
            )
        });
    }

    /// Called before a retry after a connection broke: waits until the control group has had time to
    /// learn of a crash and to block the request, as another replica that it crashes would count as
    /// further evidence. Prompts whose shared parts have all completed lately don't wait.
    pub(super) async fn wait_for_block(&self, has_crashed: bool) {
        let now = self.shared.clock.now();
        if !has_crashed && self.shared.gateway_state.lock().crashes().trusts(&self.parts, now) {
            return;
        }
        let decided_at = self.shared.clock.now() + DECISION_TIME.min(self.remaining_time());
        while self.shared.clock.now() < decided_at && !self.is_blocked() {
            async_io::Timer::after(DECISION_CHECK_INTERVAL).await;
        }
    }

    /// Called after a connection broke while the replica served the request: records the suspicion.
    /// Returns whether the replica is known to have ended.
    pub(super) async fn check_for_crash(&self, choice: &Choice, started_at: Time) -> bool {
        let now = self.shared.clock.now();
        let ran_for = now.since(started_at);
        let instance = &choice.instance.id;
        let name = choice.instance.incarnation_name();
        let crashed = {
            let mut gateway_state = self.shared.gateway_state.lock();
            // A leaving replica ends as planned; the request did not crash it.
            if gateway_state.balancer().is_leaving(choice, now) {
                return false;
            }
            gateway_state.crashes().on_connection_broken(self.digest, &name, ran_for, now);
            gateway_state.crashes().on_parts_broken(&self.parts, &name, ran_for, now);
            let host = HostKey::of(&choice.instance.address);
            gateway_state.crashes().set_suspect_host(&name, host);
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
            crash_watch::report_crash(self.shared, instance, crashed, "next_incarnation");
            return true;
        }
        if crash_watch::check_ended(self.shared, &choice.instance, now).await {
            return true;
        }
        if self.shared.broken_connections.try_send(choice.instance.clone()).is_err() {
            self.shared.metrics.count_event("crash_watch_full");
        }
        false
    }
}
