//! What a request teaches of its replica, and what is logged and counted of it.

use super::super::crash_watch;
use super::pushback::per_second;
use super::{Exchange, InFlight, Pace};
use crate::http1::ResponseHead;
use std::sync::atomic::Ordering;
use std::time::Duration;
use topazmount_gateway::{AttemptEnd, Choice, PromptEvent, RequestPlan, VersionRefusal};
use topazmount_types::{RunState, Time};

/// Part of the target latency after which a replica that sent nothing is given up, where the
/// request may be sent to another.
const SILENCE_SHARE: f64 = 0.7;
/// Least such silence of a replica that has a prompt to read.
const PROMPT_SILENCE: Duration = Duration::from_millis(1_200);
/// Times that the estimated time to the first token is added to that.
const SILENCE_ESTIMATES: f64 = 2.0;

impl Exchange<'_> {
    pub(super) fn note_version(&self, choice: &Choice, head: &ResponseHead) {
        let tags = self.shared.dialect.response_metadata(head);
        // A refusal may be another replica's, and is judged by itself.
        let version = tags.weights_version.filter(|_| !tags.is_misdirected);
        if let (Some(model), Some(version)) = (&self.tags.model, version) {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().record_version(choice, model, version);
        }
    }

    /// Notes that a request that was sent to a replica at a moment ran well there.
    pub(super) fn note_success(&self, choice: &Choice, sent_at: Time) {
        let now = self.shared.clock.now();
        let was_suspected = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().on_success(choice, now);
            knowledge.crashes().clear_suspicion(&choice.instance.incarnation_name(), sent_at);
            knowledge.crashes().record_completion(self.digest, now)
        };
        if was_suspected {
            self.shared.report_at_once();
        }
    }

    /// How long a sound replica may be silent after it was sent the request: the longer, the more
    /// of a prompt it has to read.
    pub(super) fn silence_limit(&self, choice: &Choice) -> Duration {
        let target = self.admission.route.target_latency;
        let share = match self.tags.prompt {
            // A queue of other prompts may be before it, and reading one twice costs much.
            Some(_) => target.max(PROMPT_SILENCE),
            None => target.mul_f64(SILENCE_SHARE),
        };
        share + Duration::from_secs_f64(SILENCE_ESTIMATES * choice.estimate_ms.max(0.0) / 1_000.0)
    }

    /// Judges a replica that has been silent for so long: it has failed, unless others had answers
    /// from it meanwhile. Returns whether it has failed.
    pub(super) fn note_silence(&self, choice: &Choice, sent_at: Time) -> bool {
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let balancer = knowledge.balancer();
        let has_failed = !balancer.has_responded_since(choice, sent_at);
        if has_failed {
            balancer.on_failure(choice, now);
        }
        has_failed
    }

    pub(super) fn note_failure(&self, in_flight: &InFlight<'_>, end: AttemptEnd) {
        let choice = &in_flight.choice;
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let balancer = knowledge.balancer();
        match end {
            AttemptEnd::WrongInstance => {
                balancer.on_address_reused(choice, now);
                // Another replica has its address: what broke off at it before met its end.
                let requests =
                    knowledge.crashes().on_replica_ended(&choice.instance.incarnation_name(), now);
                drop(knowledge);
                if requests > 0 {
                    crash_watch::tell(self.shared, &choice.instance.id, requests, "next_life");
                }
            }
            // What it holds was noted when it was judged.
            AttemptEnd::VersionMismatch | AttemptEnd::OutdatedWeights => {}
            // A full replica is sound, what it asked was noted as it came, and silence when it was seen.
            AttemptEnd::NotRun
            | AttemptEnd::PushedBack
            | AttemptEnd::NotSent
            | AttemptEnd::Unresponsive
            | AttemptEnd::Abandoned
            | AttemptEnd::TimedOut => {}
            AttemptEnd::Unreachable | AttemptEnd::Broken | AttemptEnd::Failed => {
                balancer.on_failure(choice, now);
                in_flight.has_failed.store(true, Ordering::SeqCst);
            }
        }
    }

    pub(super) fn note_first_token(
        &self,
        in_flight: &InFlight<'_>,
        plan: &RequestPlan,
        sent_at: Time,
    ) {
        let choice = &in_flight.choice;
        in_flight.has_first_token.store(true, Ordering::SeqCst);
        let now = self.shared.clock.now();
        self.shared.metrics.first_event(now.since(self.received));
        let request = self.choice_request(plan);
        let news = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.on_first_token(choice, &request, now.since(sent_at), now);
            knowledge.load_update(choice, &request, PromptEvent::Prefilled, now)
        };
        self.shared.peers.tell(news);
    }

    pub(super) fn log_attempt(&self, choice: &Choice, end: &str) {
        self.shared.metrics.attempt(end);
        self.shared.journal.line(|| {
            format!(
                "gateway: event=attempt request={} instance={} address={} home_rank={} \
                 version={} known={} source={} save={} prefill={} estimate_ms={:.0} limit={} end={end} after_ms={}",
                self.tags.id,
                choice.instance.id,
                choice.instance.address,
                choice.home_rank,
                choice.version.unwrap_or(0),
                choice.known_tokens,
                choice.source.as_deref().unwrap_or("none"),
                choice.save_to.as_deref().unwrap_or("none"),
                choice.expected_prefill,
                choice.estimate_ms,
                per_second(choice.limit),
                self.shared.clock.now().since(self.received).as_millis()
            )
        });
    }

    /// Judges a replica's refusal of the version that the request named; the model of a prompt is known.
    pub(super) fn judge_refused_version(&self, choice: &Choice, said: Option<u32>) -> AttemptEnd {
        self.log_refused_weights(choice, said);
        let model = self.tags.model.as_deref().unwrap_or_default();
        let now = self.shared.clock.now();
        let refused = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().on_version_refused(choice, model, said, now)
        };
        match refused {
            VersionRefusal::RetrySame => AttemptEnd::VersionMismatch,
            VersionRefusal::Unexplained => AttemptEnd::NotRun,
            VersionRefusal::Downgraded(change) => {
                self.shared.note_change(&change, "refusal");
                AttemptEnd::OutdatedWeights
            }
        }
    }

    /// Logs that a replica refused the weights that the request named, and which it says it holds, where it does.
    pub(super) fn log_refused_weights(&self, choice: &Choice, said: Option<u32>) {
        self.shared.metrics.event("weights_refused");
        self.shared.journal.line(|| {
            format!(
                "gateway: event=weights_refused request={} instance={} start={} expected={} said={}",
                self.tags.id,
                choice.instance.id,
                choice.instance.start,
                choice.required_version.unwrap_or(0),
                said.unwrap_or(0)
            )
        });
    }

    /// Logs a stream that came to its end, and its pace.
    pub(super) fn log_stream(&self, plan: &RequestPlan, pace: &Pace) {
        let first = pace.first_at.map_or(Duration::ZERO, |at| at.since(self.received));
        let (first, pause) = (first.as_millis(), pace.longest_pause.as_millis());
        self.log_end_with(plan, 200, "stream", &format!(" first_ms={first} pause_ms={pause}"));
    }

    pub(super) fn log_end(&self, plan: &RequestPlan, status: u16, reason: &str) {
        self.log_end_with(plan, status, reason, "");
    }

    fn log_end_with(&self, plan: &RequestPlan, status: u16, reason: &str, more: &str) {
        self.shared.metrics.answer(reason, self.shared.clock.now().since(self.received));
        let run = match plan.run_state() {
            RunState::NotRun => "not_run",
            _ => "may_have_run",
        };
        self.shared.journal.line(|| {
            format!(
                "gateway: event=answer request={} digest={} route={} service={} version={} \
                 status={status} reason={reason} run={run} attempts={} after_ms={}{more}",
                self.tags.id,
                self.digest,
                self.admission.route.name,
                self.admission.service,
                self.admission.version,
                plan.tried().len(),
                self.shared.clock.now().since(self.received).as_millis()
            )
        });
    }
}
