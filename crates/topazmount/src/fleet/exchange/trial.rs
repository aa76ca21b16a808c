//! Lets a blocked request run as a trial, if its coordinators grant that.

use super::super::gateway::SharedState;
use super::Exchange;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use topazmount_gateway::{
    CrashVerdict, Granter, TrialOutcome, TrialRefusal, TrialRequest, TrialResponse,
};
use topazmount_types::{RequestDigest, Time};

/// Time for a coordinator to respond.
const TRIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Refusal while no coordinator responds.
const NO_COORDINATOR: TrialRefusal =
    TrialRefusal { wait: Duration::from_millis(250), is_pause: false };

/// What is known against a request and the parts of its prompt.
#[derive(Clone, Debug)]
pub(super) struct Blocked {
    /// Worst verdict.
    pub(super) verdict: CrashVerdict,
    /// Those that are blocked.
    pub(super) digests: Vec<RequestDigest>,
    /// Revision of the control group's list of blocked requests.
    pub(super) revision: u64,
}

/// Permission to send a blocked request to one replica. Its coordinators learn the outcome when it is
/// dropped.
pub(in crate::fleet) struct Trial<'a> {
    shared: &'a SharedState,
    granted: Vec<(Granter, RequestDigest)>,
    /// Incarnations at which it would prove little.
    unfit: Vec<String>,
    outcome: Mutex<TrialOutcome>,
}

impl Trial<'_> {
    pub(super) fn set_outcome(&self, outcome: TrialOutcome) {
        *self.outcome.lock().unwrap() = outcome;
    }

    pub(super) fn unfit(&self) -> &[String] {
        &self.unfit
    }
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        let outcome = *self.outcome.lock().unwrap();
        let now = self.shared.clock.now();
        for (coordinator, digest) in &self.granted {
            match coordinator {
                Granter::Local => self.shared.record_trial_end(*digest, outcome, now),
                Granter::Remote(address) => {
                    self.shared.peers.send_trial_end(*address, *digest, outcome);
                }
            }
        }
    }
}

impl SharedState {
    /// As the coordinator of a blocked request, grants or refuses a trial.
    pub(in crate::fleet) fn grant_trial(&self, request: TrialRequest, now: Time) -> TrialResponse {
        let mut gateway_state = self.gateway_state.lock();
        let gateways = gateway_state.gateways().ids(now).1.len();
        let response = gateway_state.crashes().grant_trial(request, gateways, now);
        drop(gateway_state);
        if response == TrialResponse::Granted {
            self.metrics.count_event("trial_granted");
            self.event_log.info(|| {
                let TrialRequest { digest, failed, .. } = request;
                format!("gateway: event=trial_granted digest={digest} failed={failed}")
            });
        }
        response
    }

    /// As the coordinator of a blocked request, records the end of a trial.
    pub(in crate::fleet) fn record_trial_end(
        &self,
        request: RequestDigest,
        outcome: TrialOutcome,
        now: Time,
    ) {
        self.gateway_state.lock().crashes().on_trial_ended(request, outcome, now);
        self.metrics.count_event(outcome.name());
        self.event_log.info(|| format!("gateway: event={} digest={request}", outcome.name()));
    }
}

impl<'e> Exchange<'e> {
    /// What is known against the request; `None` if it is not blocked.
    pub(super) fn blocked(&self) -> Option<Blocked> {
        let now = self.shared.clock.now();
        let mut gateway_state = self.shared.gateway_state.lock();
        let revision = gateway_state.seen_versions().blocked;
        let crashes = gateway_state.crashes();
        let verdicts = std::iter::once(&self.digest)
            .chain(&self.parts)
            .map(|digest| (crashes.verdict(*digest, now), *digest));
        let blocked: Vec<(CrashVerdict, RequestDigest)> =
            verdicts.filter(|(verdict, _)| *verdict != CrashVerdict::Clear).collect();
        let verdict = blocked.iter().map(|(verdict, _)| *verdict).max()?;
        let digests = blocked.into_iter().map(|(_, digest)| digest).collect();
        Some(Blocked { verdict, digests, revision })
    }

    /// Asks for a trial of all blocked digests.
    ///
    /// # Errors
    /// Why one of them is not granted.
    pub(super) async fn acquire_trial(&self, blocked: &Blocked) -> Result<Trial<'e>, TrialRefusal> {
        let now = self.shared.clock.now();
        let unfit = {
            let gateway_state = self.shared.gateway_state.lock();
            gateway_state.unfit_for_trials(&self.admission.service, now)
        };
        let mut trial = Trial {
            shared: self.shared,
            granted: Vec::new(),
            unfit,
            outcome: Mutex::new(TrialOutcome::Inconclusive),
        };
        for digest in &blocked.digests {
            let coordinator = self.request_trial(*digest).await?;
            trial.granted.push((coordinator, *digest));
        }
        Ok(trial)
    }

    /// Asks the coordinator of a digest. Returns the coordinator that granted the trial.
    async fn request_trial(&self, digest: RequestDigest) -> Result<Granter, TrialRefusal> {
        let now = self.shared.clock.now();
        let (coordinator, request) = {
            let mut gateway_state = self.shared.gateway_state.lock();
            if let Some(refusal) = gateway_state.crashes().trial_refusal(digest, now) {
                return Err(refusal);
            }
            let is_repeatable = self.admission.route.is_retryable();
            let request = gateway_state.crashes().trial_request(digest, is_repeatable, now);
            (gateway_state.trial_coordinator(digest, now), request)
        };
        let coordinator = coordinator.ok_or(NO_COORDINATOR)?;
        let response = match coordinator {
            Granter::Local => self.shared.grant_trial(request, now),
            Granter::Remote(address) => self.request_remote_trial(address, request).await?,
        };
        match response {
            TrialResponse::Granted => Ok(coordinator),
            TrialResponse::Refused(refusal) => {
                let mut gateway_state = self.shared.gateway_state.lock();
                gateway_state.crashes().on_trial_refused(digest, refusal, now);
                Err(refusal)
            }
        }
    }

    async fn request_remote_trial(
        &self,
        address: SocketAddr,
        request: TrialRequest,
    ) -> Result<TrialResponse, TrialRefusal> {
        let timeout = TRIAL_REQUEST_TIMEOUT.min(self.remaining_time());
        let response = self.shared.peers.request_trial(address, request, timeout).await;
        response.ok_or_else(|| {
            let now = self.shared.clock.now();
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.crashes().on_coordinator_silent(address, now);
            drop(gateway_state);
            self.shared.metrics.count_event("trial_coordinator_silent");
            self.shared.event_log.info(|| {
                let digest = request.digest;
                format!(
                    "gateway: event=trial_coordinator_silent coordinator={address} digest={digest}"
                )
            });
            NO_COORDINATOR
        })
    }
}
