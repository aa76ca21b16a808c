//! Records the results of attempts in the gateway's state, the log and the metrics.

use super::super::crash_watch;
use super::super::link_monitor::Path;
use super::super::log_text::per_second;
use super::{ClientProgress, EventTiming, Exchange, InFlight};
use crate::http1::ResponseHead;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use topazmount_gateway::{
    AttemptEnd, Choice, PromptEvent, RequestPlan, TrialOutcome, VersionRefusal,
};
use topazmount_types::{RunState, Time};

/// Share of the target latency after which a replica that sent nothing counts as silent, for requests
/// without a prompt.
const SILENCE_TARGET_SHARE: f64 = 0.7;
/// The same time for requests with a prompt is at least this.
const MIN_PROMPT_SILENCE: Duration = Duration::from_millis(1_200);
/// Multiple of the estimated time to the first token that is added.
const SILENCE_ESTIMATE_FACTOR: f64 = 2.0;

impl Exchange<'_> {
    pub(super) fn record_version(&self, choice: &Choice, head: &ResponseHead) {
        let metadata = self.shared.dialect.response_metadata(head);
        // A misdirected request may have been refused by another replica; handled separately.
        let version = metadata.weights_version.filter(|_| !metadata.is_misdirected);
        if let (Some(model), Some(version)) = (&self.metadata.model, version) {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.balancer().record_version(choice, model, version);
        }
    }

    /// Records that a request sent to a replica at `sent_at` succeeded.
    pub(super) fn record_success(&self, choice: &Choice, sent_at: Time) {
        let now = self.shared.clock.now();
        let (was_avoided, was_suspected, outputs) = {
            let mut gateway_state = self.shared.gateway_state.lock();
            let was_avoided = gateway_state.balancer().on_success(choice, now);
            let outputs = gateway_state.report_success(choice, sent_at, now);
            gateway_state.crashes().clear_suspicion(&choice.instance.incarnation_name(), sent_at);
            let is_request_accused = gateway_state.crashes().record_completion(self.digest, now);
            let are_parts_accused =
                gateway_state.crashes().record_part_completions(&self.parts, now);
            (was_avoided, are_parts_accused || is_request_accused, outputs)
        };
        self.shared.handle_failure_outputs(outputs);
        if was_avoided {
            self.shared.metrics.count_event("replica_restored");
            let instance = &choice.instance.id;
            self.shared
                .event_log
                .info(|| format!("gateway: event=replica_restored instance={instance}"));
        }
        if let Some(trial) = &self.trial {
            trial.set_outcome(TrialOutcome::Completed);
        }
        if was_suspected {
            self.shared.request_report();
        }
    }

    /// Records a complete response that reports an error.
    pub(super) fn record_error_response(&self, choice: &Choice) {
        let now = self.shared.clock.now();
        let (avoided, outputs) = {
            let mut gateway_state = self.shared.gateway_state.lock();
            let avoided = gateway_state.balancer().on_error_response(choice, now);
            let outputs = gateway_state.report_error_response(choice, now);
            (avoided, outputs)
        };
        self.shared.handle_failure_outputs(outputs);
        let Some((rate, median)) = avoided else { return };
        self.shared.metrics.count_event("replica_avoided");
        let Choice { instance, .. } = choice;
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=replica_avoided instance={} service={} errors={rate:.2} median={median:.2}",
                instance.id, instance.service
            )
        });
    }

    /// How long a healthy replica may be silent after the request was sent; longer if it has more of
    /// the prompt to compute.
    pub(super) fn silence_limit(&self, choice: &Choice) -> Duration {
        let target = self.admission.route.target_latency;
        let base = match self.metadata.prompt {
            // The prompt may be queued behind others, and computing it twice is expensive.
            Some(_) => target.max(MIN_PROMPT_SILENCE),
            None => target.mul_f64(SILENCE_TARGET_SHARE),
        };
        base + Duration::from_secs_f64(
            SILENCE_ESTIMATE_FACTOR * choice.estimate_ms.max(0.0) / 1_000.0,
        )
    }

    /// Records that a replica is silent. It has failed, unless other requests got responses from it
    /// since `sent_at`, or the path may have failed. Returns whether one of them has failed.
    pub(super) fn record_silence(&self, choice: &Choice, path: Path, sent_at: Time) -> bool {
        let now = self.shared.clock.now();
        let is_path_suspect = self.shared.is_path_silence(path, sent_at);
        let has_failed = {
            let mut gateway_state = self.shared.gateway_state.lock();
            !gateway_state.balancer().has_responded_since(choice, sent_at)
        };
        if has_failed && !is_path_suspect {
            self.shared.record_replica_failure(choice, now);
        }
        has_failed
    }

    pub(super) fn record_failure(&self, in_flight: &InFlight<'_>, end: AttemptEnd) {
        let choice = &in_flight.choice;
        let now = self.shared.clock.now();
        let mut gateway_state = self.shared.gateway_state.lock();
        let balancer = gateway_state.balancer();
        match end {
            AttemptEnd::WrongInstance => {
                balancer.on_address_reused(choice, now);
                // Another replica has its address, so connections that broke earlier were crashes.
                let requests = gateway_state
                    .crashes()
                    .on_replica_ended(&choice.instance.incarnation_name(), now);
                drop(gateway_state);
                if requests > 0 {
                    crash_watch::report_crash(
                        self.shared,
                        &choice.instance.id,
                        requests,
                        "next_life",
                    );
                }
            }
            // The replica's weights were recorded when the response was classified.
            AttemptEnd::VersionMismatch | AttemptEnd::OutdatedWeights => {}
            // No failures; pushback and silence were recorded when they were seen.
            AttemptEnd::NotRun
            | AttemptEnd::PushedBack
            | AttemptEnd::NotSent
            | AttemptEnd::NotContinued
            | AttemptEnd::Unresponsive
            | AttemptEnd::Abandoned
            | AttemptEnd::TimedOut => {}
            // Other gateways may reach the replica.
            AttemptEnd::Unreachable | AttemptEnd::Broken
                if in_flight.is_path_suspect.load(Ordering::SeqCst) =>
            {
                drop(gateway_state);
                let path = *in_flight.path.lock().unwrap();
                if path != Some(Path::Tunnel) {
                    self.shared.withhold_failure(choice);
                }
            }
            AttemptEnd::Unreachable | AttemptEnd::Broken | AttemptEnd::Failed => {
                drop(gateway_state);
                self.shared.record_replica_failure(choice, now);
                in_flight.has_failed.store(true, Ordering::SeqCst);
            }
        }
    }

    pub(super) fn record_first_token(
        &self,
        in_flight: &InFlight<'_>,
        plan: &RequestPlan,
        sent_at: Time,
    ) {
        let choice = &in_flight.choice;
        in_flight.has_first_token.store(true, Ordering::SeqCst);
        let now = self.shared.clock.now();
        self.shared.metrics.record_first_event(now.since(self.received_at));
        let request = self.choice_request(plan);
        let update = {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.on_first_token(choice, &request, now.since(sent_at), now);
            gateway_state.load_update(choice, &request, PromptEvent::Prefilled, now)
        };
        self.shared.peers.send_load_update(update);
    }

    pub(super) fn log_tunnel(&self, choice: &Choice, carrier: SocketAddr) {
        self.shared.metrics.count_event("tunnel_opened");
        self.shared.event_log.info(|| {
            let (request, instance) = (&self.metadata.id, &choice.instance.id);
            format!(
                "gateway: event=tunnel_opened request={request} instance={instance} carrier={carrier}"
            )
        });
    }

    pub(super) fn log_attempt(&self, choice: &Choice, end: &str) {
        self.shared.metrics.count_attempt(end);
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=attempt request={} resumes={} instance={} address={} software={:?} home_rank={} \
                 version={} known={} source={} save={} prefill={} estimate_ms={:.0} limit={} end={end} after_ms={}",
                self.metadata.id,
                self.metadata.resumes.as_deref().unwrap_or("none"),
                choice.instance.id,
                choice.instance.address,
                choice.instance.software,
                choice.home_rank,
                choice.version.unwrap_or(0),
                choice.known_tokens,
                choice.source.as_deref().unwrap_or("none"),
                choice.save_to.as_deref().unwrap_or("none"),
                choice.expected_prefill,
                choice.estimate_ms,
                per_second(choice.limit),
                self.shared.clock.now().since(self.received_at).as_millis()
            )
        });
    }

    /// Classifies a replica's refusal of the weights version that the request expected.
    pub(super) fn classify_version_refusal(
        &self,
        choice: &Choice,
        reported: Option<u32>,
    ) -> AttemptEnd {
        self.log_refused_weights(choice, reported);
        let model = self.metadata.model.as_deref().unwrap_or_default();
        let now = self.shared.clock.now();
        let refused = {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.balancer().on_version_refused(choice, model, reported, now)
        };
        match refused {
            VersionRefusal::RetrySame => AttemptEnd::VersionMismatch,
            VersionRefusal::Unexplained => AttemptEnd::NotRun,
            VersionRefusal::Downgraded(change) => {
                self.shared.handle_change(&change, "refusal");
                AttemptEnd::OutdatedWeights
            }
        }
    }

    /// Logs that a replica refused the expected weights, with the version that it reported.
    pub(super) fn log_refused_weights(&self, choice: &Choice, reported: Option<u32>) {
        self.shared.metrics.count_event("weights_refused");
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=weights_refused request={} instance={} start={} expected={} said={}",
                self.metadata.id,
                choice.instance.id,
                choice.instance.start,
                choice.required_version.unwrap_or(0),
                reported.unwrap_or(0)
            )
        });
    }

    /// Records a stream that a replica completed.
    pub(super) fn record_stream(
        &self,
        plan: &RequestPlan,
        choice: &Choice,
        progress: &ClientProgress,
        sent_at: Time,
    ) {
        self.record_success(choice, sent_at);
        self.log_attempt(choice, "success");
        self.shared.metrics.record_longest_gap(progress.timing.longest_gap);
        self.log_stream(plan, &progress.timing);
    }

    /// Logs a completed stream and the timing of its events.
    fn log_stream(&self, plan: &RequestPlan, timing: &EventTiming) {
        let first = timing.first_at.map_or(Duration::ZERO, |at| at.since(self.received_at));
        let (first, pause) = (first.as_millis(), timing.longest_gap.as_millis());
        self.log_end_with(plan, 200, "stream", &format!(" first_ms={first} pause_ms={pause}"));
    }

    pub(super) fn log_end(&self, plan: &RequestPlan, status: u16, reason: &str) {
        self.log_end_with(plan, status, reason, "");
    }

    /// Logs the end of a request; `extra` is added to the line.
    pub(super) fn log_end_with(&self, plan: &RequestPlan, status: u16, reason: &str, extra: &str) {
        self.shared
            .metrics
            .record_response(reason, self.shared.clock.now().since(self.received_at));
        let run = match plan.run_state() {
            RunState::NotRun => "not_run",
            _ => "may_have_run",
        };
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=answer request={} digest={} route={} service={} version={} \
                 status={status} reason={reason} run={run} attempts={} after_ms={}{extra}",
                self.metadata.id,
                self.digest,
                self.admission.route.name,
                self.admission.service,
                self.admission.version,
                plan.tried().len(),
                self.shared.clock.now().since(self.received_at).as_millis()
            )
        });
    }
}
